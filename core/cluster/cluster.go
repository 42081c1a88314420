package cluster

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// silentAfter is how long after its last beat an instance is no longer given to callers.
	silentAfter = 800 * time.Millisecond
	// goneAfter is how long after its last beat an instance's jobs may be taken over.
	goneAfter = 3 * time.Second
	// doubtAfter is how long an instance may be silent until it may hold this one for gone; it is shorter than goneAfter.
	doubtAfter = 2 * time.Second
	// doubtLife is how long a single instance that has fallen silent may be one that is cut off from this one only.
	doubtLife = 10 * time.Second
	// zoneWatchers is how many instances of a zone watch the store. Each pays a call for each renewed entry of a server. If
	// the only one is lost, another one lists and watches as soon as it is silent.
	zoneWatchers = 1
	// endWatchers is how many instances of a region watch the ends of jobs.
	endWatchers = 2
	// directLimit is how many other instances all hear each other's beats directly. Above it, beats of other zones come
	// through speakers: with direct beats, messages would grow with the square of the instances.
	directLimit = 16
	// speakerLimit is how many other instances there are when speakers begin to pass beats on. It is lower than directLimit,
	// so that instances which count a few more or less all get the beats.
	speakerLimit = 12
	// joinPeriod is how long a new process gets beats directly, so that it soon knows all instances, and they it.
	joinPeriod = 2 * time.Second
	// fleetDirect is how many direct beats to other zones all instances of a large fleet send in a round together, beside those
	// of a small fleet; minDirect is the least number of one instance. With some 800 bytes each and five rounds a second they
	// take 20 Mbit/s.
	fleetDirect = 600
	minDirect   = 2
	// pauseLimit is the time between two looks after which this process was paused.
	pauseLimit = time.Second
	// forgetAfter is how long beats are sent to an address that does not answer.
	forgetAfter = 30 * time.Second
)

type peer struct {
	// beat is the last one without counts, addresses and what it passed on.
	beat     gossip.Beat
	heardAt  time.Time
	joinedAt time.Time
	gone     bool
	// checkedAt is when the instance last knew that its state was the store's newest, zero if it never did.
	checkedAt time.Time
	// newsAt is when the instance last had news for other zones, passedAt when this one last passed its beat on to them.
	newsAt   time.Time
	passedAt time.Time
}

// take replaces the beat by a newer one of the same process.
func (p *peer) take(b *gossip.Beat, at time.Time) {
	checkedAt := time.Time{}
	if b.CheckedMillis >= 0 {
		checkedAt = gossip.Before(at, b.CheckedMillis)
	}
	if news(&p.beat, b) || checkedAt.Sub(p.checkedAt) > checkStep {
		p.newsAt = at
	}
	p.beat, p.checkedAt = *b, checkedAt
	p.beat.Counts, p.beat.Addresses, p.beat.Relayed, p.beat.Reports = nil, nil, nil, nil
	p.hear(at)
}

// hear notes that the instance lived at a moment.
func (p *peer) hear(at time.Time) {
	p.heardAt = later(p.heardAt, at)
	p.gone = false
}

// heard reports whether the instance has been heard of lately.
func (p *peer) heard(at time.Time) bool {
	return at.Sub(p.heardAt) <= silentAfter
}

// live reports whether the instance has been heard of lately and does not leave.
func (p *peer) live(at time.Time) bool {
	return p.heard(at) && !p.beat.Sender.Leaving
}

// target is an address to which beats are sent.
type target struct {
	forgetAt time.Time
	// greeted is set once a beat was sent to the process there.
	greeted bool
}

// Cluster is safe for concurrent use.
type Cluster struct {
	self gossip.Member
	log  *slog.Logger
	// lock guards all fields below.
	lock    sync.Mutex
	peers   map[string]*peer
	targets map[netip.AddrPort]target
	changes int
	// own is what other zones were last told of this instance.
	own peer
	// zones are the last reports on other zones.
	zones map[string]zoneReport
	// turns belongs to the window in which Turn was last asked.
	turns contenders
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
		targets:   map[netip.AddrPort]target{},
		zones:     map[string]zoneReport{},
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
				c.targets[a] = target{
					forgetAt: at.Add(forgetAfter),
				}
			}
		}
	}
}

// Observe takes a beat that was sent, or heard by another instance, at a moment, and reports whether it is news: older ones of
// the same process and those of a former process are dropped.
func (c *Cluster) Observe(b *gossip.Beat, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	s := b.Sender
	if s.Name == c.self.Name {
		return false
	}
	p := c.peers[s.Name]
	switch {
	case p != nil && p.beat.Sender.Incarnation != s.Incarnation && at.Before(p.heardAt):
		return false
	case p == nil || p.beat.Sender.Incarnation != s.Incarnation:
		if p != nil {
			delete(c.targets, s.Peer) // the new process has not been greeted
		}
		p = &peer{
			joinedAt: at,
		}
		c.peers[s.Name] = p
		c.changes++
		c.log.Info("instance joined", "peer", s.Name, "incarnation", s.Incarnation, "address", s.Peer.String(), "zone", s.Zone)
	case b.Sequence <= p.beat.Sequence:
		return false
	default:
		c.noteReturn(p)
	}
	if s.Leaving != p.beat.Sender.Leaving {
		c.log.Info("instance leaving", "peer", s.Name, "leaving", s.Leaving)
	}
	p.take(b, at)
	c.keepTarget(s.Peer, at)

	return true
}

// noteReturn counts an instance that was held for gone as back; it needs the lock.
func (c *Cluster) noteReturn(p *peer) {
	if p.gone {
		c.changes++
		c.log.Info("instance is back", "peer", p.beat.Sender.Name, "silent_since", p.heardAt)
	}
}

// keepTarget keeps the address of an instance that was heard at a moment; it needs the lock.
func (c *Cluster) keepTarget(a netip.AddrPort, at time.Time) {
	t := c.targets[a]
	t.forgetAt = later(t.forgetAt, at.Add(forgetAfter))
	c.targets[a] = t
}
