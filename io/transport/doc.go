// Package transport performs one HTTP request over a pooled connection, without retries, with a progress deadline.
package transport
