package outlier

import "time"

func (m *member) eject(l levels, at time.Time) {
	switch {
	case m.returnedAt.IsZero() || at.Sub(m.returnedAt) >= growTime:
		m.pause = firstPause
	default:
		m.pause = min(maxPause, 2*m.pause)
	}
	m.ejected, m.ejectedAt = true, at
	m.probeUntil, m.successes = time.Time{}, 0
	m.ownFailed = l.own.failures >= minFailures
}

// returns gives the cause for which an ejected server returns, empty if it doesn't.
func (m *member) returns(zone string, at time.Time) string {
	failedAt := m.ejectedAt
	if m.failedAt.After(failedAt) {
		failedAt = m.failedAt
	}
	successes, reporters, near := m.successes, 0, 0
	for _, h := range m.heard {
		if h.failedAt.After(failedAt) {
			failedAt = h.failedAt
		}
		if h.Successes > 0 {
			successes += h.Successes
			reporters++
			if h.zone == zone {
				near++
			}
		}
	}
	switch {
	case m.successes >= ownSuccesses:
		return "probes"
	case successes < heardSuccesses || at.Sub(failedAt) < calmTime:
	case m.successes > 0 || !m.ownFailed && reporters >= 2 || near >= nearReporters && at.Sub(m.failedAt) >= 2*calmTime:
		return "probes of several instances"
	}
	if at.Sub(failedAt) >= quietTime {
		return "no failure known"
	}

	return ""
}

func (m *member) restore(at time.Time) {
	m.ejected, m.returnedAt = false, at
	m.own = window{}
	m.turns = 0
}

func (m *member) change(id, cause string, l levels, rate float64, until time.Time) change {
	c := change{
		server:        id,
		ejected:       m.ejected,
		cause:         cause,
		failures:      l.own.failures,
		requests:      l.own.requests,
		heardFailures: l.all.failures - l.own.failures,
		heardRequests: l.all.requests - l.own.requests,
		heardFrom:     len(m.heard),
		othersRate:    rate,
		until:         until,
	}
	for _, h := range m.heard {
		if h.failedAt.After(c.heardAt) {
			c.heardAt = h.failedAt
		}
	}

	return c
}
