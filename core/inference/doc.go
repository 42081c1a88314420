// Package inference defines the messages of one generation: request, events, load and orders.
package inference
