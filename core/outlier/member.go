package outlier

import (
	"time"

	"tarragonwalk/core/gossip"
)

// heard is a report of another instance.
type heard struct {
	gossip.Outcomes
	zone string
	// failedAt is when the last failure happened, zero if there is none.
	failedAt time.Time
	// until is when the outcomes are too old; successful probes count for as long again.
	until time.Time
}

// member is the state of one server.
type member struct {
	own      window
	failedAt time.Time
	heard    map[string]heard

	// failingSince is since when the evidence is enough for an ejection, zero if it isn't.
	failingSince time.Time
	ejected      bool
	ejectedAt    time.Time
	// pause is the time from the ejection, or a failed probe, to the next probe.
	pause   time.Duration
	probeAt time.Time
	// probeUntil is when the probe in flight is given up, zero if there is none.
	probeUntil time.Time
	// successes counts successful probes in a row, and those before the last return.
	successes int
	// ownFailed is set if own failures were the cause of the ejection, or a probe of this instance has failed since.
	ownFailed bool
	// returnedAt is when the server has last returned, zero if it was never ejected.
	returnedAt time.Time
	// turns is the part of a request that the server may get while it returns.
	turns float64
	// doubtful is set for a server that batch items avoid.
	doubtful bool
}

// evidence sums outcomes of several instances.
type evidence struct {
	requests, failures int
	// reporters counts instances that saw failures, and most is the largest number of failures that one of them saw.
	reporters, most int
}

func (e *evidence) add(requests, failures int) {
	e.requests += requests
	e.failures += failures
	if failures > 0 {
		e.reporters++
		e.most = max(e.most, failures)
	}
}

// levels are the outcomes of this instance, of all instances of its zone, and of all instances.
type levels struct {
	own, zone, all evidence
}

func (m *member) levels(zone string, at time.Time) levels {
	var l levels
	l.own.add(m.own.sum(at))
	l.zone, l.all = l.own, l.own
	for name, h := range m.heard {
		if !at.Before(h.until) {
			if !at.Before(h.until.Add(windowLife)) {
				delete(m.heard, name)
			}

			continue
		}
		failures := h.Failures
		if !h.failedAt.After(m.returnedAt) {
			failures = 0
		}
		if h.zone == zone {
			l.zone.add(h.Requests, failures)
		}
		l.all.add(h.Requests, failures)
	}

	return l
}

// failing reports whether a server fails much more often than others, whose share of failures is rate. The nearest evidence decides: a server
// may fail for callers of one zone only.
func (m *member) failing(l levels, rate float64, at time.Time) bool {
	if l.own.exceeds(rate, minFailures, maxChance) || m.returning(at) && l.own.failures >= relapseFailures {
		return true
	}
	if l.own.requests >= soundOwn && l.own.failures == 0 || l.own.failures == 0 && at.Sub(m.returnedAt) < trustOwn {
		return false
	}
	if l.zone.corroborated() && l.zone.exceeds(rate, minHeardFailures, maxChance) {
		return true
	}
	if l.zone.requests >= soundZone && l.zone.failures == 0 {
		return false
	}

	return l.all.corroborated() && l.all.exceeds(rate, minHeardFailures, maxChance)
}

// confirmed reports whether a server has been failing for confirmTime.
func (m *member) confirmed(l levels, rate float64, at time.Time) bool {
	if !m.failing(l, rate, at) {
		m.failingSince = time.Time{}

		return false
	}
	if m.failingSince.IsZero() {
		m.failingSince = at
	}

	return at.Sub(m.failingSince) >= confirmTime
}

func (m *member) returning(at time.Time) bool {
	return !m.ejected && at.Sub(m.returnedAt) < rampTime
}

// corroborated reports whether several instances have seen failures, so that the path of one of them isn't the cause.
func (e *evidence) corroborated() bool {
	return e.reporters >= 2 && e.failures-e.most >= minOtherFailures
}

// exceeds reports whether the failures are at least a number, and many more than expected at a rate, unless by a small chance.
func (e *evidence) exceeds(rate float64, least int, chance float64) bool {
	share := float64(e.failures) / float64(max(1, e.requests))

	return e.failures >= least && share >= minShare && share >= minRatio*rate && tail(e.requests, e.failures, rate) <= chance
}

// tail returns the probability of at least a number of failures among requests that each fail at a rate.
func tail(requests, failures int, rate float64) float64 {
	if failures <= 0 {
		return 1
	}
	// The terms are those of the binomial distribution, from no failure on.
	term, below := 1.0, 0.0
	for range requests {
		term *= 1 - rate
	}
	for k := range failures {
		below += term
		term *= float64(requests-k) / float64(k+1) * rate / (1 - rate)
	}

	return max(0, 1-below)
}
