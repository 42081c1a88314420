// Package gossip defines the regular message between entry instances.
package gossip
