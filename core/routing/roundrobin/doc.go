// Package roundrobin selects backend servers in turn, as a baseline for measurements.
package roundrobin
