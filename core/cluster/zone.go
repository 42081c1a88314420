package cluster

import (
	"net/netip"
	"slices"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// smallZone is the number of other instances in the own availability zone up to which each sends its heartbeats to all of them.
	// Above it, heartbeats go to the zone's gateways, which send digests to all, since direct messages grow with the square of the
	// number of instances.
	smallZone = 16
	// digestThreshold is the number of other instances in the zone above which gateways send digests. It is lower than smallZone, so
	// that no instance is left out while instances differ by a few in how many others they know.
	digestThreshold = 12
	// digestTimeout is how long digests may stay away before an instance sends its heartbeats to the whole zone again. With the
	// intervals of heartbeats and digests it is less than silentAfter, so that the loss of all gateways silences no other instance.
	digestTimeout = 250 * time.Millisecond
)

// ZoneAddresses returns the addresses in this instance's zone that get its heartbeats: those that get each of them, and those that
// get only the regular ones. In a large zone the former are the gateways; the latter are new instances, which the gateways may
// not know, or all instances if no digest has come for a while.
func (c *Cluster) ZoneAddresses(at time.Time) (each, regular []netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	peers := c.zonePeers()
	if len(peers) <= smallZone {
		return peerAddresses(peers), nil
	}
	order := c.zoneOrder(at)
	gateways := order[:min(zoneGateways, len(order))]
	isGateway := slices.ContainsFunc(gateways, func(m gossip.Member) bool { return m.Name == c.self.Name })
	lost := !isGateway && c.digestsLost(at)
	for _, p := range peers {
		switch s := p.heartbeat.Sender; {
		case slices.ContainsFunc(gateways, func(m gossip.Member) bool { return m.Name == s.Name }):
			each = append(each, s.Peer)
		case lost || at.Sub(p.joinedAt) < joinPeriod:
			regular = append(regular, s.Peer)
		}
	}

	return each, regular
}

// UsesDigests reports whether this instance's zone is so large that counts of its instances arrive by digests.
func (c *Cluster) UsesDigests() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.zoneSize(c.self.Zone) > smallZone
}

// ObserveDigests reports whether this instance's zone is large and no digest has come for longer than digestTimeout although the
// instance is not a gateway that sends them itself. It logs when that changes, and when the instance becomes such a gateway or
// ceases to be one.
func (c *Cluster) ObserveDigests(gateway bool, at time.Time) (lost bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	size := c.zoneSize(c.self.Zone)
	lost = !gateway && size > smallZone && c.digestsLost(at)
	if gateway != c.sendsDigests {
		c.sendsDigests = gateway
		c.log.Info("zone gateway role changed", "gateway", gateway, "zone", c.self.Zone, "others", size)
	}
	if lost != c.lacksDigests {
		c.lacksDigests = lost
		c.log.Info("digests of the zone changed", "lost", lost, "last_at", c.digestAt, "others", size)
	}

	return lost
}

// digestsLost reports whether no digest has come for longer than digestTimeout. The caller holds the lock.
func (c *Cluster) digestsLost(at time.Time) bool {
	return at.Sub(later(c.digestAt, c.listeningSince)) > digestTimeout
}

// ZoneMembers returns the addresses of the known other instances in this instance's zone.
func (c *Cluster) ZoneMembers() []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()

	return peerAddresses(c.zonePeers())
}

func peerAddresses(peers []*peer) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.heartbeat.Sender.Peer)
	}

	return list
}

// GatewayRank returns the rank of this instance among its zone's gateways, from 0; false if it is none. Digests says that the zone
// is so large that its gateways send digests.
func (c *Cluster) GatewayRank(at time.Time) (rank int, digests, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	order := c.zoneOrder(at)
	rank = slices.IndexFunc(order, func(m gossip.Member) bool { return m.Name == c.self.Name })

	return rank, c.zoneSize(c.self.Zone) > digestThreshold, rank >= 0 && rank < zoneGateways
}

// zoneSize returns the number of known other instances in a zone. The caller holds the lock.
func (c *Cluster) zoneSize(zone string) int {
	n := 0
	for _, p := range c.peers {
		if p.heartbeat.Sender.Zone == zone {
			n++
		}
	}

	return n
}

// ObserveDigest applies a digest of this instance's zone that a gateway made at a time. Its sums include what this instance sent in
// the heartbeat own, which is subtracted; nil leaves the sums as they are.
func (c *Cluster) ObserveDigest(r *gossip.Report, own *gossip.Heartbeat, at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.digestAt = later(c.digestAt, at)
	if own != nil && !at.Before(c.zoneReports[r.Zone].madeAt) {
		waiting := make(map[string]int, len(r.Waiting))
		for route, tokens := range r.Waiting {
			waiting[route] = max(0, tokens-own.Waiting[route])
		}
		c.zoneReports[r.Zone] = zoneReport{
			madeAt:   at,
			waiting:  waiting,
			progress: gossip.SubtractProgress(r.Progress, own.Progress),
		}
	}
	c.markMembers(r, at)
}

// ForgetDigest drops what digests said about this instance's zone, when this instance becomes a gateway and hears from all members.
func (c *Cluster) ForgetDigest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.zoneReports, c.self.Zone)
}
