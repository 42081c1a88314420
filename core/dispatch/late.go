package dispatch

import (
	"time"

	"tarragonwalk/core/inference"
	"tarragonwalk/core/retry"
)

// lateCheck is the time to the next check for a late stream if no measurement gives one.
const lateCheck = 100 * time.Millisecond

// late returns a second stream to start if the only one of an attempt is late, and the time to the next check. answers
// tells whether the attempt has delivered a token: before the first one the second stream is a hedge and spends the hedge
// budget, later it takes over from a stalled server and spends the retry budget.
func (d *Dispatcher) late(s *sequence, l lane, answers bool) (lane, bool, time.Duration) {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	if !answers {
		next, ok := d.second(s, l, d.hedges, at)
		if ok {
			counters.Add("Hedged", 1)
		}

		return next, ok, lateCheck
	}
	late, after := d.pace.Late(l.server, l.id, at)
	if !late || s.delivering.Load() {
		return lane{}, false, max(time.Millisecond, after)
	}
	d.pace.Fail(l.server, at)
	next, ok := d.second(s, l, d.retries, at)
	if ok {
		counters.Add("Moved", 1)
	}

	return next, ok, lateCheck
}

// hedgeAfter returns the time to wait for the first token before a second stream is started. It is shorter when the
// request probes a straggler, so that probes do not raise the tail latency.
func (d *Dispatcher) hedgeAfter(deployment, server string) time.Duration {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	if median := d.pace.Median(deployment, at); median > 0 && d.pace.Straggler(server, at) {
		return median
	}

	return d.pace.HedgeAfter(deployment)
}

// second takes a slot on another server of the own region that is no straggler and has not failed the request, if the
// budget allows it.
func (d *Dispatcher) second(s *sequence, l lane, budget *retry.Budget, at time.Time) (lane, bool) {
	c := d.configuration.Current()
	excluded := map[string]bool{l.server: true}
	for name, b := range c.BackendServers {
		if s.excluded[name] || b.Region != d.self.Region || d.pace.Straggler(name, at) {
			excluded[name] = true
		}
	}
	name, ok := d.router.Pick(c, s.request, excluded, at)
	if !ok || !budget.Allow() {
		return lane{}, false
	}
	d.lastID++
	d.admission.Start(d.lastID, s.request, name)
	d.rose(c, name, at)

	return lane{
		id:      d.lastID,
		server:  name,
		address: c.BackendServers[name].Address,
		class:   inference.ClassOnline,
	}, true
}
