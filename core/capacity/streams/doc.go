// Package streams measures the cost of streamed requests through the dispatcher and the engine client over loopback.
package streams
