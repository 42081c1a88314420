package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// lostLife is how long after its last heartbeat the waiting tokens of a process that is gone count, takeoverLife how long they count
	// after the last takeover of one of its jobs. What is left then was finished or ended meanwhile.
	lostLife     = 12 * time.Second
	takeoverLife = 4 * time.Second
	// takeoverTTL is how long a takeover is announced. It is shorter than takeoverLife by more than a heartbeat takes, so that no late
	// announcement counts as a new takeover.
	takeoverTTL = 2 * time.Second
)

// replacedProcess is a process in whose place another one of the same instance has started.
type replacedProcess struct {
	zone      string
	waiting   map[string]int
	updatedAt time.Time
}

// takenJobs is what was taken over from one process.
type takenJobs struct {
	// byTaker is the number of tokens by route, by the incarnation of the process that took them over.
	byTaker map[string]map[string]int
	lastAt  time.Time
}

// RecordTakeover records that this instance has taken over a job from a process, with the tokens that wait in it.
func (c *Cluster) RecordTakeover(incarnation, route string, tokens int, at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.noteTakeover(incarnation, c.self.Incarnation, route, c.takenBy(incarnation, c.self.Incarnation)[route]+tokens, at)
}

// Takeovers returns what this instance has taken over lately, in the order of the processes that it was taken from.
func (c *Cluster) Takeovers(at time.Time) []gossip.TakenOver {
	c.lock.Lock()
	defer c.lock.Unlock()
	var list []gossip.TakenOver
	for incarnation, t := range c.taken {
		own := t.byTaker[c.self.Incarnation]
		if len(own) > 0 && at.Sub(t.lastAt) <= takeoverTTL {
			list = append(list, gossip.TakenOver{
				Incarnation: incarnation,
				Waiting:     maps.Clone(own),
			})
		}
	}
	slices.SortFunc(list, func(a, b gossip.TakenOver) int { return cmp.Compare(a.Incarnation, b.Incarnation) })

	return list
}

func (c *Cluster) takenBy(incarnation, taker string) map[string]int {
	if t := c.taken[incarnation]; t != nil {
		return t.byTaker[taker]
	}

	return nil
}

// noteTakeover records how many tokens of a route a process has taken over from another one. The number only grows, so that an
// announcement that is repeated or late changes nothing. The caller holds the lock.
func (c *Cluster) noteTakeover(incarnation, taker, route string, tokens int, at time.Time) {
	if tokens <= c.takenBy(incarnation, taker)[route] {
		return
	}
	t := c.taken[incarnation]
	if t == nil {
		t = &takenJobs{
			byTaker: map[string]map[string]int{},
		}
		c.taken[incarnation] = t
	}
	if t.byTaker[taker] == nil {
		t.byTaker[taker] = map[string]int{}
	}
	t.byTaker[taker][route] = tokens
	t.lastAt = later(t.lastAt, at)
}

// observeTakeovers records what another instance announces to have taken over. The caller holds the lock.
func (c *Cluster) observeTakeovers(b *gossip.Heartbeat, at time.Time) {
	for _, t := range b.TakenOver {
		for route, tokens := range t.Waiting {
			c.noteTakeover(t.Incarnation, b.Sender.Incarnation, route, tokens, at)
		}
	}
}

// replace remembers the waiting tokens of a process in whose place another one has started. The caller holds the lock.
func (c *Cluster) replace(p *peer) {
	if len(p.heartbeat.Waiting) > 0 {
		c.replaced[p.heartbeat.Sender.Incarnation] = replacedProcess{
			zone:      p.heartbeat.Sender.Zone,
			waiting:   p.heartbeat.Waiting,
			updatedAt: p.updatedAt,
		}
	}
}

// forgetLost drops what is known of processes that were lost long ago. The caller holds the lock.
func (c *Cluster) forgetLost(at time.Time) {
	for incarnation, r := range c.replaced {
		if c.lostExpired(incarnation, r.updatedAt, at) {
			delete(c.replaced, incarnation)
		}
	}
	for incarnation, t := range c.taken {
		if at.Sub(t.lastAt) > lostLife {
			delete(c.taken, incarnation)
		}
	}
}

// lostExpired reports whether the waiting tokens of a lost process no longer count. The caller holds the lock.
func (c *Cluster) lostExpired(incarnation string, updatedAt, at time.Time) bool {
	if t := c.taken[incarnation]; t != nil && t.lastAt.After(updatedAt) {
		return at.Sub(t.lastAt) > takeoverLife
	}

	return at.Sub(updatedAt) > lostLife
}

// untaken returns the waiting tokens of a route that a process had when it was last heard from, less those that were taken over since.
// The caller holds the lock.
func (c *Cluster) untaken(incarnation, route string, tokens int, updatedAt time.Time) int {
	t := c.taken[incarnation]
	if t == nil || !t.lastAt.After(updatedAt) {
		return tokens
	}
	for _, waiting := range t.byTaker {
		tokens -= waiting[route]
	}

	return max(0, tokens)
}

// peerWaiting returns the waiting tokens of a route that count for another instance. If it is gone, its jobs wait until they are taken
// over. The caller holds the lock.
func (c *Cluster) peerWaiting(p *peer, route string, at time.Time) int {
	incarnation := p.heartbeat.Sender.Incarnation
	if p.gone && c.lostExpired(incarnation, p.heardAt, at) {
		return 0
	}

	return c.untaken(incarnation, route, p.heartbeat.Waiting[route], p.updatedAt)
}

// replacedWaiting returns the waiting tokens of a route that count for a process that was replaced. The caller holds the lock.
func (c *Cluster) replacedWaiting(incarnation, route string, at time.Time) int {
	r := c.replaced[incarnation]
	if c.lostExpired(incarnation, r.updatedAt, at) {
		return 0
	}

	return c.untaken(incarnation, route, r.waiting[route], r.updatedAt)
}

// addZoneWaiting adds the waiting tokens of all processes of this instance's zone, this one excepted, to a sum by route. The caller
// holds the lock.
func (c *Cluster) addZoneWaiting(sum map[string]int, at time.Time) {
	for _, p := range c.inZone(c.self.Zone) {
		for route := range p.heartbeat.Waiting {
			if n := c.peerWaiting(p, route, at); n > 0 {
				sum[route] += n
			}
		}
	}
	for incarnation, r := range c.replaced {
		if r.zone != c.self.Zone {
			continue
		}
		for route := range r.waiting {
			if n := c.replacedWaiting(incarnation, route, at); n > 0 {
				sum[route] += n
			}
		}
	}
}
