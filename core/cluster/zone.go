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

// ZoneAddresses returns the addresses in this instance's zone that get its heartbeats: those that get each of them, those that get
// only the regular ones, and those of which some get the regular ones in turn. In a large zone the first are the gateways; the second
// are all instances if no digest has come for a while or a gateway does not hear this one; the last are new instances, which the gateways
// may not know.
func (c *Cluster) ZoneAddresses(at time.Time) (each, regular, joined []netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	peers := c.inZone(c.self.Zone)
	if len(peers) <= smallZone {
		return peerAddresses(peers), nil, nil
	}
	gateways := c.gateways(c.self.Zone, at)
	isGateway := slices.ContainsFunc(gateways, func(m gossip.Member) bool { return m.Name == c.self.Name })
	// Others pass heartbeats on to a gateway that does not hear this instance, if they hear it themselves.
	lost := !isGateway && (c.digestsLost(at) || at.Sub(c.missedInZoneAt) <= unheardLife)
	for _, p := range peers {
		switch s := p.heartbeat.Sender; {
		case slices.ContainsFunc(gateways, func(m gossip.Member) bool { return m.Name == s.Name }):
			each = append(each, s.Peer)
		case lost:
			regular = append(regular, s.Peer)
		case at.Sub(p.joinedAt) < joinPeriod:
			joined = append(joined, s.Peer)
		}
	}

	return each, regular, joined
}

// UsesDigests reports whether this instance's zone is so large that counts of its instances arrive by digests.
func (c *Cluster) UsesDigests() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return len(c.inZone(c.self.Zone)) > smallZone
}

// ObserveDigests reports whether this instance's zone is large and no digest has come for longer than digestTimeout although the
// instance is not a gateway that sends them itself. It logs when that changes, and when the instance becomes such a gateway or
// ceases to be one.
func (c *Cluster) ObserveDigests(gateway bool, at time.Time) (lost bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	size := len(c.inZone(c.self.Zone))
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

	return peerAddresses(c.inZone(c.self.Zone))
}

// ZoneLive returns the number of instances in this instance's zone that neither count as gone nor are leaving, including this one.
func (c *Cluster) ZoneLive() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 1
	for _, p := range c.inZone(c.self.Zone) {
		if !p.gone && !p.heartbeat.Sender.Leaving {
			n++
		}
	}

	return n
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
	rank = c.gatewayRank(at)

	return rank, len(c.inZone(c.self.Zone)) > digestThreshold, rank >= 0
}

// inZone returns the other instances in a zone in the order in which they become gateways, live or not. The caller holds the lock
// and does not change the list.
func (c *Cluster) inZone(zone string) []*peer {
	return c.byZone()[zone]
}

// byZone returns the other instances by zone in the order in which they become gateways. The caller holds the lock.
func (c *Cluster) byZone() map[string][]*peer {
	if c.zones != nil {
		return c.zones
	}
	c.zones = map[string][]*peer{}
	for _, p := range c.peers {
		zone := p.heartbeat.Sender.Zone
		c.zones[zone] = append(c.zones[zone], p)
	}
	for _, peers := range c.zones {
		slices.SortFunc(peers, func(a, b *peer) int { return compareGateways(a.heartbeat.Sender, b.heartbeat.Sender) })
	}

	return c.zones
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
