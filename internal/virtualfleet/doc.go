// Package virtualfleet runs fleets of entry instances, wired as in production, over a network, a store and backend servers in memory
// whose faults tests control. Time is that of the caller, which may be virtual.
package virtualfleet
