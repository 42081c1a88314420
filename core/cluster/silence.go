package cluster

import (
	"cmp"
	"slices"
	"time"

	"tarragonwalk/core/gossip"
	"tarragonwalk/core/rendezvous"
)

const (
	// askAfter is the silence of an instance after which this one asks the others for its heartbeats. Those of other zones may be older than
	// half a second while nothing is lost.
	askAfter = silentAfter
	// maxSilent is the largest number of processes that a heartbeat names as silent.
	maxSilent = 8
	// firstAnswers is the number of instances that pass a heartbeat on when they are asked. All that can do it do after answerAllAfter,
	// which leaves several rounds until goneAfter.
	firstAnswers   = 2
	answerAllAfter = 1500 * time.Millisecond
	// answerPause is the least time between two answers to one instance about the same process, and maxAnswered the number of answers
	// that are remembered; there are no further ones until the oldest are forgotten.
	answerPause = 350 * time.Millisecond
	maxAnswered = 64
	// unheardAfter is the silence of this instance for another one after which that one is about to count it as gone. It is longer than
	// isolatedAfter, since an isolated instance counts nobody as gone, and shorter than goneAfter.
	unheardAfter = 2500 * time.Millisecond
	// unheardLife is how long it counts that another instance has not heard from this one. If it names others in turn, it names this one
	// again within that time.
	unheardLife = time.Second
)

// answer is an answer to an instance about a silent process.
type answer struct {
	asker       string
	incarnation string
}

// Silent returns the processes that this instance has not heard from itself for a while. Successive rounds step through all of them if
// they are many. Other instances pass their heartbeats on, so that a process that any of them hears counts as gone for nobody.
func (c *Cluster) Silent(round int, at time.Time) []gossip.SilentProcess {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.silent) == 0 || c.isolated() {
		return nil
	}
	list := make([]gossip.SilentProcess, 0, maxSilent)
	for n := range min(maxSilent, len(c.silent)) {
		name := c.silent[(round*maxSilent+n)%len(c.silent)]
		p := c.peers[name]
		if f, ok := c.unconfirmed[name]; ok && p == nil {
			list = append(list, gossip.SilentProcess{
				Name:        name,
				Incarnation: f.incarnation,
				AgeMillis:   int(forgetAfter.Milliseconds()) + gossip.Age(f.at, at),
			})
		}
		if p != nil && p.isSilent(c.listeningSince, at) {
			list = append(list, gossip.SilentProcess{
				Name:        p.heartbeat.Sender.Name,
				Incarnation: p.heartbeat.Sender.Incarnation,
				AgeMillis:   gossip.Age(later(p.heardAt, c.listeningSince), at),
			})
		}
	}

	return list
}

// addForgotten adds the forgotten instances to the silent ones: one that hears this instance has to know that it is not heard as long as
// its loss is not confirmed. The caller holds the lock.
func (c *Cluster) addForgotten() {
	for name, f := range c.unconfirmed {
		if f.incarnation != "" {
			c.silent = append(c.silent, name)
		}
	}
}

// isSilent reports whether this instance has not heard from the instance itself for a while. One that is leaving is expected to become
// silent.
func (p *peer) isSilent(listeningSince, at time.Time) bool {
	return !p.heartbeat.Sender.Leaving && at.Sub(later(p.directAt, listeningSince)) > askAfter
}

// Answers returns the heartbeats that this instance passes on to the sender of another one, which has not heard from those processes. It
// also reports whether the sender has not heard from this process, so that this one has to send it a heartbeat of its own.
func (c *Cluster) Answers(b *gossip.Heartbeat, at time.Time) (passedOn []gossip.RelayedHeartbeat, own bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, s := range b.Silent {
		p, self := c.peers[s.Name], s.Name == c.self.Name && s.Incarnation == c.self.Incarnation
		heard := p != nil && p.heartbeat.Sender.Incarnation == s.Incarnation && at.Sub(p.directAt) <= askAfter
		if !heard && !self || !self && !c.answers(b.Sender.Name, s) || !c.mayAnswer(b.Sender.Name, s.Incarnation, at) {
			continue
		}
		if self {
			own = true

			continue
		}
		passedOn = append(passedOn, gossip.RelayedHeartbeat{
			AgeMillis: gossip.Age(p.directAt, at),
			Beat:      p.heartbeat,
		})
	}

	return passedOn, own
}

