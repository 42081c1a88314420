package dispatch

import "time"

// WithRouter replaces the router, so that baselines can be measured. The router may call the functions that build gets
// only from Pick, which runs with the dispatcher's mutex held.
func WithRouter[R picker](
	build func(usable func(name string, at time.Time) bool, online func(name string) int) R,
) func(*Dispatcher) {
	return func(d *Dispatcher) { d.router = build(d.usable, d.onlineOn) }
}

// WithoutHedging disables the second stream of a late attempt: a request leaves its backend server only if that fails.
func WithoutHedging() func(*Dispatcher) {
	return func(d *Dispatcher) { d.hedgingDisabled = true }
}
