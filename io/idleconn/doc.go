// Package idleconn closes callers' connections that stay idle or send their headers too slowly. It exists because the
// timeouts of an http.Server are fixed when it starts, while the configuration that holds these limits can change.
package idleconn
