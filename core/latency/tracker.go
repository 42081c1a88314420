package latency

import (
	"slices"
	"time"
)

const (
	window = 2 * time.Second
	// serverSamples bounds the memory per backend server; one entry instance starts only few streams on it within the window.
	serverSamples = 32
	// deploymentSamples keeps enough first tokens for a p95.
	deploymentSamples = 256
	stragglerFactor   = 3
	// Below these values a latency is never considered slow, since differences are scheduling noise.
	firstTokenFloor = 20 * time.Millisecond
	tokenFloor      = 5 * time.Millisecond
	// The limits for a single late token are higher than those for a median, since moving its stream costs a prefill.
	lateFactor = 4
	lateFloor  = 20 * time.Millisecond
	// Each probe may delay a caller's request, so the interval doubles while probes fail.
	probeInterval    = time.Second
	maxProbeInterval = 8 * time.Second
	summaryInterval  = 50 * time.Millisecond
	forgetAfter      = time.Minute
	// defaultHedgeDelay is the target time to first token, and the hedging delay until there are enough samples for a p95.
	defaultHedgeDelay = 750 * time.Millisecond
	minHedgeSamples   = 20
)

// Tracker holds recent measurements per backend server; it is not safe for concurrent use.
type Tracker struct {
	eventTimeout time.Duration
	servers      map[string]*server
	deployments  map[string]*deployment
}

type sample struct {
	at    time.Time
	value time.Duration
}

type server struct {
	deployment     string
	first          ring
	gaps           ring
	streams        map[uint64]*stream
	straggler      bool
	stragglerSince time.Time
	probedAt       time.Time
	probeAfter     time.Duration
	seenAt         time.Time
}

type stream struct {
	started time.Time
	last    time.Time
	tokens  int
}

type deployment struct {
	first       ring
	at          time.Time
	medianFirst time.Duration
	medianGap   time.Duration
}

// New returns an empty tracker; a stream without an event for longer than eventTimeout makes its server a straggler.
func New(eventTimeout time.Duration) *Tracker {
	return &Tracker{
		eventTimeout: eventTimeout,
		servers:      map[string]*server{},
		deployments:  map[string]*deployment{},
	}
}

// StartStream records that a stream was sent to a backend server.
func (t *Tracker) StartStream(deploymentName, name string, id uint64, at time.Time) {
	s := t.servers[name]
	if s == nil {
		s = &server{
			first:   ring{size: serverSamples},
			gaps:    ring{size: serverSamples},
			streams: map[uint64]*stream{},
		}
		t.servers[name] = s
	}
	if t.deployments[deploymentName] == nil {
		t.deployments[deploymentName] = &deployment{first: ring{size: deploymentSamples}}
	}
	s.deployment = deploymentName
	s.seenAt = at
	s.streams[id] = &stream{
		started: at,
		last:    at,
	}
}

// Token records a token of a stream; the first one measures the time to first token, later ones the inter-token latency.
func (t *Tracker) Token(name string, id uint64, at time.Time) {
	s := t.servers[name]
	if s == nil || s.streams[id] == nil {
		return
	}
	st := s.streams[id]
	if st.tokens == 0 {
		m := sample{
			at:    at,
			value: at.Sub(st.started),
		}
		s.first.add(m)
		t.deployments[s.deployment].first.add(m)
	} else {
		s.gaps.add(sample{
			at:    at,
			value: at.Sub(st.last),
		})
	}
	st.tokens++
	st.last, s.seenAt = at, at
}

// EndStream records that a stream ended in any way.
func (t *Tracker) EndStream(name string, id uint64, at time.Time) {
	if s := t.servers[name]; s != nil {
		delete(s.streams, id)
		s.seenAt = at
	}
}

// Fail records that a backend server was lost, silent or late with a token. It is a straggler, which gets only probes, until
// tokens arrive from it in time.
func (t *Tracker) Fail(name string, at time.Time) {
	if s := t.servers[name]; s != nil {
		s.straggler, s.stragglerSince, s.probedAt, s.probeAfter = true, at, at, probeInterval
	}
}

// Late reports whether the next token of a stream is late, which means that its gap is more than 4 times the deployment's
// median gap, and otherwise the time until it will be. A stream without its first token is never late.
func (t *Tracker) Late(name string, id uint64, at time.Time) (late bool, after time.Duration) {
	s := t.servers[name]
	if s == nil || s.streams[id] == nil {
		return false, lateFloor
	}
	d := t.summary(s.deployment, at)
	st := s.streams[id]
	if st.tokens == 0 || d.medianGap == 0 {
		return false, lateFloor
	}
	rest := max(lateFactor*d.medianGap, lateFloor) - at.Sub(st.last)

	return rest < 0, max(0, rest)
}

