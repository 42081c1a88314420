// Package routing selects the backend server for a request from local evidence.
package routing
