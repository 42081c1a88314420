// Package cluster tracks the state of the other entry instances, as received in their heartbeats.
package cluster
