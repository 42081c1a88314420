package cluster

import (
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/gossip"
	"tarragonwalk/core/rendezvous"
)

const (
	// silentAfter is how long after its last beat an instance is no longer given to callers.
	silentAfter = 800 * time.Millisecond
	// goneAfter is how long after its last beat an instance's jobs may be taken over.
	goneAfter = 3 * time.Second
	// turnWindow is longer than the time in which the counts of one instance reach all others; turnUse is the part of it
	// in which the instance whose turn it is may start batch items.
	turnWindow = 300 * time.Millisecond
	turnUse    = 75 * time.Millisecond
	// doubtAfter is how long an instance may be silent until it may hold this one for gone; it is shorter than goneAfter.
	doubtAfter = 2 * time.Second
	// pauseLimit is the time between two looks after which this process was paused.
	pauseLimit = time.Second
	// forgetAfter is how long beats are sent to an address that does not answer.
	forgetAfter = 30 * time.Second
)

type peer struct {
	beat      gossip.Beat
	heardAt   time.Time
	gone      bool
	sequence  int
	firstSeen time.Time
}

// Cluster is safe for concurrent use.
type Cluster struct {
	self gossip.Member
	log  *slog.Logger
	// lock guards all fields below.
	lock  sync.Mutex
	peers map[string]*peer
	// targets are addresses to which beats are sent, with the time at which they are forgotten.
	targets map[netip.AddrPort]time.Time
	changes int
	// startedAt is when this instance began to listen, or went on after a pause.
	startedAt time.Time
	expiredAt time.Time
	// doubtAt is when this instance last could not be sure that all others hear it.
	doubtAt time.Time
}

// New returns a cluster of one that listens from a moment on.
func New(self gossip.Member, at time.Time, log *slog.Logger) *Cluster {
	return &Cluster{
		self:      self,
		log:       log,
		peers:     map[string]*peer{},
		startedAt: at,
		doubtAt:   at,
		targets:   map[netip.AddrPort]time.Time{},
	}
}

// Self returns the instance's own description.
func (c *Cluster) Self() gossip.Member {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.self
}

// Update changes the instance's own description.
func (c *Cluster) Update(ready, leaving bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.self.Ready = ready
	c.self.Leaving = leaving
}

// Introduce adds addresses that may belong to other instances.
func (c *Cluster) Introduce(addresses []netip.AddrPort, at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, a := range addresses {
		if a != c.self.Peer && a.IsValid() {
			if _, ok := c.targets[a]; !ok {
				c.targets[a] = at.Add(forgetAfter)
			}
		}
	}
}

