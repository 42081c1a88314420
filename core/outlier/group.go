package outlier

import (
	"cmp"
	"expvar"
	"log/slog"
	"math"
	"slices"
	"time"

	"tarragonwalk/core/gossip"
	"tarragonwalk/core/rendezvous"
)

const (
	// judgeInterval bounds the work for a service whose servers fail often, or of which other instances report often.
	judgeInterval = 100 * time.Millisecond
	// minFailures and minHeardFailures are the least failures of an ejection on own evidence and on that of several instances, of which
	// minOtherFailures must not come from the same instance.
	minFailures      = 3
	minHeardFailures = 4
	minOtherFailures = 2
	// minShare and minRatio are the least share of failures, and how many times that of the other servers it has to be.
	minShare = 0.25
	minRatio = 3
	// minRate is assumed for servers that have not failed, since few outcomes are known.
	minRate = 0.02
	// minOthers is the least number of outcomes of other servers with which a server is compared.
	minOthers = 5
	// maxChance is the probability at which as many failures may occur at a server that is like the others. All servers are judged several
	// times a second, so it is small.
	maxChance = 1e-4
	// soundOwn and soundZone are successes without a failure, of this instance and of its zone, that outweigh failures elsewhere.
	soundOwn, soundZone = 5, 10
	// trustOwn is how long after a return reports of other instances count only together with an own failure.
	trustOwn = 6 * time.Second
	// outOf is the inverse of the part of the servers that may be ejected. When more fail, the cause is likely elsewhere.
	outOf = 3
	// firstPause is the time until the first probe; it doubles with each failed probe up to maxPause.
	firstPause, maxPause = time.Second, 2 * time.Second
	// probeShare is the part of the requests that may be probes. With more, 58 instances would send a server that fails as many
	// requests as a sound one gets.
	probeShare = 1.0 / 16
	// probeTimeout is when a probe without an outcome is followed by another one.
	probeTimeout = 2 * time.Second
	// ownSuccesses and heardSuccesses are the successful probes in a row of this instance, or of several, after which a server returns.
	ownSuccesses, heardSuccesses = 3, 4
	// calmTime is the time without a known failure before a server returns on probes of several instances, each of which sees few.
	calmTime = 1500 * time.Millisecond
	// nearReporters are the instances of the own zone whose successful probes outweigh an own failure that is a while ago.
	nearReporters = 3
	// quietTime is the time without a known failure after which a server returns without probes, as in a service without repeatable requests.
	quietTime = 8 * time.Second
	// rampTime is the time in which the share of requests of a server that returns rises, from rampStart on.
	rampTime  = 2 * time.Second
	rampStart = 0.1
	// relapseFailures are the own failures that eject a server in this time.
	relapseFailures = 2
	// growTime is the time after a return in which a further ejection gets a longer pause.
	growTime = 10 * time.Second
	// doubtFailures is the number of failures of a server, at a share of minShare or more, for which batch items avoid it.
	doubtFailures = 2
	// accusedShare is the share of doubtFailures or more at which a server counts as one of those that fail. When these are more than may be
	// ejected, no further one is.
	accusedShare = 0.1
	// confirmTime is how long a server has to be failing. When all servers begin to fail, the first few are known before the others.
	confirmTime = 100 * time.Millisecond
	// doubtChance is the probability at which a sound server may have as many.
	doubtChance = 0.01
	// maxRequests bounds the requests in a report, with which the work of a judgement grows.
	maxRequests = 1000
	// maxReports bounds the servers in one heartbeat.
	maxReports = 16
)

// ejections counts servers that were ejected and that returned, by cause, and the failures and probes that these decisions rest on.
var ejections = expvar.NewMap("ServerEjections")

// Group holds the servers of one service. It isn't safe for concurrent use.
type Group struct {
	log      *slog.Logger
	service  string
	instance string
	zone     string
	members  map[string]*member
	dirty    bool
	judgedAt time.Time
	// credit is the number of probes that may be sent.
	credit float64
}

// New returns an empty group of a service for an instance in an availability zone.
func New(service, instance, zone string, log *slog.Logger) *Group {
	g := &Group{
		log:      log,
		service:  service,
		instance: instance,
		zone:     zone,
		members:  map[string]*member{},
	}
	g.credit = g.spread("")

	return g
}

