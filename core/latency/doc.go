// Package latency measures the latency of backend servers on this instance's own streams and detects stragglers. The servers'
// load reports lag too far behind for that.
package latency