// Observe takes a beat and reports whether it is news: older ones of the same process are dropped.
func (c *Cluster) Observe(b *gossip.Beat, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	s := b.Sender
	if s.Name == c.self.Name {
		return false
	}
	p := c.peers[s.Name]
	switch {
	case p == nil || p.beat.Sender.Incarnation != s.Incarnation:
		p = &peer{
			firstSeen: at,
		}
		c.peers[s.Name] = p
		c.changes++
		c.log.Info("instance joined", "peer", s.Name, "incarnation", s.Incarnation, "address", s.Peer.String(), "zone", s.Zone)
	case b.Sequence <= p.sequence:
		return false
	case p.gone:
		c.changes++
		c.log.Info("instance is back", "peer", s.Name, "silent_since", p.heardAt)
	}
	if s.Leaving != p.beat.Sender.Leaving {
		c.log.Info("instance leaving", "peer", s.Name, "leaving", s.Leaving)
	}
	p.beat = *b
	p.sequence = b.Sequence
	p.heardAt = at
	p.gone = false
	c.targets[s.Peer] = at.Add(forgetAfter)

	return true
}

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
	for name, p := range c.peers {
		silence := at.Sub(later(p.heardAt, c.startedAt))
		if silence > doubtAfter {
			c.doubtAt = at
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
	for a, until := range c.targets {
		if at.After(until) {
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

// Targets returns the addresses of other instances: those in the own zone, and all others.
func (c *Cluster) Targets() (near, far []netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	local := map[netip.AddrPort]bool{}
	for _, p := range c.peers {
		if p.beat.Sender.Zone == c.self.Zone {
			local[p.beat.Sender.Peer] = true
		}
	}
	for a := range c.targets {
		if local[a] {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}

	return near, far
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
		if at.Sub(p.heardAt) <= silentAfter {
			add(p.beat.Sender)
		}
	}
	slices.SortFunc(list, func(a, b gossip.Member) int { return strings.Compare(a.Name, b.Name) })

	return list
}

// Waiting returns the waiting tokens of a batch route that all other instances report.
func (c *Cluster) Waiting(route string) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 0
	for _, p := range c.peers {
		if !p.gone {
			n += p.beat.Waiting[route]
		}
	}

	return n
}

// Addresses returns the addresses of all known instances, for one that knows few.
func (c *Cluster) Addresses() []netip.AddrPort {
	c.lock.Lock()
	defer c.lock.Unlock()
	list := make([]netip.AddrPort, 0, len(c.peers))
	for _, p := range c.peers {
		if !p.gone {
			list = append(list, p.beat.Sender.Peer)
		}
	}

	return list
}

// Ahead returns the address of an instance that has a newer route table or a newer and different server list, false if
// there is none.
func (c *Cluster) Ahead(routeVersion, serverRevision int64, serverDigest uint64) (netip.AddrPort, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, p := range c.peers {
		newerList := int64(p.beat.ServerRevision) > serverRevision && p.beat.ServerDigest != int(serverDigest) //nolint:gosec // only compared
		if !p.gone && (int64(p.beat.RouteVersion) > routeVersion || newerList) {
			return p.beat.Sender.Peer, true
		}
	}

	return netip.AddrPort{}, false
}

// CheckedAt returns when an instance with the same state as this one last knew that it was the store's newest, zero if none
// did.
func (c *Cluster) CheckedAt(routeVersion int64, serverDigest uint64) time.Time {
	c.lock.Lock()
	defer c.lock.Unlock()
	var last time.Time
	for _, p := range c.peers {
		same := int64(p.beat.RouteVersion) == routeVersion && p.beat.ServerDigest == int(serverDigest) //nolint:gosec // only compared
		if p.gone || !same || p.beat.CheckedMillis < 0 {
			continue
		}
		if at := p.heardAt.Add(-time.Duration(p.beat.CheckedMillis) * time.Millisecond); at.After(last) {
			last = at
		}
	}

	return last
}

// Holder returns the address of a process, false if it is not known to live.
func (c *Cluster) Holder(name, incarnation string) (netip.AddrPort, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	p := c.peers[name]
	if p == nil || p.gone || p.beat.Sender.Incarnation != incarnation {
		return netip.AddrPort{}, false
	}

	return p.beat.Sender.Peer, true
}

// StoreRelay returns the address of an instance that reaches the store, preferably of the own zone, false if there is none.
func (c *Cluster) StoreRelay(at time.Time) (netip.AddrPort, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	var best *peer
	for _, p := range c.peers {
		if p.beat.StoreLost || p.beat.Sender.Leaving || at.Sub(p.heardAt) > silentAfter {
			continue
		}
		if best == nil || p.beat.Sender.Zone == c.self.Zone && best.beat.Sender.Zone != c.self.Zone {
			best = p
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}

	return best.beat.Sender.Peer, true
}

// Turn reports whether it is this instance's turn to start batch items on a backend server. Counts of other instances
// arrive late; if all of them filled the same free places at once, most of the items would be preempted again. The turn
// passes on at random; every other time only instances of the server's zone have it.
func (c *Cluster) Turn(server, zone string, at time.Time) bool {
	window := at.UnixNano() / int64(turnWindow)
	if at.UnixNano()%int64(turnWindow) > int64(turnUse) {
		return false
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	var all, local []string
	add := func(m gossip.Member) {
		if m.Leaving {
			return
		}
		all = append(all, m.Name)
		if m.Zone == zone {
			local = append(local, m.Name)
		}
	}
	add(c.self)
	for _, p := range c.peers {
		if at.Sub(p.heardAt) <= silentAfter {
			add(p.beat.Sender)
		}
	}
	names := all
	if window%2 == 0 && len(local) > 0 {
		names = local
	}

	return rendezvous.Highest(server+strconv.FormatInt(window, 10), names) == c.self.Name
}
