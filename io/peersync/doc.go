// Package peersync lets an entry instance that the store does not reach copy the route table and the list of backend
// servers from another one, by net/rpc.
package peersync
