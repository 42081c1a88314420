package pulse

import (
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// relayInterval is the time between messages with which speakers pass on what happens in their zone and in the others. Counts
// have to reach all instances within 225 ms, the part of a turn in core/cluster that is not used: they wait for nearPause
// and twice for this interval at most.
const relayInterval = 100 * time.Millisecond

// heardReport is a report and when it was made.
type heardReport struct {
	report gossip.Report
	madeAt time.Time
}

// heardBeat is a beat and when its sender was heard.
type heardBeat struct {
	beat gossip.Beat
	at   time.Time
}

// relay passes what happens in the own zone on to the speakers of the others, if this instance is a speaker, and what it has
// got as a speaker on to its own zone.
func (p *Pulse) relay() {
	at := p.now()
	if speakers := p.cluster.Speakers(at); len(speakers) > 0 {
		b := p.beat()
		report, relayed := p.cluster.Report(b, at)
		report.Counts = p.loads.Zone(at)
		b.Reports, b.Relayed = []gossip.Report{report}, relayed
		p.transport.Send(b, speakers)
	}
	if reports, relayed := p.takeKept(at); len(reports) > 0 {
		b := p.beat()
		b.Reports, b.Relayed = reports, relayed
		p.transport.Send(b, p.cluster.Near())
	}
}

// keep notes what the own zone has to get of a message from another zone's speaker.
func (p *Pulse) keep(b *gossip.Beat, at time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, r := range b.Reports {
		p.reports[r.Zone] = heardReport{
			report: r,
			madeAt: gossip.Before(at, r.AgeMillis),
		}
	}
	for _, r := range b.Relayed {
		p.beats[r.Beat.Sender.Name] = heardBeat{
			beat: r.Beat,
			at:   gossip.Before(at, r.AgeMillis),
		}
	}
}

// takeKept returns what was kept, with its age at a moment, and forgets it.
func (p *Pulse) takeKept(at time.Time) ([]gossip.Report, []gossip.Relay) {
	p.lock.Lock()
	defer p.lock.Unlock()
	reports := make([]gossip.Report, 0, len(p.reports))
	for _, h := range p.reports {
		h.report.AgeMillis = gossip.Age(h.madeAt, at)
		reports = append(reports, h.report)
	}
	relayed := make([]gossip.Relay, 0, len(p.beats))
	for _, h := range p.beats {
		relayed = append(relayed, gossip.Relay{
			AgeMillis: gossip.Age(h.at, at),
			Beat:      h.beat,
		})
	}
	clear(p.reports)
	clear(p.beats)
	slices.SortFunc(reports, func(a, b gossip.Report) int { return strings.Compare(a.Zone, b.Zone) })
	slices.SortFunc(relayed, func(a, b gossip.Relay) int { return strings.Compare(a.Beat.Sender.Name, b.Beat.Sender.Name) })

	return reports, relayed
}
