// Package instancelist is the client of the platform's instance list.
package instancelist
