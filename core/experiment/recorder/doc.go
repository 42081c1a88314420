// Package recorder collects the latencies of one load.
package recorder
