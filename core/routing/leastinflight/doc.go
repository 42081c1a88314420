// Package leastinflight selects the backend server with the fewest requests in flight, as a baseline for measurements.
package leastinflight
