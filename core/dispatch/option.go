package dispatch

import "time"

// WithRouter replaces the router, for baselines; build gets functions that the router may call from Pick only.
func WithRouter[R picker](
	build func(usable func(name string, at time.Time) bool, online func(name string) int) R,
) func(*Dispatcher) {
	return func(d *Dispatcher) { d.router = build(d.usable, d.onlineOn) }
}

// WithoutHedging leaves every stream on the server that the router picked while that server does not fail.
func WithoutHedging() func(*Dispatcher) {
	return func(d *Dispatcher) { d.plain = true }
}
