// Package gossip defines the heartbeat that entry instances send to each other.
package gossip
