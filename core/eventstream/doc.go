// Package eventstream finds the events in a text/event-stream body without changing its bytes.
package eventstream
