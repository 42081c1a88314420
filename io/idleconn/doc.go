// Package idleconn closes callers' connections that stay idle or send their headers too slowly. It exists because the limits
// of an http.Server are fixed when it starts, while those of the configuration change.
package idleconn
