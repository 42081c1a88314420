// Package configuration holds the numbered configuration that operators patch.
package configuration
