package cluster

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// zoneGateways is the number of gateways per zone.
	zoneGateways = 2
	// changeRepeat is how long a changed heartbeat is relayed with each report, since datagrams may be lost.
	changeRepeat = 250 * time.Millisecond
	// refreshInterval is the interval at which an unchanged heartbeat is relayed, for instances that do not know its sender yet;
	// largeRefreshInterval is the same in a fleet of more than largeFleet others. Both are below goneAfter.
	refreshInterval      = time.Second
	largeRefreshInterval = 2 * time.Second
	largeFleet           = 100
)

// zoneReport is the part of a report on another zone that is used until the report expires.
type zoneReport struct {
	madeAt   time.Time
	waiting  map[string]int
	progress map[string]gossip.BatchProgress
}

// Gateways returns the gateways of other zones to which this instance sends reports on its own zone; none unless it is a gateway
// itself. Gateways are paired by rank, so that reports between two zones take two independent paths.
func (c *Cluster) Gateways(at time.Time) []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.peers) <= gatewayThreshold {
		return nil
	}
	rank := c.gatewayRank(at)
	if rank < 0 {
		return nil
	}
	var list []netip.AddrPort
	for zone := range c.byZone() {
		if members := c.gateways(zone, at); zone != c.self.Zone && len(members) > 0 {
			list = append(list, members[min(rank, len(members)-1)].Peer)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)

	return list
}

// compareGateways orders instances as gateways: those with more processor time first, then by name.
func compareGateways(a, b gossip.Member) int {
	return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), strings.Compare(a.Name, b.Name))
}

// mayRelay reports whether this instance may be a gateway. One that hears nobody would report that its zone is empty. The caller holds
// the lock.
func (c *Cluster) mayRelay(at time.Time) bool {
	hears := len(c.peers) < 2 || at.Sub(later(c.lastHeardAt, c.listeningSince)) <= relaySilence

	return !c.self.Leaving && c.isolatedSince.IsZero() && hears
}

// gateways returns the gateways of a zone, in their order. The caller holds the lock.
func (c *Cluster) gateways(zone string, at time.Time) []gossip.Member {
	list := make([]gossip.Member, 0, zoneGateways)
	selfLeft := zone == c.self.Zone && c.mayRelay(at)
	for _, p := range c.inZone(zone) {
		if !p.reachable(at) {
			continue
		}
		if selfLeft && compareGateways(c.self, p.heartbeat.Sender) < 0 {
			list, selfLeft = append(list, c.self), false
		}
		if len(list) < zoneGateways {
			list = append(list, p.heartbeat.Sender)
		}
		if len(list) == zoneGateways {
			return list
		}
	}
	if selfLeft {
		list = append(list, c.self)
	}

	return list
}

// gatewayRank returns the rank of this instance among the gateways of its zone, from 0; -1 if it is none. The caller holds the lock.
func (c *Cluster) gatewayRank(at time.Time) int {
	return slices.IndexFunc(c.gateways(c.self.Zone, at), func(m gossip.Member) bool { return m.Name == c.self.Name })
}

// Report returns the report on this instance's zone for other zones, without counts, and the heartbeats to relay with it: those
// that changed lately and those that are due for a refresh. Own is the heartbeat of this instance.
func (c *Cluster) Report(own *gossip.Heartbeat, at time.Time) (gossip.Report, []gossip.RelayedHeartbeat) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.own.update(own, at)
	report := gossip.Report{
		Zone:     c.self.Zone,
		Waiting:  gossip.ReportWaiting{},
		Progress: gossip.ReportProgress{},
	}
	refresh := refreshInterval
	if len(c.peers) > largeFleet {
		refresh = largeRefreshInterval
	}
	for route, tokens := range own.Waiting {
		report.Waiting[route] += tokens
	}
	c.addZoneWaiting(report.Waiting, at)
	var relayed []gossip.RelayedHeartbeat
	for _, p := range append(slices.Clip(c.inZone(c.self.Zone)), &c.own) {
		if !p.heardRecently(at) {
			continue
		}
		age := gossip.Age(p.heardAt, at)
		report.Heard = append(report.Heard, gossip.MemberStatus{
			Name:        p.heartbeat.Sender.Name,
			Incarnation: p.heartbeat.Sender.Incarnation,
			AgeMillis:   age,
			Queued:      p.heartbeat.Queued,
			QueuedLate:  p.heartbeat.QueuedLate,
		})
		gossip.AddProgress(report.Progress, p.heartbeat.Progress)
		contradicts := c.contradicts(p)
		if at.Sub(p.changedAt) <= changeRepeat || contradicts || at.Sub(p.relayedAt) >= refresh {
			p.relayedAt = at
			beat := p.heartbeat
			if !contradicts { // names of lost instances are of no use to other zones
				beat.Silent = nil
			}
			relayed = append(relayed, gossip.RelayedHeartbeat{
				AgeMillis: age,
				Beat:      beat,
			})
		}
	}

	return report, relayed
}

