package forward

import (
	"time"

	"tarragonwalk/core/route"
)

// timing is what a caller has seen of an answer.
type timing struct {
	startedAt time.Time
	firstAt   time.Time
	lastAt    time.Time
	// pause is the longest time between two deliveries.
	pause time.Duration
}

// deliver notes that the caller got something.
func (t *timing) deliver(at time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt = at
	} else {
		t.pause = max(t.pause, at.Sub(t.lastAt))
	}
	t.lastAt = at
}

// first returns the time until the caller got something.
func (t *timing) first() time.Duration {
	return t.firstAt.Sub(t.startedAt)
}

// late reports whether the answer missed an objective of its route.
func (t *timing) late(r *route.Route) bool {
	first := time.Duration(r.TargetMillis) * time.Millisecond
	pause := time.Duration(r.GapMillis) * time.Millisecond

	return first > 0 && t.first() > first || pause > 0 && t.pause > pause
}
