package forward

import (
	"time"

	"tarragonwalk/core/route"
)

// timing records when parts of a response were passed to the caller.
type timing struct {
	startedAt time.Time
	firstAt   time.Time
	lastAt    time.Time
	// pause is the longest time between two deliveries.
	pause time.Duration
}

// deliver records that a part of the response was passed to the caller.
func (t *timing) deliver(at time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt = at
	} else {
		t.pause = max(t.pause, at.Sub(t.lastAt))
	}
	t.lastAt = at
}

// first returns the time from the start to the first part.
func (t *timing) first() time.Duration {
	return t.firstAt.Sub(t.startedAt)
}

// late reports whether the response missed a latency objective of its route.
func (t *timing) late(r *route.Route) bool {
	first := time.Duration(r.TargetMillis) * time.Millisecond
	pause := time.Duration(r.GapMillis) * time.Millisecond

	return first > 0 && t.first() > first || pause > 0 && t.pause > pause
}
