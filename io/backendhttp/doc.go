// Package backendhttp sends opaque requests to backend servers over HTTP/1.1.
//
// It uses net/http in place of fasthttp: a backend server may answer before it has read a long body, and a request whose
// context ends has to close its connection at once, also in the middle of a streamed body.
package backendhttp
