// Package route defines the table by which requests of a host and path reach the backend servers of a service.
package route
