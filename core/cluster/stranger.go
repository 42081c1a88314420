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

// noteStrangers notes the instances that the store lists and that this one has never heard from, until it has heard from half of those that
// are listed. It may have started behind a partition together with those that it hears. The others may be alive, so that it takes none of
// their jobs over, and take over its own. The caller holds the lock.
func (c *Cluster) noteStrangers(at time.Time) {
	switch {
	case c.metMost || len(c.listed) == 0:
		return
	case 2*len(c.peers) >= len(c.listed):
		c.metMost = true
		for name, stranger := range c.strangers {
			if stranger {
				delete(c.unconfirmed, name)
				c.changes++
			}
		}
		clear(c.strangers)

		return
	case len(c.peers) == 0 || at.Sub(c.listeningSince) <= isolatedAfter:
		// It is about to be isolated, or has just started.
		return
	}
	for _, name := range c.listed {
		if _, noted := c.strangers[name]; !noted && c.peers[name] == nil {
			c.strangers[name] = true
			c.unconfirmed[name] = forgotten{
				at: at,
			}
			c.log.Warn("listed instance never heard from", "peer", name, "listed", len(c.listed), "others", len(c.peers))
		}
	}
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
