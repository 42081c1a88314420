// Package roster keeps the list of backend servers and decides which may get requests: those that are listed, neither draining
// nor known to leave, and not suspected of a failure.
package roster