// spread returns a number from 0 to 1 that differs between instances, so that they don't probe a server at the same time.
func (g *Group) spread(server string) float64 {
	return float64(rendezvous.Weight(server, g.instance)) / math.MaxUint64
}

// Add adds a server, whose earlier state is dropped.
func (g *Group) Add(server string) {
	g.members[server] = &member{
		heard: map[string]heard{},
	}
}

// Remove removes a server.
func (g *Group) Remove(server string) {
	delete(g.members, server)
}

// Empty reports whether there is no server.
func (g *Group) Empty() bool {
	return len(g.members) == 0
}

// Record counts the outcome of an attempt.
func (g *Group) Record(server string, failed bool, at time.Time) {
	m := g.members[server]
	if m == nil {
		return
	}
	m.own.record(failed, at)
	if failed {
		m.failedAt = at
		ejections.Add("failures", 1)
		g.dirty = true
	}
	if !m.ejected {
		return
	}
	switch {
	case failed:
		m.ownFailed = true
		m.successes = 0
		if !m.probeUntil.IsZero() {
			m.pause = min(maxPause, 2*m.pause)
			m.probeAt = at.Add(g.pauseOf(server, m))
		}
	case !m.probeUntil.IsZero():
		m.successes++
		g.dirty = true
	}
	m.probeUntil = time.Time{}
}

// Hear replaces the reports of another instance that were made at a time.
func (g *Group) Hear(instance, zone string, list []gossip.Outcomes, at time.Time) {
	for _, m := range g.members {
		delete(m.heard, instance)
	}
	for _, r := range list {
		m := g.members[r.Server]
		failedAt := time.Time{}
		if r.FailedMillis > 0 {
			failedAt = gossip.Before(at, r.FailedMillis)
		}
		if m == nil || r.Requests < 0 || r.Requests > maxRequests || r.Successes < 0 || r.Failures < 0 || r.Failures > r.Requests {
			continue
		}
		m.heard[instance] = heard{
			Outcomes: r,
			zone:     zone,
			failedAt: failedAt,
			until:    at.Add(windowLife),
		}
		g.dirty = true
	}
}

// Reports returns what other instances have to know: servers that have failed here or are being probed, and the outcomes of those that have
// failed elsewhere.
// The start times of the servers are left out.
func (g *Group) Reports(at time.Time) []gossip.Outcomes {
	var list []gossip.Outcomes
	for id, m := range g.members {
		requests, failures := m.own.sum(at)
		accused := false
		for _, h := range m.heard {
			accused = accused || h.Failures > 0 && at.Before(h.until)
		}
		successes := 0
		// Instances that still have it ejected need to know of the probes.
		if m.ejected || at.Sub(m.returnedAt) < windowLife {
			successes = m.successes
		}
		if failures > 0 || successes > 0 || requests > 0 && (m.ejected || accused) {
			age := 0
			if !m.failedAt.IsZero() {
				age = max(1, gossip.Age(m.failedAt, at))
			}
			list = append(list, gossip.Outcomes{
				Server:       id,
				Requests:     requests,
				Failures:     failures,
				Successes:    successes,
				FailedMillis: age,
			})
		}
	}
	slices.SortFunc(list, func(a, b gossip.Outcomes) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Server, b.Server))
	})
	list = list[:min(len(list), maxReports)]
	slices.SortFunc(list, func(a, b gossip.Outcomes) int { return cmp.Compare(a.Server, b.Server) })

	return list
}

// MayServe reports whether a server may get an ordinary request now. One that returns gets a growing share.
func (g *Group) MayServe(server string, at time.Time) bool {
	m := g.members[server]
	if m == nil || !m.ejected && !m.returning(at) {
		return true
	}
	if m.ejected {
		return false
	}
	m.turns += max(rampStart, float64(at.Sub(m.returnedAt))/float64(rampTime))
	if m.turns < 1 {
		return false
	}
	m.turns--

	return true
}

// MayServeItems reports whether a server may get batch items, which are given up after some failures.
func (g *Group) MayServeItems(server string, at time.Time) bool {
	m := g.members[server]

	return m == nil || !m.ejected && !m.returning(at) && !m.doubtful
}

// pauseOf returns the time until the next probe: the pause, or up to twice as long.
func (g *Group) pauseOf(server string, m *member) time.Duration {
	return time.Duration((1 + g.spread(server)) * float64(m.pause))
}

