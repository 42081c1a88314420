// Package dispatch runs requests: admission, routing, streaming, resumption, retries and hedging.
//
// One mutex guards all scheduling state. It is never held during a call to a backend server, a caller or a peer.
//
// The batch owner of a backend server is the one entry instance that may start batch streams on it.
package dispatch
