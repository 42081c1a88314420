package cluster

import (
	"net/netip"
	"slices"
	"time"
)

// Near returns the addresses of the known instances of the own zone.
func (c *Cluster) Near() []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	var list []netip.AddrPort
	for _, p := range c.peers {
		if p.beat.Sender.Zone == c.self.Zone {
			list = append(list, p.beat.Sender.Peer)
		}
	}

	return list
}

// Far returns the known addresses that are not near. Strange are those to which no beat has been sent yet; the caller has to
// send them one. Direct are the other ones that have to hear beats directly: all of a small fleet, and in a large one those that
// are new or have not been heard of lately, since they may not be known to any speaker. Others are the rest.
func (c *Cluster) Far(at time.Time) (strange, direct, others []netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	known := make(map[netip.AddrPort]*peer, len(c.peers))
	for _, p := range c.peers {
		known[p.beat.Sender.Peer] = p
	}
	for a, t := range c.targets {
		p := known[a]
		switch {
		case p != nil && p.beat.Sender.Zone == c.self.Zone:
		case !t.greeted:
			t.greeted = true
			c.targets[a] = t
			strange = append(strange, a)
		case len(c.peers) <= directLimit || p == nil || !p.heard(at) || at.Sub(p.joinedAt) < joinPeriod:
			direct = append(direct, a)
		default:
			others = append(others, a)
		}
	}
	slices.SortFunc(direct, netip.AddrPort.Compare)
	slices.SortFunc(others, netip.AddrPort.Compare)

	return strange, direct, others
}

// DirectLimit returns how many addresses that have to hear beats directly get each one. All of a small fleet do. In a large one
// they take turns: when all of its processes started at once, beats of each to all others filled the links between regions, so
// that they were lost and the others remained unheard.
func (c *Cluster) DirectLimit() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.peers) <= directLimit {
		return directLimit
	}

	return max(minDirect, fleetDirect/len(c.peers))
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
