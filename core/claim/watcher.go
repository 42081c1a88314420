package claim

import (
	"time"

	"tarragonwalk/core/job"
)

const (
	// Renewal is the time between two renewals of the session of an instance that holds claims.
	Renewal = 5 * time.Second
	// Expiry is how long a session must stay unchanged before its claims may be taken over: three lost renewals.
	Expiry = 15 * time.Second
)

// Watcher judges claims from observed sessions. All times are the observer's own and monotonic; it never uses the
// holder's clock. It is not safe for concurrent use.
type Watcher struct {
	sessions map[string]observation
}

type observation struct {
	incarnation string
	counter     int
	present     bool
	changedAt   time.Time
	seenAt      time.Time
}

// New returns a watcher without observations.
func New() *Watcher {
	return &Watcher{
		sessions: make(map[string]observation),
	}
}

// Observe records an instance's session as read at a time; s is nil if there is none.
func (w *Watcher) Observe(instance string, s *job.Session, at time.Time) {
	o := observation{
		changedAt: at,
		seenAt:    at,
	}
	if s != nil {
		o.present = true
		o.incarnation = s.Incarnation
		o.counter = s.Counter
	}
	old, ok := w.sessions[instance]
	if ok && old.present == o.present && old.incarnation == o.incarnation && old.counter == o.counter {
		o.changedAt = old.changedAt
	}
	w.sessions[instance] = o
}

// Due reports whether the session of an instance should be read again.
func (w *Watcher) Due(instance string, at time.Time) bool {
	o, ok := w.sessions[instance]

	return !ok || at.Sub(o.seenAt) >= Renewal
}

// MayTake reports whether a claim may be taken over: it was released, its holder runs with another incarnation, or the
// holder's session was unchanged between two observations at least Expiry apart.
func (w *Watcher) MayTake(c job.Claim) bool {
	if c.Released {
		return true
	}
	o, ok := w.sessions[c.Holder]
	if !ok {
		return false
	}
	if o.present && o.incarnation != c.Incarnation {
		return true
	}

	return o.seenAt.Sub(o.changedAt) >= Expiry
}

// Reset drops all observations. A holder cannot renew its session in a store outage, so the time in which the store was
// out of reach does not count, and neither does a pause of the observer.
func (w *Watcher) Reset() {
	clear(w.sessions)
}

// Forget drops observations that are older than a minute, which bounds the memory.
func (w *Watcher) Forget(at time.Time) {
	for n, o := range w.sessions {
		if at.Sub(o.seenAt) > time.Minute {
			delete(w.sessions, n)
		}
	}
}
