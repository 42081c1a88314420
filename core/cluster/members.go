package cluster

// Members returns the number of instances, with this one and those that are silent but not forgotten.
func (c *Cluster) Members() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := len(c.peers)
	if !c.met {
		n = max(n, len(c.listed))
	}

	return n + 1
}

// Gone reports whether an instance runs no more: it has left, or was forgotten after a long silence and is not cut off with others. One
// that is silent may still run.
func (c *Cluster) Gone(peer string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if p := c.peers[peer]; p != nil {
		return p.heartbeat.Sender.Leaving && p.gone
	}
	_, unconfirmed := c.unconfirmed[peer]

	return !unconfirmed || len(c.unconfirmed) < 2
}

// ZoneGone reports whether no instance of an availability zone may still run.
func (c *Cluster) ZoneGone(zone string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range c.inZone(zone) {
		if !p.gone || !p.heartbeat.Sender.Leaving {
			return false
		}
	}

	return len(c.unconfirmed) < 2
}
