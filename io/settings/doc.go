// Package settings reads an instance's TOML settings.
package settings
