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
	// MaxCoveredGap is the longest time between two calls of MarkCovered that counts as covered. In a longer gap the
	// process was paused, and the gap is missing data.
	MaxCoveredGap = 5 * time.Second
)

// Ledger counts good and bad requests per route and objective, and batch items per deployment, in ring buffers of fixed
// size. The counts take RouteBytes (5,472 bytes) per route and DeploymentBytes (1,824 bytes) per deployment at any load,
// plus one map entry per objective; the covered time takes 1,824 bytes per ledger. A time before the latest one that any
// call gave is treated as that latest time. A Ledger is not safe for concurrent use.
type Ledger struct {
	started time.Time
	// latest is the highest time that any call gave, lastMarked that of the previous MarkCovered, both since started.
	latest     time.Duration
	lastMarked time.Duration
	// heads holds the number of the current bucket of each level, counted from started.
	heads   [len(levels)]int
	covered [cells]time.Duration
	series  map[key]*[cells]cell
}

type key struct {
	objective Objective
	name      string
}

type cell struct {
	good uint32
	bad  uint32
}

// New returns a ledger whose buckets begin at started and follow the monotonic clock, so that a step of the wall clock
// does not shift them.
func New(started time.Time) *Ledger {
	return &Ledger{
		started: started,
		series:  map[key]*[cells]cell{},
	}
}

// Count adds good and bad requests or items; name is an online route, or a deployment for ObjectiveBatch.
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

// MarkCovered marks the time since the previous call as covered, or leaves it as missing data if it is longer than
// MaxCoveredGap.
func (l *Ledger) MarkCovered(at time.Time) {
	l.advance(at)
	from, to := l.lastMarked, l.latest
	l.lastMarked = to
	if to-from > MaxCoveredGap {
		return
	}
	for n, v := range levels {
		// MaxCoveredGap is below the width of every level, so the time falls into the current and the previous bucket only.
		edge := min(max(from, time.Duration(l.heads[n])*v.width), to)
		l.covered[v.cellIndex(l.heads[n])] += to - edge
		if edge > from {
			l.covered[v.cellIndex(l.heads[n]-1)] += edge - from
		}
	}
}

// Retain drops the counts of routes and deployments that c does not name, so that the size of the ledger is bounded by
// that of the configuration.
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

// Snapshot returns the counts of all routes and deployments of c with their targets. It calls MarkCovered.
func (l *Ledger) Snapshot(instance string, c *configuration.Configuration, at time.Time) Snapshot {
	l.MarkCovered(at)
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

// sum adds up the buckets whose distance behind the current one is at least from and less than to.
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

// advance moves to a new time and clears the buckets that begin since the previous one.
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

// cellIndex returns the index of a bucket's cell in a series; buckets are numbered from the start of the ledger.
func (v level) cellIndex(bucket int) int {
	return v.firstCell + bucket%v.count
}

// addSaturating returns c+n, or the largest uint32 if the sum exceeds it.
func addSaturating(c uint32, n int) uint32 {
	return uint32(min(uint64(c)+uint64(max(n, 0)), math.MaxUint32))
}
