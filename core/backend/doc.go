// Package backend defines a backend server as it reports itself.
package backend
