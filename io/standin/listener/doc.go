// Package listener wraps a network listener and injects connection faults.
package listener
