package quota

import (
	"time"

	"tarragonwalk/core/gossip"
)

// source is the last report of another instance, or on an availability zone.
type source struct {
	zone   string
	madeAt time.Time
	uses   map[int]gossip.QuotaUse
}

// sourceState says how a report counts: extrapolated while it is fresh, with the whole share of an instance or zone that is silent and may
// go on, or with what it has left in the window.
type sourceState int

const (
	sourceFresh sourceState = iota
	sourceSilent
	sourceGone
)

func (s *source) state(gone func() bool, at time.Time) sourceState {
	switch {
	case at.Sub(s.madeAt) <= freshLife:
		return sourceFresh
	case gone():
		return sourceGone
	default:
		return sourceSilent
	}
}

// eachSource calls f for the reports that count at a time. A fresh report on a zone replaces those of its instances, and a silent one is
// replaced by instances that are heard from themselves. The caller holds the lock.
func (q *Quota) eachSource(at time.Time, window time.Duration, f func(key string, s *source, state sourceState)) {
	heard := map[string]bool{}
	for _, p := range q.peers {
		if at.Sub(p.madeAt) <= freshLife {
			heard[p.zone] = true
		}
	}
	covered := map[string]bool{}
	for zone, z := range q.zones {
		state := z.state(func() bool { return q.fleet.ZoneGone(zone) }, at)
		if state != sourceFresh && heard[zone] || state == sourceGone && at.Sub(z.madeAt) >= window {
			continue
		}
		covered[zone] = true
		f(zone, z, state)
	}
	for name, p := range q.peers {
		if covered[p.zone] {
			continue
		}
		state := p.state(func() bool { return q.fleet.Gone(name) }, at)
		if state == sourceGone && at.Sub(p.madeAt) >= window {
			delete(q.peers, name)

			continue
		}
		f("/"+name, p, state)
	}
}
