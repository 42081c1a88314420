// Package exchange synchronizes state between entry instances by a regular message: the configuration version, leaving
// instances, cancelled jobs, the view of open jobs and online requests in flight.
package exchange
