package cluster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/gossip"
)

// Expire marks instances that have been silent for longer than goneAfter as gone, and returns a number that grows whenever the
// set of instances changes. It must be called more often than pauseLimit; a longer gap counts as a pause of this process.
func (c *Cluster) Expire(at time.Time) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.expiredAt.IsZero() || c.paused(at) {
		// After a pause of this process, the heartbeats that arrived meanwhile have not been read yet.
		c.listeningSince = at
		c.selfSuspectedAt = at
	}
	c.expiredAt = at
	c.noteStrangers(at)
	isolated := c.isolated()
	if isolated && c.isolatedSince.IsZero() {
		c.isolatedSince = at
		c.log.Warn("instance isolated, since it hears from no other one", "others", len(c.peers), "listed", c.unmet())
	}
	c.asking = isolated || c.hasStrangers()
	alone := isolated || c.alone()
	silent, recent := c.expirePeers(at, isolated, alone)
	// They may still hear each other, and take over the jobs of this instance.
	silent += len(c.unconfirmed)
	// One that hears others gets this instance's heartbeats from them, or learns from them that it is not heard itself. So a single peer that
	// has been silent for longer than singleSilenceLimit is isolated and cannot have taken over this instance's jobs, unless it is the only
	// one. Two or more silent peers may still reach each other and take them over, and so may a single one that takes itself for the last
	// one, if its question in the store could not be answered. An instance that hears from one other one is heard by it, even if the store
	// lists more.
	unanswering := silent > 0 && at.Sub(c.storeLostAt) <= singleSilenceLimit
	if recent || silent > 1 || unanswering || alone || c.hasStrangers() || len(c.peers) == 0 && c.unmet() > 1 {
		c.selfSuspectedAt = at
	}
	unheardBy := c.unheardBy()
	if unheardBy != "" {
		c.selfSuspectedAt = at
	}
	c.noteUnheard(unheardBy)
	c.forgetLost(at)
	// An instance that hears nobody may be heard by the others, who would count it as gone if it became silent.
	if !alone {
		c.forgetTargets(at)
	}

	return c.changes
}

// expirePeers updates what is known of all others by their silence. It returns how many are silent and may have taken over jobs of this
// instance, and whether one of them became silent lately. The caller holds the lock.
func (c *Cluster) expirePeers(at time.Time, isolated, alone bool) (silent int, recent bool) {
	c.checkedAt = time.Time{}
	c.silent = c.silent[:0]
	for name, p := range c.peers {
		if p.isSilent(c.listeningSince, at) {
			c.silent = append(c.silent, name)
		}
		silence := at.Sub(later(p.heardAt, c.listeningSince))
		if silence > selfSuspectAfter && (silence <= forgetAfter || isolated) {
			silent++
			recent = recent || silence <= singleSilenceLimit
		}
		p.unreachable = at.Sub(later(p.directAt, c.listeningSince)) > goneAfter
		if !p.gone && silence > goneAfter {
			p.gone = true
			c.changes++
			c.log.Warn("instance gone", "peer", name, "incarnation", p.heartbeat.Sender.Incarnation, "heard_at", p.heardAt)
		}
		if !p.gone {
			c.checkedAt = later(c.checkedAt, p.checkedAt)
		}
		// An isolated instance that forgot the others would count as the only one, and one of a pair would not suspect itself any more.
		if silence > forgetAfter && !alone {
			c.forget(name, at)
		}
	}
	c.addForgotten()
	slices.Sort(c.silent)

	return silent, recent
}

// forget drops a silent instance. Unless it was leaving, it may be alive in a group that is cut off from this one. The caller holds the
// lock.
func (c *Cluster) forget(name string, at time.Time) {
	if s := c.peers[name].heartbeat.Sender; !s.Leaving {
		c.unconfirmed[name] = forgotten{
			at:          at,
			incarnation: s.Incarnation,
		}
	}
	delete(c.peers, name)
	c.zones = nil
}

// Unconfirmed returns the forgotten instances that may still take over the jobs of this one, and when each was forgotten, until their
// loss is confirmed by other means than heartbeats. A single one that was heard before is isolated and takes nothing over.
func (c *Cluster) Unconfirmed() map[string]time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.unconfirmed) < 2 && !c.hasStrangers() {
		return nil
	}

	list := make(map[string]time.Time, len(c.unconfirmed))
	for name, f := range c.unconfirmed {
		list[name] = f.at
	}

	return list
}

// ConfirmLost records that an instance that was forgotten at a time is lost, unless it was heard from since.
func (c *Cluster) ConfirmLost(name string, forgottenAt time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if f, ok := c.unconfirmed[name]; ok && f.at.Equal(forgottenAt) {
		delete(c.unconfirmed, name)
		if c.strangers[name] {
			c.strangers[name] = false
			c.changes++
		}
		c.log.Info("loss of an instance confirmed", "peer", name, "forgotten_at", forgottenAt)
	}
}

// Hears reports whether an instance was heard from lately. One that has been silent for half of goneAfter may be lost already.
func (c *Cluster) Hears(name string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	p := c.peers[name]

	return p != nil && !p.gone && c.expiredAt.Sub(p.heardAt) <= goneAfter/2
}

// forgetTargets drops the addresses that have not answered for long. The caller holds the lock.
func (c *Cluster) forgetTargets(at time.Time) {
	for a, t := range c.targets {
		if at.After(t.forgetAt) {
			delete(c.targets, a)
		}
	}
}

// Paused reports whether this process has had a pause that Expire has not noticed yet. What is known of the others is as old as the
// pause, and they may have counted this instance as gone.
func (c *Cluster) Paused(at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.paused(at)
}

