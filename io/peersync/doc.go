// Package peersync carries the calls between entry instances that datagrams do not fit, by net/rpc: copying the route table
// and the list of backend servers, reading results from the holder of a job, and calls to the store on behalf of an instance
// that does not reach it.
package peersync
