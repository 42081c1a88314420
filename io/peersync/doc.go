// Package peersync carries the calls between entry instances that do not suit datagrams over net/rpc: copying the route
// table and the list of backend servers, reading results from the holder of a job, and calling the store on behalf of an
// instance that cannot reach it.
package peersync
