// Package retry bounds repeated attempts to a share of the requests and spaces them with jitter.
package retry
