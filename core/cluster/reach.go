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
// all of a small fleet, and in a large one those that are new or have not been heard of lately, since they may not be known to
// any speaker. Others are the rest.
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
		case len(c.peers) <= directLimit || p == nil || !p.heard(at) || at.Sub(p.joinedAt) < joinPeriod:
			direct = append(direct, a)
		default:
			others = append(others, a)
		}
	}
	slices.SortFunc(others, netip.AddrPort.Compare)

	return near, direct, others
}

// Addresses returns the addresses of known instances, a limited number at a time in turn, for instances that know few.
func (c *Cluster) Addresses(limit, turn int) []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make([]netip.AddrPort, 0, len(c.peers))
	for _, p := range c.peers {
		if !p.gone {
			all = append(all, p.beat.Sender.Peer)
		}
	}
	if len(all) <= limit {
		return all
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	list := make([]netip.AddrPort, 0, limit)
	for n := range limit {
		list = append(list, all[(turn*limit+n)%len(all)])
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
	zones := c.liveZones(at)
	rank := slices.IndexFunc(zones[c.self.Zone], func(m gossip.Member) bool { return m.Name == c.self.Name })
	if rank < 0 || rank >= zoneSpeakers {
		return nil
	}
	delete(zones, c.self.Zone)
	list := make([]netip.AddrPort, 0, len(zones))
	for _, members := range zones {
		list = append(list, members[min(rank, len(members)-1)].Peer)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)

	return list
}

// liveZones returns the live instances by zone, this one included, in the order in which they are speakers: those with more
// processor time first, since a speaker does the work of its zone. It needs the lock.
func (c *Cluster) liveZones(at time.Time) map[string][]gossip.Member {
	zones := map[string][]gossip.Member{}
	if !c.self.Leaving {
		zones[c.self.Zone] = append(zones[c.self.Zone], c.self)
	}
	for _, p := range c.peers {
		if s := p.beat.Sender; p.live(at) {
			zones[s.Zone] = append(zones[s.Zone], s)
		}
	}
	for _, members := range zones {
		slices.SortFunc(members, func(a, b gossip.Member) int {
			return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), strings.Compare(a.Name, b.Name))
		})
	}

	return zones
}

// ZoneBeats returns the last beats of the live instances of the own zone, this one excluded, ordered by name.
func (c *Cluster) ZoneBeats(at time.Time) []gossip.Relay {
	c.lock.Lock()
	defer c.lock.Unlock()
	var list []gossip.Relay
	for _, p := range c.peers {
		if p.beat.Sender.Zone == c.self.Zone && p.heard(at) {
			list = append(list, gossip.Relay{
				AgeMillis: max(0, int(at.Sub(p.heardAt).Milliseconds())),
				Beat:      p.beat,
			})
		}
	}
	slices.SortFunc(list, func(a, b gossip.Relay) int { return cmp.Compare(a.Beat.Sender.Name, b.Beat.Sender.Name) })

	return list
}
