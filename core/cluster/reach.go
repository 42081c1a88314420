package cluster

import (
	"net/netip"
	"slices"
	"time"
)

// RemoteAddresses returns the known addresses outside this instance's zone in three lists. No heartbeat has been sent to the
// uncontacted ones yet, and the caller has to send them one. The direct ones need heartbeats from this instance: in a small fleet
// all of them, in a large one those that are new or have just become silent, since zone gateways may not know them. The others
// are the rest.
func (c *Cluster) RemoteAddresses(at time.Time) (uncontacted, direct, others []netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	known := make(map[netip.AddrPort]*peer, len(c.peers))
	for _, p := range c.peers {
		known[p.heartbeat.Sender.Peer] = p
	}
	for a, t := range c.targets {
		p := known[a]
		switch {
		case p != nil && p.heartbeat.Sender.Zone == c.self.Zone:
		case !t.contacted:
			t.contacted = true
			c.targets[a] = t
			uncontacted = append(uncontacted, a)
		case len(c.peers) <= smallFleet || p == nil || p.silentBriefly(at) || at.Sub(p.joinedAt) < joinPeriod:
			direct = append(direct, a)
		default:
			others = append(others, a)
		}
	}
	slices.SortFunc(direct, netip.AddrPort.Compare)
	slices.SortFunc(others, netip.AddrPort.Compare)

	return uncontacted, direct, others
}

// DirectLimit returns how many of the direct addresses of RemoteAddresses get a heartbeat in each round. In a small fleet all of
// them do. In a large one they alternate, because a simultaneous start of all processes would otherwise saturate the links
// between regions: heartbeats would be lost there, and their senders would stay unknown.
func (c *Cluster) DirectLimit() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.peers) <= smallFleet {
		return smallFleet
	}

	return max(minDirect, fleetDirectLimit/len(c.peers))
}

// Addresses returns up to limit addresses of known instances, for instances that know few. Successive rounds step
// through all of them.
func (c *Cluster) Addresses(limit, round int) []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make([]netip.AddrPort, 0, len(c.peers))
	for _, p := range c.peers {
		if !p.gone {
			all = append(all, p.heartbeat.Sender.Peer)
		}
	}
	if len(all) <= limit {
		return all
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	list := make([]netip.AddrPort, 0, limit)
	for n := range limit {
		list = append(list, all[(round*limit+n)%len(all)])
	}

	return list
}
