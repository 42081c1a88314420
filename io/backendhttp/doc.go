// Package backendhttp sends opaque requests to backend servers over HTTP/1.1.
//
// It uses net/http instead of fasthttp: a backend server may respond before it has read a long body, and when the context of
// a request ends, its connection must be closed at once, even in the middle of a streamed body.
package backendhttp
