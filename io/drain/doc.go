// Package drain tracks the callers' connections that a server cannot close yet without cutting a request.
package drain