// Straggler reports whether a backend server is more than 3 times slower than its deployment's median, silent, or has failed
// and not recovered yet.
func (t *Tracker) Straggler(name string, at time.Time) bool {
	s := t.servers[name]
	if s == nil {
		return false
	}
	d := t.summary(s.deployment, at)
	slow, known := s.slow(d, t.eventTimeout, at)
	switch {
	case slow && !s.straggler:
		s.straggler, s.stragglerSince, s.probedAt, s.probeAfter = true, at, at, probeInterval
	case !slow && known && s.straggler:
		s.straggler, s.probeAfter = false, 0
	}

	return s.straggler
}

// Probe reports whether a straggler may get one request now as a probe, and records it. There is at most one probe in each
// probe interval, and none while a stream is in flight, since that measures the server as well.
func (t *Tracker) Probe(name string, at time.Time) bool {
	s := t.servers[name]
	if s == nil {
		return true
	}
	if len(s.streams) > 0 || at.Sub(s.probedAt) < s.probeAfter {
		return false
	}
	s.probedAt = at
	s.probeAfter = min(maxProbeInterval, max(probeInterval, 2*s.probeAfter))

	return true
}

// FirstToken returns a backend server's expected time to first token: the median of its recent samples, else the median of
// its deployment, else 0.
func (t *Tracker) FirstToken(name string, at time.Time) time.Duration {
	s := t.servers[name]
	if s == nil {
		return 0
	}
	if m, n := s.first.median(at.Add(-window)); n > 0 {
		return m
	}

	return t.summary(s.deployment, at).medianFirst
}

// Median returns the deployment's median time to first token, or 0 without samples.
func (t *Tracker) Median(deploymentName string, at time.Time) time.Duration {
	if t.deployments[deploymentName] == nil {
		return 0
	}

	return t.summary(deploymentName, at).medianFirst
}

// HedgeDelay returns the hedging delay of a deployment: the p95 of its time to first token.
func (t *Tracker) HedgeDelay(deploymentName string) time.Duration {
	d := t.deployments[deploymentName]
	if d == nil || len(d.first.items) < minHedgeSamples {
		return defaultHedgeDelay
	}
	v := d.first.since(time.Time{})
	slices.Sort(v)

	return v[len(v)*95/100]
}

func (t *Tracker) summary(name string, at time.Time) *deployment {
	d := t.deployments[name]
	if !d.at.IsZero() && at.Sub(d.at) < summaryInterval {
		return d
	}
	d.at = at
	var first, gaps []time.Duration
	for n, s := range t.servers {
		if len(s.streams) == 0 && at.Sub(s.seenAt) > forgetAfter {
			delete(t.servers, n)

			continue
		}
		if s.deployment != name {
			continue
		}
		if m, k := s.first.median(at.Add(-window)); k > 0 {
			first = append(first, m)
		}
		if m, k := s.gaps.median(at.Add(-window)); k > 0 {
			gaps = append(gaps, m)
		}
	}
	// Without recent samples the last median is kept, so that a probe can be compared with it.
	if len(first) > 0 {
		d.medianFirst = lowerMedian(first)
	}
	if len(gaps) > 0 {
		d.medianGap = lowerMedian(gaps)
	}

	return d
}

func (s *server) slow(d *deployment, eventTimeout time.Duration, at time.Time) (slow, known bool) {
	from := at.Add(-window)
	if s.straggler && s.stragglerSince.After(from) {
		from = s.stragglerSince
	}
	firstBound := max(stragglerFactor*d.medianFirst, firstTokenFloor)
	first, waiting := s.first.since(from), 0
	for _, st := range s.streams {
		age := at.Sub(st.last)
		if age > eventTimeout {
			return true, true
		}
		// The age of a stream that still waits for its first token is a lower bound of its time to first token.
		if st.tokens == 0 && d.medianFirst > 0 && age > firstBound {
			first = append(first, age)
			waiting++
		}
	}
	// One slow sample may come from a long prompt, so two are needed.
	if len(first) >= 2 && d.medianFirst > 0 && lowerMedian(first) > firstBound {
		return true, true
	}
	gap, n := s.gaps.median(from)
	if n >= 4 && d.medianGap > 0 && gap > max(stragglerFactor*d.medianGap, tokenFloor) {
		return true, true
	}
	recovered := len(first) > waiting && lowerMedian(first) <= firstBound || len(first) == 0 && n >= 4

	return false, recovered
}

func lowerMedian(v []time.Duration) time.Duration {
	slices.Sort(v)

	return v[(len(v)-1)/2]
}

// RestartGap restarts the gap of a stream whose consumer was slow, so that the delay is not counted against the server.
func (t *Tracker) RestartGap(name string, id uint64, at time.Time) {
	if s := t.servers[name]; s != nil && s.streams[id] != nil {
		s.streams[id].last = at
	}
}
