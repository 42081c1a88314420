// Package wire counts the bytes and connections of loopback listeners.
package wire