// ObserveReport applies a report that a gateway of another zone made at a time.
func (c *Cluster) ObserveReport(r *gossip.Report, at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !r.Partial && !at.Before(c.zoneReports[r.Zone].madeAt) {
		c.zoneReports[r.Zone] = zoneReport{
			madeAt:   at,
			waiting:  maps.Clone(r.Waiting),
			progress: maps.Clone(r.Progress),
		}
	}
	c.markMembers(r, at)
}

// markMembers records when the instances of a report that was made at a time were last heard from. The caller holds the lock.
func (c *Cluster) markMembers(r *gossip.Report, at time.Time) {
	for _, s := range r.Heard {
		p := c.peers[s.Name]
		heardAt := gossip.Before(at, s.AgeMillis)
		if p == nil || p.heartbeat.Sender.Incarnation != s.Incarnation {
			continue
		}
		p.markDirect(heardAt)
		if !heardAt.After(p.heardAt) {
			continue
		}
		c.recordReturn(p, heardAt)
		c.lastHeardAt = later(c.lastHeardAt, heardAt)
		c.endIsolation(heardAt)
		p.markHeard(heardAt)
		p.heartbeat.Queued, p.heartbeat.QueuedLate = s.Queued, s.QueuedLate
		c.extendTarget(p.heartbeat.Sender.Peer, heardAt)
	}
}

// relevantChange reports whether a heartbeat contains a change that has to be relayed to other zones at once. Counts, waiting
// tokens and queued items are left out, since reports contain them.
func relevantChange(before, now *gossip.Heartbeat) bool {
	return before.Sender != now.Sender || before.RouteVersion != now.RouteVersion || before.ServerDigest != now.ServerDigest ||
		before.StoreLost != now.StoreLost || before.Asking != now.Asking || !slices.Equal(before.Held, now.Held) || !slices.Equal(before.Claimed, now.Claimed) || !slices.Equal(before.Ended, now.Ended) ||
		!slices.Equal(before.Released, now.Released) || !slices.EqualFunc(before.TakenOver, now.TakenOver, sameTakeover) || !slices.EqualFunc(before.Crashes, now.Crashes, sameCrash) ||
		!slices.EqualFunc(before.SoundParts, now.SoundParts, func(a, b gossip.SoundPart) bool { return a.Part == b.Part }) ||
		!slices.EqualFunc(before.QuarantinedParts, now.QuarantinedParts, func(a, b gossip.QuarantinedPart) bool { return a.Part == b.Part }) ||
		!slices.Equal(before.Departures, now.Departures) || newOutcomes(before.Outcomes, now.Outcomes)
}

// newOutcomes reports whether there are further failures or successful probes. Requests differ in each heartbeat while a server fails.
func newOutcomes(before, now []gossip.Outcomes) bool {
	return slices.ContainsFunc(now, func(o gossip.Outcomes) bool {
		return !slices.ContainsFunc(before, func(b gossip.Outcomes) bool {
			return b.Server == o.Server && b.StartedAt == o.StartedAt && b.Failures >= o.Failures && b.Successes >= o.Successes
		})
	})
}

func sameTakeover(a, b gossip.TakenOver) bool {
	return a.Incarnation == b.Incarnation && maps.Equal(a.Waiting, b.Waiting)
}

// sameCrash compares without ages, which differ in each heartbeat.
func sameCrash(a, b gossip.Crash) bool {
	return a.Server == b.Server && a.StartedAt == b.StartedAt && slices.Equal(a.Parts, b.Parts)
}
