// Package listener wraps a listener of a stand-in with connection faults.
package listener
