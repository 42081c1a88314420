package claim

import (
	"time"

	"tarragonwalk/core/job"
)

const (
	// Renewal is the time between two renewals of the session of an instance that holds claims.
	Renewal = 5 * time.Second
	// Expiry is how long a session must stay unchanged before its claims may be taken over: three missed renewals.
	Expiry = 15 * time.Second
)

// SessionTracker decides from observed sessions whether claims have expired. All times are on the observer's monotonic clock,
// never on the holder's. It is not safe for concurrent use.
type SessionTracker struct {
	sessions map[string]observation
}

// observation is the last read state of a session.
type observation struct {
	incarnation string
	counter     int
	present     bool
	changedAt   time.Time
	seenAt      time.Time
}

// New returns a tracker without observations.
func New() *SessionTracker {
	return &SessionTracker{
		sessions: make(map[string]observation),
	}
}

// Observe records an instance's session as read at a time; s is nil if the instance has none.
func (t *SessionTracker) Observe(instance string, s *job.Session, at time.Time) {
	o := observation{
		changedAt: at,
		seenAt:    at,
	}
	if s != nil {
		o.present = true
		o.incarnation = s.Incarnation
		o.counter = s.Counter
	}
	old, ok := t.sessions[instance]
	if ok && old.present == o.present && old.incarnation == o.incarnation && old.counter == o.counter {
		o.changedAt = old.changedAt
	}
	t.sessions[instance] = o
}

// NeedsRead reports whether the session of an instance should be read again.
func (t *SessionTracker) NeedsRead(instance string, at time.Time) bool {
	o, ok := t.sessions[instance]

	return !ok || at.Sub(o.seenAt) >= Renewal
}

// MayTakeOver reports whether a claim may be taken over: it was released, its holder runs with another incarnation, or the
// holder's session was unchanged between two observations at least Expiry apart.
func (t *SessionTracker) MayTakeOver(c job.Claim) bool {
	if c.Released {
		return true
	}
	o, ok := t.sessions[c.Holder]
	if !ok {
		return false
	}
	if o.present && o.incarnation != c.Incarnation {
		return true
	}

	return o.seenAt.Sub(o.changedAt) >= Expiry
}

// Reset drops all observations, so that the time before it does not count towards Expiry. It has to be called after a store
// outage, in which holders could not renew their sessions, and after a pause of the observer.
func (t *SessionTracker) Reset() {
	clear(t.sessions)
}

// Forget drops observations that are older than a minute, to bound memory use.
func (t *SessionTracker) Forget(at time.Time) {
	for n, o := range t.sessions {
		if at.Sub(o.seenAt) > time.Minute {
			delete(t.sessions, n)
		}
	}
}
