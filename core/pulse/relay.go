package pulse

import (
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// relayInterval is the time between messages of a gateway to other zones and to its own. Counts have to reach all instances
// within 225 ms, which is turnWindow less turnUse in core/cluster. They are delayed by at most minZoneInterval and twice this
// interval.
const relayInterval = 100 * time.Millisecond

// queuedReport is a report that waits to be relayed, and when it was made.
type queuedReport struct {
	report gossip.Report
	madeAt time.Time
}

// queuedBeat is a heartbeat that waits to be relayed, and when it was received from its sender.
type queuedBeat struct {
	beat gossip.Heartbeat
	at   time.Time
}

// relay sends a report on this instance's zone to the gateways of other zones, if this instance is a gateway, and relays what it
// received from them to its own zone.
func (p *Pulse) relay() {
	at := p.now()
	if gateways := p.cluster.Gateways(at); len(gateways) > 0 {
		b := p.beat()
		report, relayed := p.cluster.Report(b, at)
		report.Counts = p.loads.Zone(at)
		b.Reports, b.Relayed = []gossip.Report{report}, relayed
		p.transport.Send(b, gateways)
	}
	if reports, relayed := p.drain(at); len(reports) > 0 {
		b := p.beat()
		b.Reports, b.Relayed = reports, relayed
		p.transport.Send(b, p.cluster.ZoneAddresses())
	}
}

// enqueue queues the reports and relayed heartbeats from another zone's gateway for this instance's zone.
func (p *Pulse) enqueue(b *gossip.Heartbeat, at time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, r := range b.Reports {
		p.reports[r.Zone] = queuedReport{
			report: r,
			madeAt: gossip.Before(at, r.AgeMillis),
		}
	}
	for _, r := range b.Relayed {
		p.beats[r.Beat.Sender.Name] = queuedBeat{
			beat: r.Beat,
			at:   gossip.Before(at, r.AgeMillis),
		}
	}
}

// drain empties the queue and returns its reports and heartbeats, with their ages at a time.
func (p *Pulse) drain(at time.Time) ([]gossip.Report, []gossip.RelayedHeartbeat) {
	p.lock.Lock()
	defer p.lock.Unlock()
	reports := make([]gossip.Report, 0, len(p.reports))
	for _, h := range p.reports {
		h.report.AgeMillis = gossip.Age(h.madeAt, at)
		reports = append(reports, h.report)
	}
	relayed := make([]gossip.RelayedHeartbeat, 0, len(p.beats))
	for _, h := range p.beats {
		relayed = append(relayed, gossip.RelayedHeartbeat{
			AgeMillis: gossip.Age(h.at, at),
			Beat:      h.beat,
		})
	}
	clear(p.reports)
	clear(p.beats)
	slices.SortFunc(reports, func(a, b gossip.Report) int { return strings.Compare(a.Zone, b.Zone) })
	slices.SortFunc(relayed, func(a, b gossip.RelayedHeartbeat) int { return strings.Compare(a.Beat.Sender.Name, b.Beat.Sender.Name) })

	return reports, relayed
}
