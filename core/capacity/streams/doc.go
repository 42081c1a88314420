// Package streams measures streamed requests through the dispatcher and the engine client over loopback.
package streams
