package cluster

import (
	"net/netip"
	"time"

	"tarragonwalk/core/gossip"
)

// Waiting returns the sum of the waiting tokens of a batch route at all other instances, with those of processes that are gone until
// their jobs are taken over. A report on a zone that has not expired replaces the values of its instances.
func (c *Cluster) Waiting(route string, at time.Time) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 0
	for _, p := range c.peers {
		if at.Sub(c.zoneReports[p.heartbeat.Sender.Zone].madeAt) > gossip.ReportLife {
			n += c.peerWaiting(p, route, at)
		}
	}
	for incarnation, r := range c.replaced {
		if at.Sub(c.zoneReports[r.zone].madeAt) > gossip.ReportLife {
			n += c.replacedWaiting(incarnation, route, at)
		}
	}
	for _, z := range c.zoneReports {
		if at.Sub(z.madeAt) <= gossip.ReportLife {
			n += z.waiting[route]
		}
	}

	return n
}

// NewerState returns the address of an instance that has a newer route table or a newer and different server list, preferably one
// in this instance's zone, false if there is none.
func (c *Cluster) NewerState(routeVersion, serverRevision int64, serverDigest uint64) (netip.AddrPort, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.nearest(func(p *peer) bool {
		newerList := int64(p.heartbeat.ServerRevision) > serverRevision && p.heartbeat.ServerDigest != int(serverDigest) //nolint:gosec // only compared

		return !p.gone && !p.unreachable && (int64(p.heartbeat.RouteVersion) > routeVersion || newerList)
	})
}

// nearest returns the address of an instance for which fits is true, preferably one in this instance's zone, false if there is
// none. The caller holds the lock.
func (c *Cluster) nearest(fits func(p *peer) bool) (netip.AddrPort, bool) {
	var best *peer
	for _, p := range c.peers {
		if fits(p) && (best == nil || p.heartbeat.Sender.Zone == c.self.Zone && best.heartbeat.Sender.Zone != c.self.Zone) {
			best = p
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}

	return best.heartbeat.Sender.Peer, true
}

// CheckedAt returns when the store was last checked, as far as any other instance knows, zero if none does.
func (c *Cluster) CheckedAt() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.checkedAt
}

// Knows reports whether this instance knows a process, whether alive or not.
func (c *Cluster) Knows(name, incarnation string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	p := c.peers[name]

	return p != nil && p.heartbeat.Sender.Incarnation == incarnation
}

// Holder returns the address of a process, false if it is not known to be alive and reachable.
func (c *Cluster) Holder(name, incarnation string) (netip.AddrPort, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	p := c.peers[name]
	if p == nil || p.gone || p.unreachable || p.heartbeat.Sender.Incarnation != incarnation {
		return netip.AddrPort{}, false
	}

	return p.heartbeat.Sender.Peer, true
}

// WatchesStore reports whether this instance watches the store for all others in its zone, so that a change does not cost as many
// calls as there are instances. Lost says that this instance cannot reach the store; it then watches only if no other
// instance in the zone can reach it either.
func (c *Cluster) WatchesStore(lost bool, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	preceding := 0
	for _, p := range c.inZone(c.self.Zone) {
		if !c.precedes(p, lost, at) {
			continue
		}
		if preceding++; preceding >= storeWatchersPerZone {
			return false
		}
	}

	return true
}

// SearchesOrphans reports whether this instance is one of those in the fleet that look for jobs without a holder. The list of all
// jobs is long, so that few instances read it; regions that do not reach each other each have their own.
func (c *Cluster) SearchesOrphans(lost bool, at time.Time) bool {
	return c.isAmongFirst(orphanSearchers, lost, at, func(gossip.Member) bool { return true })
}

// RecordSearch records that this instance reads the list of all jobs for jobs without a holder.
func (c *Cluster) RecordSearch(at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.searchedAt = later(c.searchedAt, at)
}

// SearchedAt returns when any instance last read the list of all jobs, zero if none is known to have done so.
func (c *Cluster) SearchedAt() time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.searchedAt
}

// WatchesServers reports whether this instance is one of those in its region that watch the backend servers.
func (c *Cluster) WatchesServers(lost bool, at time.Time) bool {
	return c.isAmongFirst(serverWatchersPerRegion, lost, at, func(m gossip.Member) bool { return m.Region == c.self.Region })
}

// WatchesJobEnds reports whether this instance is one of those in its region that watch the ends of jobs. There are as many ends as jobs, and the instance that records an end announces it in its heartbeats; the watch is
// needed only if that instance fails right after the write.
func (c *Cluster) WatchesJobEnds(lost bool, at time.Time) bool {
	return c.isAmongFirst(jobEndWatchersPerRegion, lost, at, func(m gossip.Member) bool { return m.Region == c.self.Region })
}

// isAmongFirst reports whether fewer than limit live instances of a group precede this one as watchers of the store.
func (c *Cluster) isAmongFirst(limit int, lost bool, at time.Time, inGroup func(m gossip.Member) bool) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	preceding := 0
	for _, p := range c.peers {
		if !inGroup(p.heartbeat.Sender) || !c.precedes(p, lost, at) {
			continue
		}
		if preceding++; preceding >= limit {
			return false
		}
	}

	return true
}

// precedes reports whether another instance is live and precedes this one as a watcher of the store: those that reach the store
// precede those that do not, then those that do not ask for others there precede those that do, whom they may have to answer, then lower
// names come first. The caller holds the lock.
func (c *Cluster) precedes(p *peer, lost bool, at time.Time) bool {
	before := p.heartbeat.Sender.Name < c.self.Name
	if p.heartbeat.Asking != c.asking {
		before = c.asking
	}
	if p.heartbeat.StoreLost != lost {
		before = lost
	}

	return before && p.live(at)
}

// StoreRelay returns the address of an instance that reaches the store, preferably one in this instance's zone, false if there is
// none.
func (c *Cluster) StoreRelay(at time.Time) (netip.AddrPort, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.nearest(func(p *peer) bool { return !p.heartbeat.StoreLost && p.reachable(at) })
}