// answers reports whether this instance is one of those that pass a heartbeat on. The caller holds the lock.
func (c *Cluster) answers(asker string, s gossip.SilentProcess) bool {
	if s.AgeMillis >= int(answerAllAfter.Milliseconds()) {
		return true
	}
	key, preceding := asker+s.Name, 0
	own := rendezvous.Weight(key, c.self.Name)
	for name, p := range c.peers {
		if p.gone || p.heartbeat.Sender.Leaving || name == asker || name == s.Name || rendezvous.Weight(key, name) < own {
			continue
		}
		if preceding++; preceding >= firstAnswers {
			return false
		}
	}

	return true
}

// mayAnswer records an answer unless there was one shortly before, or there are too many. The caller holds the lock.
func (c *Cluster) mayAnswer(asker, incarnation string, at time.Time) bool {
	for a, until := range c.answered {
		if at.After(until) {
			delete(c.answered, a)
		}
	}
	a := answer{
		asker:       asker,
		incarnation: incarnation,
	}
	if _, recent := c.answered[a]; recent || len(c.answered) >= maxAnswered {
		return false
	}
	c.answered[a] = at.Add(answerPause)

	return true
}

// ObservePassedOn applies a heartbeat that its sender sent at a time to another instance, which passes it on. It reports whether it was newer
// than the known one. The sender counts as alive, but not as one that this instance can reach.
func (c *Cluster) ObservePassedOn(b *gossip.Heartbeat, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.observe(b, at, false) {
		return true
	}
	p := c.peers[b.Sender.Name]
	if p != nil && p.heartbeat.Sender.Incarnation == b.Sender.Incarnation && at.After(p.heardAt) {
		c.recordReturn(p, at)
		p.markHeard(at)
		c.extendTarget(b.Sender.Peer, at)
	}

	return false
}

// Unheard reports whether a live instance counts this one as gone, or is about to. What this one did then would be unknown to that one, which
// takes its jobs over.
func (c *Cluster) Unheard() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.unheardBy() != ""
}

// unheardBy returns the name of a live instance that has not heard from this one, empty if there is none. The caller holds the lock.
func (c *Cluster) unheardBy() string {
	for name, p := range c.peers {
		if !p.gone && c.countsSelf(p) {
			return name
		}
	}

	return ""
}

// countsSelf reports whether another instance counts this one as gone, or is about to. The caller holds the lock.
func (c *Cluster) countsSelf(p *peer) bool {
	return !p.countsSelfAt.IsZero() && c.expiredAt.Sub(p.countsSelfAt) <= unheardLife
}

// names reports whether the instance names another one as silent for at least a time. After unheardAfter it counts that one as gone, or is
// about to.
func (p *peer) names(m gossip.Member, silence time.Duration) bool {
	return slices.ContainsFunc(p.heartbeat.Silent, func(s gossip.SilentProcess) bool {
		return s.Name == m.Name && s.Incarnation == m.Incarnation && s.AgeMillis >= int(silence.Milliseconds())
	})
}

// contradicts reports whether the instance counts a process as gone that this one hears. The caller holds the lock.
func (c *Cluster) contradicts(p *peer) bool {
	return slices.ContainsFunc(p.heartbeat.Silent, func(s gossip.SilentProcess) bool {
		o := c.peers[s.Name]
		heard := s.Name == c.self.Name && s.Incarnation == c.self.Incarnation || o != nil && !o.gone && o.heartbeat.Sender.Incarnation == s.Incarnation

		return heard && s.AgeMillis >= int(unheardAfter.Milliseconds())
	})
}

// noteUnheard logs when a live instance ceases to hear this one or hears it again; an empty name stands for the latter. The caller holds the
// lock.
func (c *Cluster) noteUnheard(name string) {
	if (name == "") != (c.unheard == "") {
		c.log.Warn("instance not heard by another one that it hears", "unheard", name != "", "peer", cmp.Or(name, c.unheard))
	}
	c.unheard = name
}
