// Package roster keeps the backend servers that may get requests: those that are listed, not draining and not suspected.
package roster
