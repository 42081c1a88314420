package cluster

import (
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// Expire marks instances that have fallen silent and returns a number that grows whenever the set of instances changes. It is
// called several times a second.
func (c *Cluster) Expire(at time.Time) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.expiredAt.IsZero() || at.Sub(c.expiredAt) > pauseLimit {
		// Beats that came during a pause are still to be read.
		c.startedAt = at
		c.doubtAt = at
	}
	c.expiredAt = at
	silent, lately := 0, false
	for name, p := range c.peers {
		silence := at.Sub(later(p.heardAt, c.startedAt))
		if silence > doubtAfter && silence <= forgetAfter {
			silent++
			lately = lately || silence <= doubtLife
		}
		if !p.gone && silence > goneAfter {
			p.gone = true
			c.changes++
			c.log.Warn("instance gone", "peer", name, "incarnation", p.beat.Sender.Incarnation, "heard_at", p.heardAt)
		}
		if silence > forgetAfter {
			delete(c.peers, name)
		}
	}
	// An instance that hears nobody takes no jobs over, so that one which has been silent alone for long is no threat; two of
	// them may hear each other.
	if lately || silent > 1 {
		c.doubtAt = at
	}
	for a, t := range c.targets {
		if at.After(t.forgetAt) {
			delete(c.targets, a)
		}
	}

	return c.changes
}

// Doubted reports whether other instances may have held this one for gone since a moment, and may have taken its jobs over.
func (c *Cluster) Doubted(since time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.doubtAt.After(since)
}

// Isolated reports whether this instance hears none of the several others that it knows, so that it is the one that is cut
// off.
func (c *Cluster) Isolated() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range c.peers {
		if !p.gone {
			return false
		}
	}

	return len(c.peers) > 1
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Live returns the names of the instances that hold their jobs, this one included unless it leaves, ordered by name.
func (c *Cluster) Live() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var names []string
	if !c.self.Leaving {
		names = append(names, c.self.Name)
	}
	for name, p := range c.peers {
		if !p.gone && !p.beat.Sender.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// Alive reports whether a process of an instance may still be running. One that was never heard of may be, for as long as it
// takes to hear of it; if another process of the same instance was heard of, the earlier one has ended.
func (c *Cluster) Alive(name, incarnation string, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if name == c.self.Name {
		return incarnation == c.self.Incarnation
	}
	p := c.peers[name]
	if p == nil {
		return name != "" && at.Sub(c.startedAt) <= goneAfter
	}

	return !p.gone && p.beat.Sender.Incarnation == incarnation
}

// Serving returns the instances that callers may use, those of a zone or, with an empty zone, all.
func (c *Cluster) Serving(zone string, at time.Time) []gossip.Member {
	c.lock.Lock()
	defer c.lock.Unlock()
	var list []gossip.Member
	add := func(m gossip.Member) {
		if m.Ready && !m.Leaving && (zone == "" || m.Zone == zone) {
			list = append(list, m)
		}
	}
	add(c.self)
	for _, p := range c.peers {
		if p.heard(at) {
			add(p.beat.Sender)
		}
	}
	slices.SortFunc(list, func(a, b gossip.Member) int { return strings.Compare(a.Name, b.Name) })

	return list
}
