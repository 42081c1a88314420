package feasibility

import (
	"log/slog"
	"time"

	"tarragonwalk/core/gossip"
	"tarragonwalk/core/throughput"
)

const (
	// queuedFor is how long items have to have waited for a slot without a break before the rate counts as all that the fleet can do.
	// Before that it may be low since there was little to do.
	queuedFor = throughput.Window
	// peakWindow is how long the highest rate is remembered, so that a burst of online requests or the loss of backend servers does
	// not make jobs look infeasible at once.
	peakWindow = 12 * time.Second
	// sampleInterval is the time between two samples.
	sampleInterval = 500 * time.Millisecond
	// maxAge is the age of the last sample above which the estimate is unknown.
	maxAge  = 1500 * time.Millisecond
	samples = int(peakWindow / sampleInterval)
)

// sample is the number of events of a window at a time.
type sample struct {
	at     time.Time
	events int
}

// history is what was observed of one route.
type history struct {
	current gossip.BatchProgress
	// queuedSince is since when items have waited for a slot in each observation, zero if none did in the last.
	queuedSince time.Time
	samples     [samples]sample
	next        int
	sampledAt   time.Time
}

// Estimator predicts from the progress of the whole fleet when a job would be completed. It is not safe for concurrent use.
type Estimator struct {
	routes     map[string]*history
	observedAt time.Time
}

// New returns an estimator without observations, which predicts nothing.
func New() *Estimator {
	return &Estimator{
		routes: map[string]*history{},
	}
}

// Observe records the progress of all routes in the whole fleet at a time. Without a complete view, or after a pause, what was observed
// before is dropped.
func (e *Estimator) Observe(fleet map[string]gossip.BatchProgress, complete bool, at time.Time) {
	if !complete || at.Sub(e.observedAt) > maxAge {
		clear(e.routes)
	}
	e.observedAt = at
	if !complete {
		return
	}
	for route := range e.routes {
		if _, ok := fleet[route]; !ok {
			delete(e.routes, route)
		}
	}
	for route, p := range fleet {
		h := e.routes[route]
		if h == nil {
			h = &history{}
			e.routes[route] = h
		}
		h.observe(p, at)
	}
}

func (h *history) observe(p gossip.BatchProgress, at time.Time) {
	h.current = p
	switch {
	case p.Queued == 0:
		h.queuedSince = time.Time{}
	case h.queuedSince.IsZero():
		h.queuedSince = at
	}
	if at.Sub(h.sampledAt) >= sampleInterval {
		h.samples[h.next%samples] = sample{
			at:     at,
			events: p.Events,
		}
		h.next++
		h.sampledAt = at
	}
}

// peak returns the highest number of events of a window that ended in the last peakWindow.
func (h *history) peak(at time.Time) int {
	most := h.current.Events
	for _, s := range h.samples {
		if at.Sub(s.at) <= peakWindow {
			most = max(most, s.events)
		}
	}

	return most
}

// Completion returns when a job of a route that needs a number of events would be completed after all items that may still be in
// time; false if that is not known, or items have found free slots lately.
func (e *Estimator) Completion(route string, events int, at time.Time) (time.Time, bool) {
	h := e.routes[route]
	if h == nil || at.Sub(e.observedAt) > maxAge || h.queuedSince.IsZero() || at.Sub(h.queuedSince) < queuedFor {
		return time.Time{}, false
	}
	peak := h.peak(at)
	if peak == 0 || events == 0 {
		return time.Time{}, false
	}

	return at.Add(time.Duration(float64(h.current.Remaining+events) / float64(peak) * float64(throughput.Window))), true
}

// Inputs returns what an estimate for a route at a time rests on, for logs.
func (e *Estimator) Inputs(route string, at time.Time) slog.Attr {
	h := e.routes[route]
	if h == nil {
		return slog.Group("estimate")
	}

	return slog.Group("estimate", "remaining_events", h.current.Remaining, "queued_items", h.current.Queued,
		"peak_events", h.peak(at), "window_ms", throughput.Window.Milliseconds(), "queued_ms", at.Sub(h.queuedSince).Milliseconds(),
		"observed_age_ms", at.Sub(e.observedAt).Milliseconds())
}
