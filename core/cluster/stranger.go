package cluster

import "time"

// Expect records the names of the other instances that the store lists. A process that has heard from none of them yet, or from a few, does
// not know the fleet because of that; it may have started behind a partition.
func (c *Cluster) Expect(others []string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(others) > len(c.listed) {
		c.listed = others
	}
}

// noteStrangers notes the instances that the store lists and that this one has never heard from. They may be alive in a group that is cut off
// from this one, and take over its jobs. Until it has heard from half of those that are listed, it may itself have started behind a partition
// together with those that it hears, so that it takes none of their jobs over. The caller holds the lock.
func (c *Cluster) noteStrangers(at time.Time) {
	if c.strangersNoted || len(c.listed) == 0 {
		return
	}
	if !c.metMost && 2*c.metListed() >= len(c.listed) {
		c.metMost = true
		for name, stranger := range c.strangers {
			if stranger {
				c.strangers[name] = false
				c.changes++
			}
		}
	}
	listening := at.Sub(c.listeningSince)
	if len(c.peers) == 0 || listening <= isolatedAfter || c.metMost && listening <= goneAfter {
		// It is about to be isolated, or has just started.
		return
	}
	c.strangersNoted = c.metMost
	for _, name := range c.listed {
		_, noted := c.strangers[name]
		_, known := c.unconfirmed[name]
		if !noted && !known && c.peers[name] == nil {
			c.strangers[name] = !c.metMost
			c.unconfirmed[name] = forgotten{
				at: at,
			}
			c.log.Warn("listed instance never heard from", "peer", name, "listed", len(c.listed), "others", len(c.peers))
		}
	}
}

// metListed returns how many of the listed instances this one has heard from. Others that it hears may have started behind the same partition
// after the list was read. The caller holds the lock.
func (c *Cluster) metListed() int {
	n := 0
	for _, name := range c.listed {
		if c.peers[name] != nil {
			n++
		}
	}

	return n
}

// hasStrangers reports whether there are listed instances that this one has never heard from and whose loss is not confirmed. The caller
// holds the lock.
func (c *Cluster) hasStrangers() bool {
	for _, stranger := range c.strangers {
		if stranger {
			return true
		}
	}

	return false
}
