// Package dispatch runs requests: admission, routing, streaming, resumption, retries and hedging.
//
// One mutex guards the decision state. It is never held while a backend server, a caller or a peer is called.
package dispatch
