// Package peer carries messages between entry instances.
package peer
