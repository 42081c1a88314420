package dispatch

import (
	"time"

	"tarragonwalk/core/inference"
	"tarragonwalk/core/retry"
)

// lateCheckInterval is the time to the next check for a late stream if no measurement gives one.
const lateCheckInterval = 100 * time.Millisecond

// secondStreamIfLate returns a second stream to start if the only one of an attempt is late, and the time to the next check.
// delivered reports whether the attempt has delivered a token. Before the first token the caller has already waited for
// hedgeDelay, so that lateness is checked only after it: the second stream is a hedge and spends the hedge budget. Later it
// takes over from a stalled server and spends the retry budget.
func (d *Dispatcher) secondStreamIfLate(s *requestState, st serverStream, delivered bool) (serverStream, bool, time.Duration) {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	if !delivered {
		next, ok := d.acquireSecondStream(s, st, d.hedges, at)
		if ok {
			counters.Add("Hedged", 1)
		}

		return next, ok, lateCheckInterval
	}
	late, after := d.latency.Late(st.server, st.id, at)
	if !late || s.delivering.Load() {
		return serverStream{}, false, max(time.Millisecond, after)
	}
	d.latency.Fail(st.server, at)
	next, ok := d.acquireSecondStream(s, st, d.retries, at)
	if ok {
		counters.Add("Moved", 1)
	}

	return next, ok, lateCheckInterval
}

// hedgeDelay returns the time to wait for the first token before a second stream is started. It is shorter when the
// request was sent to a straggler to measure it again, so that such requests do not raise the tail latency.
func (d *Dispatcher) hedgeDelay(deployment, server string) time.Duration {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	if median := d.latency.Median(deployment, at); median > 0 && d.latency.Straggler(server, at) {
		return median
	}

	return d.latency.HedgeDelay(deployment)
}

// acquireSecondStream takes a slot on another server of this instance's region that is not a straggler and is not excluded
// for the request, if the budget allows it.
func (d *Dispatcher) acquireSecondStream(s *requestState, st serverStream, budget *retry.Budget, at time.Time) (serverStream, bool) {
	c := d.configuration.Current()
	excluded := map[string]bool{st.server: true}
	for name, b := range c.BackendServers {
		if s.excluded[name] || b.Region != d.self.Region || d.latency.Straggler(name, at) {
			excluded[name] = true
		}
	}
	name, ok := d.router.Pick(c, s.request, excluded, at)
	if !ok || !budget.Allow() {
		return serverStream{}, false
	}
	d.lastID++
	d.admission.Start(d.lastID, s.request, name)
	d.onlineStarted(c, name, at)

	return serverStream{
		id:      d.lastID,
		server:  name,
		address: c.BackendServers[name].Address,
		class:   inference.ClassOnline,
	}, true
}
