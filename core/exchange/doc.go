// Package exchange keeps entry instances informed of each other: configuration, leaving instances, cancelled jobs,
// the view of open jobs and online requests in flight.
package exchange