// paused is Paused for callers that hold the lock.
func (c *Cluster) paused(at time.Time) bool {
	last := c.expiredAt
	if last.IsZero() {
		last = c.listeningSince
	}

	return at.Sub(last) > pauseLimit
}

// SuspectedSince reports whether other instances may have counted this one as gone between two times, the second of which is now, and
// may have taken over its jobs.
func (c *Cluster) SuspectedSince(since, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.selfSuspectedAt.After(since) || c.paused(at) && at.After(since)
}

// unmet returns the number of others in the store while this instance has not heard from two of them: a single one may have started
// behind the same partition. The caller holds the lock.
func (c *Cluster) unmet() int {
	if c.met {
		return 0
	}

	return len(c.listed)
}

// Isolated reports whether at least two other instances are known or expected and none of them was heard from lately, so this one is probably cut
// off, or no longer receives. The others may hear it all the same. It is isolated before it counts the first of them as gone, until it
// hears from one again or ForgetPeers is called.
func (c *Cluster) Isolated() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.isolated()
}

// isolated is Isolated for callers that hold the lock.
func (c *Cluster) isolated() bool {
	if !c.isolatedSince.IsZero() {
		return true
	}
	others, heardAt := c.others()

	return max(others, c.unmet()) > 1 && c.expiredAt.Sub(later(heardAt, c.listeningSince)) > isolatedAfter
}

// alone reports whether another instance is known and none was heard from lately, even if this process was paused. Of a pair that is cut
// off from each other, each takes over the other's jobs. The caller holds the lock.
func (c *Cluster) alone() bool {
	others, heardAt := c.others()

	return others > 0 && c.expiredAt.Sub(heardAt) > isolatedAfter
}

// others returns how many other instances are known, without those that were leaving and are expected to become silent, and when any was
// last heard from. The caller holds the lock.
func (c *Cluster) others() (count int, heardAt time.Time) {
	for _, p := range c.peers {
		if !p.heartbeat.Sender.Leaving {
			count++
		}
		heardAt = later(heardAt, p.heardAt)
	}

	return count, heardAt
}

// endIsolation is called when an instance is heard from. What is known of the others is as old as the isolation, so that they get the
// same time to be heard as after a pause of this process. The caller holds the lock.
func (c *Cluster) endIsolation(at time.Time) {
	if c.isolatedSince.IsZero() {
		return
	}
	c.log.Info("isolation ended", "since", c.isolatedSince, "others", len(c.peers))
	c.isolatedSince = time.Time{}
	c.listeningSince = later(c.listeningSince, at)
	c.selfSuspectedAt = later(c.selfSuspectedAt, at)
	for _, p := range c.peers {
		p.gone = false
		c.extendTarget(p.heartbeat.Sender.Peer, at)
	}
}

// IsolatedSince returns since when this instance has been isolated, false if it is not.
func (c *Cluster) IsolatedSince() (time.Time, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.isolatedSince, !c.isolatedSince.IsZero()
}

// ForgetPeers drops all other instances, once it is known by other means than heartbeats that none of them is alive.
func (c *Cluster) ForgetPeers(at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.peers, c.zones = map[string]*peer{}, nil
	clear(c.unconfirmed)
	clear(c.strangers)
	c.met, c.metMost, c.strangersNoted = true, true, true
	c.checkedAt = time.Time{}
	c.isolatedSince = time.Time{}
	// Only a process that has just started may be alive, and sends heartbeats before it holds jobs.
	c.listeningSince = at.Add(newProcessGrace - goneAfter)
	c.changes++
}

// PeerAddresses returns the addresses of all known other instances, and those that may belong to others.
func (c *Cluster) PeerAddresses() []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	list := make([]netip.AddrPort, 0, len(c.targets))
	for a := range c.targets {
		list = append(list, a)
	}
	for _, p := range c.peers {
		if _, ok := c.targets[p.heartbeat.Sender.Peer]; !ok {
			list = append(list, p.heartbeat.Sender.Peer)
		}
	}

	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Live returns the sorted names of the instances that are neither gone nor leaving, including this one.
func (c *Cluster) Live() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var names []string
	if !c.self.Leaving {
		names = append(names, c.self.Name)
	}
	for name, p := range c.peers {
		if !p.gone && !p.heartbeat.Sender.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// Preceding returns how many of the instances that are neither gone nor leaving precede this one by name, 0 if this one is leaving.
func (c *Cluster) Preceding() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.self.Leaving {
		return 0
	}
	n := 0
	for name, p := range c.peers {
		if name < c.self.Name && !p.gone && !p.heartbeat.Sender.Leaving {
			n++
		}
	}

	return n
}

// Alive reports whether a process of an instance may still be running. A process that is not known may be running until
// goneAfter has passed since this instance started or resumed after a pause, and longer if this instance has heard from few others since its
// start. A process has ended if another one of the same instance is known.
func (c *Cluster) Alive(name, incarnation string, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if name == c.self.Name {
		return incarnation == c.self.Incarnation
	}
	p := c.peers[name]
	if p == nil {
		return name != "" && (at.Sub(c.listeningSince) <= goneAfter || c.strangers[name])
	}

	return !p.gone && p.heartbeat.Sender.Incarnation == incarnation
}

// ServingInstances returns the instances that callers may use, limited to a zone unless zone is empty.
func (c *Cluster) ServingInstances(zone string, at time.Time) []gossip.Member {
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
		if p.heardRecently(at) {
			add(p.heartbeat.Sender)
		}
	}
	slices.SortFunc(list, func(a, b gossip.Member) int { return strings.Compare(a.Name, b.Name) })

	return list
}
