package recording

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

type dispatcher interface {
	Run(ctx context.Context, r *inference.Request, on func(inference.Event) error) error
	Call(ctx context.Context, r *inference.Request, idempotent bool, call func(context.Context, netip.AddrPort) error) error
}

// holder's Current is never nil.
type holder interface {
	Current() *configuration.Configuration
}

// coverageInterval is well below burn.MaxCoveredGap, so that a late timer does not cause missing data.
const coverageInterval = time.Second

// Recorder runs requests on a dispatcher and counts their outcomes. It is safe for concurrent use.
type Recorder struct {
	dispatcher dispatcher
	holder     holder
	instance   string
	now        func() time.Time

	mu      sync.Mutex
	ledger  *burn.Ledger
	version int
}

// New returns a recorder that counts from now on under the instance's name.
func New(d dispatcher, h holder, instance string, now func() time.Time) *Recorder {
	return &Recorder{
		dispatcher: d,
		holder:     h,
		instance:   instance,
		now:        now,
		ledger:     burn.New(now()),
	}
}

// RunCoverage marks the time as covered until ctx ends, and drops the counts of routes that leave the configuration.
func (r *Recorder) RunCoverage(ctx context.Context) {
	t := time.NewTicker(coverageInterval)
	defer t.Stop()
	for {
		r.markCovered()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Recorder) markCovered() {
	c := r.holder.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.MarkCovered(r.now())
	if c.Version != r.version {
		r.ledger.Retain(c)
		r.version = c.Version
	}
}

// Snapshot returns the counts of the configured routes and deployments.
func (r *Recorder) Snapshot() burn.Snapshot {
	c := r.holder.Current()
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.ledger.Snapshot(r.instance, c, r.now())
}

// Run streams a request and counts its success, its time to the first token and the time between its tokens.
func (r *Recorder) Run(ctx context.Context, q *inference.Request, on func(inference.Event) error) error {
	route, ok := r.holder.Current().OnlineRoutes[q.Route]
	if !ok || q.Class != inference.ClassOnline {
		return r.dispatcher.Run(ctx, q, on)
	}
	m := &meter{
		sink:   on,
		now:    r.now,
		limit:  time.Duration(route.TokenMillis) * time.Millisecond,
		began:  r.now(),
		offset: q.Offset,
	}
	err := r.dispatcher.Run(ctx, q, m.record)
	outcome := err
	if err == nil && !m.finished {
		// The callers' API reports such a stream to the caller as lost.
		outcome = fault.New(fault.CodeStreamLost, "the stream ended without a finish reason")
	}
	at := r.now()
	firstTokenWait, countFirstToken := m.first, m.tokens > 0
	if !countFirstToken {
		// A request without a token misses the objective if it waited longer than the limit, even if the caller ended it.
		firstTokenWait = at.Sub(m.began)
		countFirstToken = firstTokenWait > firstTokenLimit(route) && !callerFault(outcome)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countSuccess(q.Route, outcome, at)
	if countFirstToken {
		r.count(burn.ObjectiveFirstToken, q.Route, firstTokenWait <= firstTokenLimit(route), at)
	}
	if gaps := m.tokens - 1; gaps > 0 {
		r.count(burn.ObjectiveBetweenTokens, q.Route, withinPace(m.slow, gaps, route.LatencyRatio), at)
	}

	return err
}

// Call sends a request to a plain service and counts its success. Any response counts as a success, whatever its status.
func (r *Recorder) Call(
	ctx context.Context, q *inference.Request, idempotent bool, call func(context.Context, netip.AddrPort) error,
) error {
	err := r.dispatcher.Call(ctx, q, idempotent, call)
	if _, ok := r.holder.Current().OnlineRoutes[q.Route]; ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.countSuccess(q.Route, err, r.now())
	}

	return err
}

// CountPublished counts the items of a published chunk: good if they are readable before the job's deadline, even if the
// result of an item is an error of that item.
func (r *Recorder) CountPublished(deployment string, items int, deadline, at time.Time) {
	if _, ok := r.holder.Current().Deployments[deployment]; !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(deadline) {
		r.ledger.Count(burn.ObjectiveBatch, deployment, items, 0, at)
	} else {
		r.ledger.Count(burn.ObjectiveBatch, deployment, 0, items, at)
	}
}

func (r *Recorder) countSuccess(route string, err error, at time.Time) {
	// A request that its caller cancelled is neither a success nor a failure.
	callerLeft := fault.CodeOf(err) == fault.CodeCancelled && !errors.Is(err, context.DeadlineExceeded)
	if !callerLeft && !callerFault(err) {
		r.count(burn.ObjectiveSuccess, route, err == nil, at)
	}
}

func (r *Recorder) count(o burn.Objective, route string, good bool, at time.Time) {
	if good {
		r.ledger.Count(o, route, 1, 0, at)
	} else {
		r.ledger.Count(o, route, 0, 1, at)
	}
}

// callerFault reports whether the request was refused because of an error of the caller. An overload is not one.
func callerFault(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeInvalid, fault.CodeUnauthorized, fault.CodeForbidden, fault.CodeNotFound, fault.CodeTooLarge,
		fault.CodeConflict:
		return true
	default:
		return false
	}
}

// withinPace reports whether enough gaps between the tokens of one request stayed within the limit. The required ratio of
// gaps is the latency ratio that also applies to requests: a p95 allows a twentieth of the gaps to be longer.
func withinPace(slow, gaps int, ratio float64) bool {
	const rounding = 1e-9

	return float64(slow) <= (1-ratio)*float64(gaps)+rounding
}

func firstTokenLimit(o configuration.OnlineRoute) time.Duration {
	return time.Duration(o.FirstTokenMillis) * time.Millisecond
}
