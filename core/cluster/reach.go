package cluster

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// Targets returns where beats go: near are instances of the own zone. Direct are the other ones that have to hear every beat:
// all of a small fleet, and in a large one those that have not been heard of lately, since they may not be known to any
// speaker. Others are the rest.
func (c *Cluster) Targets(at time.Time) (near, direct, others []netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	known := make(map[netip.AddrPort]*peer, len(c.peers))
	for _, p := range c.peers {
		known[p.beat.Sender.Peer] = p
	}
	for a := range c.targets {
		p := known[a]
		switch {
		case p != nil && p.beat.Sender.Zone == c.self.Zone:
			near = append(near, a)
		case len(c.peers) <= directLimit || p == nil || at.Sub(p.heardAt) > silentAfter:
			direct = append(direct, a)
		default:
			others = append(others, a)
		}
	}
	slices.SortFunc(others, netip.AddrPort.Compare)

	return near, direct, others
}

// Addresses returns the addresses of some known instances, different ones each time, for one that knows few.
func (c *Cluster) Addresses(limit int) []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	list := make([]netip.AddrPort, 0, min(limit, len(c.peers)))
	for _, p := range c.peers {
		if len(list) == limit {
			break
		}
		if !p.gone {
			list = append(list, p.beat.Sender.Peer)
		}
	}

	return list
}

// Speakers returns the instances of other zones to which this one passes the beats of its zone on; none unless it is a speaker
// of its zone. Speakers are paired by rank, so that each zone hears of each other one in two independent ways.
func (c *Cluster) Speakers(at time.Time) []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.peers) <= speakerLimit {
		return nil
	}
	zones := map[string][]gossip.Member{}
	for _, p := range c.peers {
		if s := p.beat.Sender; !s.Leaving && at.Sub(p.heardAt) <= silentAfter {
			zones[s.Zone] = append(zones[s.Zone], s)
		}
	}
	rank := 0
	for _, m := range zones[c.self.Zone] {
		if m.Name < c.self.Name {
			rank++
		}
	}
	if rank >= zoneSpeakers {
		return nil
	}
	delete(zones, c.self.Zone)
	list := make([]netip.AddrPort, 0, len(zones))
	for _, members := range zones {
		slices.SortFunc(members, func(a, b gossip.Member) int { return strings.Compare(a.Name, b.Name) })
		list = append(list, members[min(rank, len(members)-1)].Peer)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)

	return list
}

// ZoneBeats returns the last beats of the live instances of the own zone, this one excluded, ordered by name.
func (c *Cluster) ZoneBeats(at time.Time) []gossip.Relay {
	c.lock.Lock()
	defer c.lock.Unlock()
	var list []gossip.Relay
	for _, p := range c.peers {
		if age := at.Sub(p.heardAt); p.beat.Sender.Zone == c.self.Zone && age <= silentAfter {
			list = append(list, gossip.Relay{
				AgeMillis: max(0, int(age.Milliseconds())),
				Beat:      p.beat,
			})
		}
	}
	slices.SortFunc(list, func(a, b gossip.Relay) int { return cmp.Compare(a.Beat.Sender.Name, b.Beat.Sender.Name) })

	return list
}
