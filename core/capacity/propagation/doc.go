// Package propagation simulates how a change spreads to all instances when each polls a few random peers every second.
package propagation
