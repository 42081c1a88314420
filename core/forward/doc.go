// Package forward runs a caller's request on backend servers: it sends it, and retries or resumes it on another server
// while the route allows it.
package forward
