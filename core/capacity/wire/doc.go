// Package wire counts the connections of loopback listeners and the bytes on them.
package wire
