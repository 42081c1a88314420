// Package rpccall makes calls over net/rpc connections that are kept for further calls.
package rpccall
