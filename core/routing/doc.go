// Package routing selects the backend server for a request by its zone, measured latency and load.
package routing
