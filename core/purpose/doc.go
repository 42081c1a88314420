// Package purpose names what a call to the store is for. The name travels in the context from the code that makes the call to the
// client that counts it.
package purpose
