// Package settings reads and validates an instance's TOML settings.
package settings
