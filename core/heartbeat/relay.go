package heartbeat

import (
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// RelayInterval is the time between messages of a gateway to other zones and to its own, and between ticks for Run. Counts have to
// reach all instances within 225 ms, which is fleetWindow less fleetStartTime in core/cluster. They are delayed by at most
// minZoneInterval and twice this interval. In a zone with digests they are delayed by at most digestLead and this interval, and for
// other zones by this interval once more.
const RelayInterval = 100 * time.Millisecond

const (
	// minCoverage is the share, in percent, of the instances of a zone whose counts a report has to contain. Those that were lost are
	// missing until they count as gone.
	minCoverage = 75
	// settleTime is how long after an instance of a large zone has become a gateway its reports have to contain the counts of all: each
	// has sent a regular heartbeat to it by then, even if it left one out since it had just sent a changed count to the former gateway.
	settleTime = regularInterval + 2*RelayInterval
)

// queuedReport is a report that waits to be relayed, and when it was made.
type queuedReport struct {
	report gossip.Report
	madeAt time.Time
}

// withHeardOf returns the report with what another one on the same zone says of when its instances were last heard from, unless it says that
// itself: only one report of several does.
func (q queuedReport) withHeardOf(other queuedReport) queuedReport {
	if len(q.report.Heard) > 0 {
		return q
	}
	elapsed := int(q.madeAt.Sub(other.madeAt).Milliseconds())
	for _, s := range other.report.Heard {
		s.AgeMillis = max(0, s.AgeMillis+elapsed)
		q.report.Heard = append(q.report.Heard, s)
	}

	return q
}

// queuedHeartbeat is a heartbeat that waits to be relayed, and when it was received from its sender.
type queuedHeartbeat struct {
	heartbeat gossip.Heartbeat
	at        time.Time
}

// relay sends a report on this instance's zone to the gateways of other zones, if this instance is a gateway, and relays what it
// received from them to its own zone. In a large zone it adds a digest of the zone itself.
func (e *Exchanger) relay() {
	at := e.now()
	rank, digests, gateway := e.cluster.GatewayRank(at)
	sendsDigests := gateway && digests
	if before := e.gateway.Swap(sendsDigests); sendsDigests && !before {
		e.gatewayAt = at
		e.cluster.ForgetDigest()
		e.loads.ForgetDigest()
		e.quotas.ForgetDigest()
	}
	lost := e.cluster.ObserveDigests(sendsDigests, at)
	if lost && !e.digestsLost {
		e.send()
	}
	e.digestsLost = lost
	far := e.cluster.Gateways(at)
	if len(far) > 0 || sendsDigests {
		b := e.heartbeat()
		report, relayed := e.cluster.Report(b, at)
		counts, members := e.loads.ZoneCounts(at)
		report.Counts = counts
		report.Quotas = e.quotas.ZoneUses(at)
		report.Partial = e.partial(members, at)
		b.Relayed = relayed
		e.reportCount++
		b.Reports = []gossip.Report{e.withStatus(report, farStatusRounds)}
		e.sendTo("Report", b, far)
		b.Reports = []gossip.Report{e.withStatus(report, statusRounds)}
		if sendsDigests {
			e.sendDigest(b, rank, at)

			return
		}
	}
	if reports, relayed := e.drain(at, nil); len(reports) > 0 {
		b := e.heartbeat()
		b.Reports, b.Relayed = reports, relayed
		e.sendTo("Relay", b, e.cluster.ZoneMembers())
	}
}

// partial reports whether a report with the counts of a number of members of this instance's zone lacks too many.
func (e *Exchanger) partial(members int, at time.Time) bool {
	live := e.cluster.ZoneLive()
	if e.gateway.Load() && at.Sub(e.gatewayAt) <= settleTime {
		return members < live
	}

	return members < live*minCoverage/100
}

// enqueue queues the reports and relayed heartbeats from another zone's gateway for this instance's zone.
func (e *Exchanger) enqueue(b *gossip.Heartbeat, at time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, r := range b.Reports {
		newer := queuedReport{
			report: r,
			madeAt: gossip.Before(at, r.AgeMillis),
		}
		queued, ok := e.reports[r.Zone]
		switch {
		case !ok:
			e.reports[r.Zone] = newer
		case r.Partial:
			e.reports[r.Zone] = queued.withHeardOf(newer)
		default:
			e.reports[r.Zone] = newer.withHeardOf(queued)
		}
	}
	for _, r := range b.Relayed {
		e.heartbeats[r.Beat.Sender.Name] = queuedHeartbeat{
			heartbeat: r.Beat,
			at:        gossip.Before(at, r.AgeMillis),
		}
	}
}

// drain empties the queue and returns its reports and heartbeats, with their ages at a time, except for those from zones that are
// left out.
func (e *Exchanger) drain(at time.Time, leaveOut func(zone string) bool) ([]gossip.Report, []gossip.RelayedHeartbeat) {
	e.lock.Lock()
	defer e.lock.Unlock()
	reports := make([]gossip.Report, 0, len(e.reports))
	for _, h := range e.reports {
		if leaveOut != nil && leaveOut(h.report.Zone) {
			continue
		}
		h.report.AgeMillis = gossip.Age(h.madeAt, at)
		reports = append(reports, h.report)
	}
	relayed := make([]gossip.RelayedHeartbeat, 0, len(e.heartbeats))
	for _, h := range e.heartbeats {
		if leaveOut != nil && leaveOut(h.heartbeat.Sender.Zone) {
			continue
		}
		relayed = append(relayed, gossip.RelayedHeartbeat{
			AgeMillis: gossip.Age(h.at, at),
			Beat:      h.heartbeat,
		})
	}
	clear(e.reports)
	clear(e.heartbeats)
	slices.SortFunc(reports, func(a, b gossip.Report) int { return strings.Compare(a.Zone, b.Zone) })
	slices.SortFunc(relayed, func(a, b gossip.RelayedHeartbeat) int { return strings.Compare(a.Beat.Sender.Name, b.Beat.Sender.Name) })

	return reports, relayed
}
