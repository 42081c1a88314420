// Package route defines the table that maps the host and path of a request to a route and its services.
package route