// Probe returns the ejected server that may get a request that can be repeated. It is called once for each such request.
func (g *Group) Probe(at time.Time) (server string, ok bool) {
	var list []string
	for id, m := range g.members {
		if m.ejected && !at.Before(m.probeAt) && !at.Before(m.probeUntil) {
			list = append(list, id)
		}
	}
	if g.credit = min(1, g.credit+probeShare); g.credit < 1 || len(list) == 0 {
		return "", false
	}
	// The one that is due for longest.
	return slices.MinFunc(list, func(a, b string) int {
		return cmp.Or(g.members[a].probeAt.Compare(g.members[b].probeAt), cmp.Compare(a, b))
	}), true
}

// BeginProbe records that a probe is sent.
func (g *Group) BeginProbe(server string, at time.Time) {
	if m := g.members[server]; m != nil && m.ejected {
		m.probeUntil = at.Add(probeTimeout)
		m.probeAt = at
		g.credit--
		ejections.Add("probes", 1)
	}
}

// Judge ejects servers and lets others return.
func (g *Group) Judge(at time.Time) {
	for _, c := range g.judge(at) {
		c.log(g.log, g.service, at)
	}
}

func (g *Group) judge(at time.Time) []change {
	if at.Sub(g.judgedAt) < judgeInterval && !at.Before(g.judgedAt) {
		return nil
	}
	out := 0
	for _, m := range g.members {
		// Their state may change without further outcomes.
		if m.ejected || m.doubtful || !m.failingSince.IsZero() {
			g.dirty = true
		}
		if m.ejected {
			out++
		}
	}
	if !g.dirty {
		return nil
	}
	g.judgedAt, g.dirty = at, false
	found := make(map[string]levels, len(g.members))
	for id, m := range g.members {
		found[id] = m.levels(g.zone, at)
	}
	limit, order := g.limit(), g.order(found)
	rate, known := compare(found, order[min(limit, len(order)):])
	broad := out+g.accused(found) > limit
	var changes []change
	doubtful := 0
	for _, id := range order {
		m, l := g.members[id], found[id]
		m.doubtful = false
		cause := ""
		if m.ejected {
			cause = m.returns(g.zone, at)
		}
		switch {
		case cause != "":
			m.restore(at)
			out--
			changes = append(changes, m.change(id, cause, l, rate, at.Add(rampTime)))
		case m.ejected || !known:
		case m.confirmed(l, rate, at) && out < limit && !broad:
			m.eject(l, at)
			m.probeAt = at.Add(g.pauseOf(id, m))
			out++
			changes = append(changes, m.change(id, "", l, rate, m.probeAt))
		case doubtful+out < limit && l.all.exceeds(rate, doubtFailures, doubtChance):
			m.doubtful = true
			doubtful++
		}
	}

	return changes
}

// compare returns the share of failures at the servers with which the others are compared. The worst ones, of which as many are left out as
// may be ejected, are no measure. ok is false if too little is known.
func compare(found map[string]levels, servers []string) (rate float64, ok bool) {
	var e evidence
	for _, id := range servers {
		e.add(found[id].all.requests, found[id].all.failures)
	}
	rate = max(minRate, float64(e.failures)/float64(max(1, e.requests)))

	return rate, e.requests >= minOthers && rate < 1
}

// accused returns how many servers seem to fail that are not ejected.
func (g *Group) accused(found map[string]levels) int {
	n := 0
	for id, l := range found {
		if !g.members[id].ejected && l.all.failures >= doubtFailures && float64(l.all.failures) >= accusedShare*float64(l.all.requests) {
			n++
		}
	}

	return n
}

// order returns the servers, those with the largest share of failures first.
func (g *Group) order(found map[string]levels) []string {
	order := make([]string, 0, len(found))
	for id := range found {
		order = append(order, id)
	}
	// One is added to the requests, so that a single failure weighs less than several.
	share := func(id string) float64 {
		l := found[id].all

		return float64(l.failures) / float64(l.requests+1)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(a, b))
	})

	return order
}

// limit returns how many servers may be ejected: never all.
func (g *Group) limit() int {
	if len(g.members) < 2 {
		return 0
	}

	return max(1, len(g.members)/outOf)
}
