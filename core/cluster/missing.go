package cluster

import (
	"maps"
	"slices"
	"time"
)

// Missing returns the instances from which nothing is heard though they have not left, unless their loss is confirmed.
func (c *Cluster) Missing() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.unconfirmed) == 0 && len(c.silent) == 0 {
		return nil
	}
	list := slices.Collect(maps.Keys(c.unconfirmed))
	for name, p := range c.peers {
		if p.gone && !p.heartbeat.Sender.Leaving {
			list = append(list, name)
		}
	}

	return list
}

// Asking reports whether this instance hears from no other one, or has heard from few since its start, so that it asks in the store which are
// alive.
func (c *Cluster) Asking() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.asking
}

// Sought reports whether an instance that this one hears may ask for it or for others in the store: it does not hear this one, or hears few
// instances.
func (c *Cluster) Sought() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range c.peers {
		if !p.gone && (p.heartbeat.Asking || c.countsSelf(p)) {
			return true
		}
	}

	return false
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
