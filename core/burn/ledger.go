package burn

import (
	"maps"
	"math"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
)

const (
	// RouteBytes is the size of the counts of an online route: 3 objectives with 228 cells of 8 bytes.
	RouteBytes = 5472
	// DeploymentBytes is the size of the counts of a deployment's batch work: 228 cells of 8 bytes.
	DeploymentBytes = 1824
	// MaxHeartbeatGap is the longest time between two beats that counts as covered; a longer one is a pause of the process.
	MaxHeartbeatGap = 5 * time.Second
)

// Ledger counts good and bad requests per route and objective, and batch items per deployment, in rings of fixed size.
// The counts take RouteBytes (5,472 bytes) per route and DeploymentBytes (1,824 bytes) per deployment, whatever the load,
// besides one map entry per objective; the covered time takes 1,824 bytes per ledger. A time before the latest one given
// counts as the latest. It is not safe for concurrent use.
type Ledger struct {
	started time.Time
	// latest and beaten are times since started.
	latest        time.Duration
	lastHeartbeat time.Duration
	heads         [len(levels)]int
	covered       [cells]time.Duration
	series        map[key]*[cells]cell
}

type key struct {
	objective Objective
	name      string
}

type cell struct {
	good uint32
	bad  uint32
}

// New returns a ledger that covers the time from started on. Buckets are counted from there on the monotonic clock, so
// that a step of the wall clock moves nothing.
func New(started time.Time) *Ledger {
	return &Ledger{
		started: started,
		series:  map[key]*[cells]cell{},
	}
}

// Count adds good and bad ones; name is an online route, or a deployment for ObjectiveBatch.
func (l *Ledger) Count(o Objective, name string, good, bad int, at time.Time) {
	l.advance(at)
	k := key{
		objective: o,
		name:      name,
	}
	s := l.series[k]
	if s == nil {
		s = &[cells]cell{}
		l.series[k] = s
	}
	for n, v := range levels {
		c := &s[v.cellIndex(l.heads[n])]
		c.good = addSaturating(c.good, good)
		c.bad = addSaturating(c.bad, bad)
	}
}

// Heartbeat covers the time since the previous beat, unless that is longer ago than BeatLimit: then it is missing.
func (l *Ledger) Heartbeat(at time.Time) {
	l.advance(at)
	from, to := l.lastHeartbeat, l.latest
	l.lastHeartbeat = to
	if to-from > MaxHeartbeatGap {
		return
	}
	for n, v := range levels {
		// BeatLimit is below each width, so that at most the current and the previous bucket take a part.
		edge := min(max(from, time.Duration(l.heads[n])*v.width), to)
		l.covered[v.cellIndex(l.heads[n])] += to - edge
		if edge > from {
			l.covered[v.cellIndex(l.heads[n]-1)] += edge - from
		}
	}
}

// Retain drops the counts of routes and deployments that c does not name, which bounds the ledger by the configuration.
func (l *Ledger) Retain(c *configuration.Configuration) {
	maps.DeleteFunc(l.series, func(k key, _ *[cells]cell) bool {
		if k.objective == ObjectiveBatch {
			_, ok := c.Deployments[k.name]

			return !ok
		}
		_, ok := c.OnlineRoutes[k.name]

		return !ok
	})
}

// Snapshot returns the counts of all routes and deployments of c with their targets, and beats.
func (l *Ledger) Snapshot(instance string, c *configuration.Configuration, at time.Time) Snapshot {
	l.Heartbeat(at)
	s := Snapshot{
		Instance:             instance,
		At:                   at.UTC(),
		StartedAt:            l.started.UTC(),
		ConfigurationVersion: c.Version,
		Series:               []Series{},
	}
	for _, name := range slices.Sorted(maps.Keys(c.OnlineRoutes)) {
		r := c.OnlineRoutes[name]
		s.Series = append(s.Series, l.readSeries(ObjectiveSuccess, name, r.SuccessRatio))
		if r.Kind == configuration.RouteKindModel {
			s.Series = append(s.Series, l.readSeries(ObjectiveFirstToken, name, r.LatencyRatio),
				l.readSeries(ObjectiveBetweenTokens, name, r.LatencyRatio))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Deployments)) {
		if servesModel(c, name) {
			s.Series = append(s.Series, l.readSeries(ObjectiveBatch, name, c.Deployments[name].BatchRatio))
		}
	}

	return s
}

// servesModel is false for the deployments of plain services, which take no batch items.
func servesModel(c *configuration.Configuration, deployment string) bool {
	for _, r := range c.OnlineRoutes {
		if r.Deployment == deployment && r.Kind == configuration.RouteKindModel {
			return true
		}
	}

	return false
}

func (l *Ledger) readSeries(o Objective, name string, target float64) Series {
	k := key{
		objective: o,
		name:      name,
	}
	counts := l.series[k]
	if counts == nil {
		counts = &[cells]cell{}
	}
	s := Series{
		Name:      name,
		Objective: o,
		Target:    target,
		Windows:   make([]Window, 0, len(windows)),
		Hours:     make([]Window, 0, coarseBuckets),
	}
	for _, w := range windows {
		s.Windows = append(s.Windows, l.sum(counts, w.level, 0, w.buckets()))
	}
	for n := range coarseBuckets {
		s.Hours = append(s.Hours, l.sum(counts, coarse, n, n+1))
	}

	return s
}

// sum adds the buckets from the ones that lie from, up to but not including to, buckets behind the current one.
func (l *Ledger) sum(counts *[cells]cell, n, from, to int) Window {
	v := levels[n]
	var w Window
	var covered time.Duration
	for b := from; b < to; b++ {
		length := v.width
		if b == 0 {
			length = l.latest - time.Duration(l.heads[n])*v.width
		}
		w.Millis += int(length.Milliseconds())
		if b > l.heads[n] {
			continue // before the start
		}
		p := v.cellIndex(l.heads[n] - b)
		covered += l.covered[p]
		w.Good += int(counts[p].good)
		w.Bad += int(counts[p].bad)
	}
	w.CoveredMillis = int(covered.Milliseconds())

	return w
}

// advance empties the buckets that the time has reached anew.
func (l *Ledger) advance(at time.Time) {
	l.latest = max(l.latest, at.Sub(l.started))
	for n, v := range levels {
		head := int(l.latest / v.width)
		for b := max(l.heads[n]+1, head-v.count+1); b <= head; b++ {
			p := v.cellIndex(b)
			l.covered[p] = 0
			for _, s := range l.series {
				s[p] = cell{}
			}
		}
		l.heads[n] = head
	}
}

// cellIndex is the cell of a bucket, which is counted from the start.
func (v level) cellIndex(bucket int) int {
	return v.firstCell + bucket%v.count
}

// addSaturating stops at the largest value instead of wrapping to a small one.
func addSaturating(c uint32, n int) uint32 {
	return uint32(min(uint64(c)+uint64(max(n, 0)), math.MaxUint32))
}
