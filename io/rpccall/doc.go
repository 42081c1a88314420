// Package rpccall makes calls with a deadline over pooled net/rpc connections.
package rpccall
