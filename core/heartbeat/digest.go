package heartbeat

import (
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// statusRounds is the number of digests of which one says when each instance was last heard from, farStatusRounds the same for
	// reports to other zones. Instances count as silent after several times that long.
	statusRounds    = 2
	farStatusRounds = 3
	// coverTime is how long after the digest of another gateway this instance sends none in its place. It is longer than the
	// interval of digests, so that a single gateway sends them while it works.
	coverTime = 160 * time.Millisecond
	// digestLead is how long before the next digest changed counts are sent to the gateways. It covers the way there and the time in
	// which a gateway handles the heartbeats of its zone.
	digestLead = 20 * time.Millisecond
	// transitTime is the time that a heartbeat takes to a gateway of the zone and the digest takes back.
	transitTime = 5 * time.Millisecond
	// sentStates is the number of own states that are remembered, which covers the time between two digests.
	sentStates = 8
)

// sentState is the part of a heartbeat that digests add up, and when the heartbeat was sent.
type sentState struct {
	at        time.Time
	heartbeat gossip.Heartbeat
}

// withStatus returns a report in which only one of several rounds says when each instance was last heard from.
func (e *Exchanger) withStatus(r gossip.Report, rounds int) gossip.Report {
	if e.reportCount%rounds != 0 {
		r.Heard = nil
	}

	return r
}

// recordSent remembers a heartbeat that is sent to this instance's zone.
func (e *Exchanger) recordSent(b *gossip.Heartbeat, at time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.sent[e.sentCount%sentStates] = sentState{
		at: at,
		heartbeat: gossip.Heartbeat{
			Counts:   b.Counts,
			Waiting:  b.Waiting,
			Progress: b.Progress,
			Quotas:   b.Quotas,
		},
	}
	e.sentCount++
}

// lastSent returns the own state that a digest includes which was made at a time; false if it is not known.
func (e *Exchanger) lastSent(madeAt time.Time) (sentState, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for n := 1; n <= min(sentStates, e.sentCount); n++ {
		if s := e.sent[(e.sentCount-n)%sentStates]; !s.at.After(madeAt.Add(-transitTime)) {
			return s, true
		}
	}

	return sentState{}, false
}

// handleDigest applies a digest of this instance's zone that was made at a time. A gateway takes only the times at which instances
// were heard from, since the counts reach it from the instances themselves.
func (e *Exchanger) handleDigest(r *gossip.Report, madeAt time.Time) {
	e.digestAt.Store(madeAt.UnixNano())
	own, known := e.lastSent(madeAt)
	if e.gateway.Load() || !known {
		e.cluster.ObserveDigest(r, nil, madeAt)

		return
	}
	e.cluster.ObserveDigest(r, &own.heartbeat, madeAt)
	e.loads.ObserveDigest(r.Counts, own.heartbeat.Counts, madeAt)
	e.quotas.ObserveDigest(r.Quotas, own.heartbeat.Quotas, madeAt)
}

// untilDigest returns how long a change of the counts at a time has to wait so that it reaches the gateways just before they make the
// next digest. Sent sooner, it would reach the others no sooner, and further changes would need heartbeats of their own. A gateway, or
// an instance without digests, sends at once.
func (e *Exchanger) untilDigest(at time.Time) time.Duration {
	last := time.Unix(0, e.digestAt.Load())
	if e.gateway.Load() || at.Sub(last) > coverTime {
		return 0
	}
	passed := max(0, at.Sub(last)+digestLead)

	return (RelayInterval - passed%RelayInterval) % RelayInterval
}

// noteCovered records that another gateway of this instance's zone has sent reports to the zone.
func (e *Exchanger) noteCovered(reports []gossip.Report, at time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for i := range reports {
		if reports[i].Partial {
			continue
		}
		e.covered[reports[i].Zone] = at
	}
}

// sendDigest sends the report on this instance's zone in a heartbeat, and what other zones have reported, to all instances of the
// zone. A gateway of a lower rank leaves out what another one has sent just before.
func (e *Exchanger) sendDigest(b *gossip.Heartbeat, rank int, at time.Time) {
	own := b.Reports[0]
	leaveOut := func(zone string) bool {
		return rank > 0 && at.Sub(e.covered[zone]) <= coverTime
	}
	reports, relayed := e.drain(at, leaveOut)
	e.lock.Lock()
	covered := leaveOut(own.Zone)
	e.lock.Unlock()
	if covered {
		b.Relayed = relayed
	} else {
		reports = append(reports, own)
		b.Relayed = append(b.Relayed, relayed...)
	}
	if len(reports) == 0 {
		return
	}
	digest := *b
	digest.Reports = reports
	e.sendTo("Digest", &digest, e.cluster.ZoneMembers())
}
