package pulse

import (
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// relayInterval is the time between beats with which speakers pass on those of their zone and of the others. Counts have
// to reach all instances within 225 ms, the part of a turn in core/cluster that is not used: they wait for nearPause and
// twice for this interval at most.
const relayInterval = 100 * time.Millisecond

// heard is a beat and when its sender was heard.
type heard struct {
	beat gossip.Beat
	at   time.Time
}

// relay passes the beats of the own zone on to the speakers of the others, if this instance is a speaker, and those that it
// has got as a speaker on to its own zone.
func (p *Pulse) relay() {
	at := p.now()
	if speakers := p.cluster.Speakers(at); len(speakers) > 0 {
		b := p.beat()
		b.Relayed = p.cluster.ZoneBeats(at)
		p.transport.Send(b, speakers)
	}
	if relayed := p.takePending(at); len(relayed) > 0 {
		near, _, _ := p.cluster.Targets(at)
		b := p.beat()
		b.Relayed = relayed
		p.transport.Send(b, near)
	}
}

func (p *Pulse) takePending(at time.Time) []gossip.Relay {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := make([]gossip.Relay, 0, len(p.pending))
	for _, h := range p.pending {
		list = append(list, gossip.Relay{
			AgeMillis: max(0, int(at.Sub(h.at).Milliseconds())),
			Beat:      h.beat,
		})
	}
	clear(p.pending)
	slices.SortFunc(list, func(a, b gossip.Relay) int { return strings.Compare(a.Beat.Sender.Name, b.Beat.Sender.Name) })

	return list
}

// keep notes a beat that the own zone has to get.
func (p *Pulse) keep(b *gossip.Beat, at time.Time) {
	h := heard{
		beat: *b,
		at:   at,
	}
	h.beat.Addresses, h.beat.Relayed = nil, nil
	p.lock.Lock()
	defer p.lock.Unlock()
	p.pending[b.Sender.Name] = h
}
