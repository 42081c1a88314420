// Package inference defines the messages exchanged with model engines: generation requests and their events, load reports
// and orders.
package inference
