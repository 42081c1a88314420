package cluster

import (
	"net/netip"
	"time"
)

// Missing returns the instances from which nothing is heard though they have not left, unless their loss is confirmed, with their
// addresses, which are invalid for those never heard from.
func (c *Cluster) Missing() map[string]netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.unconfirmed) == 0 && len(c.silent) == 0 {
		return nil
	}
	list := map[string]netip.AddrPort{}
	for name, f := range c.unconfirmed {
		list[name] = f.address
	}
	for name, p := range c.peers {
		if p.gone && !p.heartbeat.Sender.Leaving {
			list[name] = p.heartbeat.Sender.Peer
		}
	}

	return list
}

// MetMost reports whether this instance has heard from at least half of the instances that the store listed at its start.
func (c *Cluster) MetMost() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.metMost
}

// ObserveStoreLost records that this instance does not reach the store, so that it cannot answer the question of an isolated one there.
func (c *Cluster) ObserveStoreLost(at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.storeLostAt = at
}
