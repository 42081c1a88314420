// Package histogram publishes the distribution of durations among the expvar metrics.
package histogram
