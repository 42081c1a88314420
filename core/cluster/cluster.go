package cluster

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// silentAfter is the time since its last heartbeat after which an instance is no longer offered to callers.
	silentAfter = 800 * time.Millisecond
	// goneAfter is the time since its last heartbeat after which an instance counts as gone and its jobs may be taken over.
	goneAfter = 3 * time.Second
	// newProcessGrace is the same for a process that was never heard from, once it is known that none of the former ones is alive.
	newProcessGrace = 800 * time.Millisecond
	// selfSuspectAfter is the silence of another instance after which that instance may in turn count this one as gone. It is
	// shorter than goneAfter, so that this instance expects it before the other one acts.
	selfSuspectAfter = 2 * time.Second
	// isolatedAfter is the silence of all other instances after which this one counts as isolated. It is shorter than goneAfter by more
	// than the time that passes between signs of life of one instance, so that none counts as gone before.
	isolatedAfter = 2 * time.Second
	// relaySilence is the silence of all other instances after which this one is no gateway: it would send sums that lack what it no
	// longer hears. It is several intervals of regular heartbeats, and shorter than silentAfter, after which this instance would take
	// itself for the only one of its zone.
	relaySilence = 600 * time.Millisecond
	// singleSilenceLimit is how long a single silent instance is assumed to be alive and cut off from this one only.
	singleSilenceLimit = 10 * time.Second
	// storeWatchersPerZone is the number of instances per zone that watch the configuration. If the only watcher fails, another instance
	// lists and watches once silentAfter has passed.
	storeWatchersPerZone = 1
	// serverWatchersPerRegion is the number of instances per region that watch the backend servers. Their entries are renewed all the time,
	// so that each watcher calls the store as often as its pause allows. With two, the other one still learns of a leaving server in time
	// if one does not reach the store and has not noticed yet.
	serverWatchersPerRegion = 2
	// jobEndWatchersPerRegion is the number of instances per region that watch the ends of jobs.
	jobEndWatchersPerRegion = 2
	// orphanSearchers is the number of instances of the fleet that look for jobs without a holder.
	orphanSearchers = 2
	// smallFleet is the number of other instances up to which all send heartbeats to each other directly. Above it, heartbeats
	// of other zones are relayed by zone gateways, since direct messages grow with the square of the number of instances.
	smallFleet = 16
	// gatewayThreshold is the number of other instances above which zone gateways relay heartbeats. It is lower than smallFleet,
	// so that no heartbeat is missed while instances differ by a few in how many others they know.
	gatewayThreshold = 12
	// joinPeriod is how long a new process gets heartbeats directly, so that it and the others soon know each other.
	joinPeriod = 2 * time.Second
	// fleetDirectLimit is the number of direct heartbeats to other zones that all instances of a large fleet send together in a
	// round; minDirect is the least number that one instance sends. At about 800 bytes each and five rounds a second, 600
	// take 20 Mbit/s.
	fleetDirectLimit = 600
	minDirect        = 2
	// pauseLimit is the time between two calls of Expire above which this process is considered to have been paused.
	pauseLimit = time.Second
	// forgetAfter is how long heartbeats are sent to an address that does not answer.
	forgetAfter = 30 * time.Second
	// reintroducedLife is how long they are sent to it after it was named once more. It is longer than the time between two looks for missing
	// instances in the store, so that one that hears this one, but is not heard, has no gap in which it could take itself for isolated.
	reintroducedLife = 5 * time.Second
)

// peer is another instance as last heard from.
type peer struct {
	// heartbeat is its newest heartbeat, without counts, addresses, relayed heartbeats and reports.
	heartbeat gossip.Heartbeat
	// heardAt is when it was last known to be alive, directAt when this instance, or a gateway, last heard from it.
	heardAt  time.Time
	directAt time.Time
	joinedAt time.Time
	// updatedAt is when the heartbeat was received, by this instance or by one that relayed it.
	updatedAt time.Time
	gone      bool
	// unreachable is set while only others have heard from it for longer than goneAfter.
	unreachable bool
	// countsSelfAt is when its heartbeat last showed that it counts this instance as gone, or is about to; zero if none did.
	countsSelfAt time.Time
	// checkedAt is when the store last had no newer configuration than the instance, as far as it knows, zero if it does not.
	checkedAt time.Time
	// changedAt is when a heartbeat last contained a change that other zones need; relayedAt is when this instance last relayed
	// the heartbeat to them.
	changedAt time.Time
	relayedAt time.Time
}

// update replaces the heartbeat by a newer one of the same process.
func (p *peer) update(b *gossip.Heartbeat, at time.Time) {
	checkedAt := time.Time{}
	if b.CheckedMillis >= 0 {
		checkedAt = gossip.Before(at, b.CheckedMillis)
	}
	if relevantChange(&p.heartbeat, b) {
		p.changedAt = at
	}
	p.heartbeat, p.checkedAt, p.updatedAt = *b, checkedAt, at
	p.heartbeat.Counts, p.heartbeat.Addresses, p.heartbeat.Relayed, p.heartbeat.Reports, p.heartbeat.PassedOn = nil, nil, nil, nil, nil
	p.heartbeat.Quotas = nil
	p.markHeard(at)
}

// markHeard records that the instance was alive at a time.
func (p *peer) markHeard(at time.Time) {
	p.heardAt = later(p.heardAt, at)
	p.gone = false
}

// markDirect records that this instance, or a gateway, heard from the instance at a time.
func (p *peer) markDirect(at time.Time) {
	if at.After(p.directAt) {
		p.directAt, p.unreachable = at, false
	}
}

// reachable reports whether this instance, or a gateway, heard from the instance within silentAfter.
func (p *peer) reachable(at time.Time) bool {
	return p.live(at) && at.Sub(p.directAt) <= silentAfter
}

// heardRecently reports whether the instance was heard from within silentAfter.
func (p *peer) heardRecently(at time.Time) bool {
	return at.Sub(p.heardAt) <= silentAfter
}

// silentBriefly reports whether the instance has become silent but does not count as gone yet.
func (p *peer) silentBriefly(at time.Time) bool {
	return !p.heardRecently(at) && at.Sub(p.heardAt) <= goneAfter
}

// live reports whether the instance was heard from within silentAfter and is not leaving.
func (p *peer) live(at time.Time) bool {
	return p.heardRecently(at) && !p.heartbeat.Sender.Leaving
}

// forgotten is an instance that was forgotten at a time, with its last process, which is empty if none was ever heard from.
type forgotten struct {
	at          time.Time
	incarnation string
}

// target is an address to which heartbeats are sent.
type target struct {
	forgetAt time.Time
	// contacted is set once a heartbeat was sent to the process there.
	contacted bool
}

// Cluster is one instance's view of the fleet. It is safe for concurrent use.
type Cluster struct {
	self gossip.Member
	log  *slog.Logger
	// lock guards all fields below.
	lock  sync.Mutex
	peers map[string]*peer
	// zones holds the peers by availability zone in the order in which they become gateways, nil if it has to be made anew.
	zones   map[string][]*peer
	targets map[netip.AddrPort]target
	changes int
	// own is this instance's state as last reported to other zones.
	own peer
	// zoneReports holds the newest report on each other zone.
	zoneReports map[string]zoneReport
	// replaced holds the processes in whose place another one has started, taken what was taken over from processes that are gone;
	// the keys are incarnations.
	replaced map[string]replacedProcess
	taken    map[string]*takenJobs
	// lastContenders are those of the window in which MayStartBatch was last called.
	lastContenders windowContenders
	// listeningSince is when this instance began to receive heartbeats, or resumed after a pause.
	listeningSince time.Time
	expiredAt      time.Time
	// listed are the names of the other instances in the store; their number applies until met is set, when two are heard from or none is
	// alive.
	listed []string
	met    bool
	// strangers are the listed instances that were never heard from, and whether this one takes over none of their jobs, until metMost is
	// set, when half of the listed ones are heard from or none is alive.
	strangers map[string]bool
	metMost   bool
	// strangersNoted is set once the strangers were noted after metMost.
	strangersNoted bool
	// lastHeardAt is when any other instance was last heard from.
	lastHeardAt time.Time
	// isolatedSince is when this instance noticed that it hears from no other one, zero while it does.
	isolatedSince time.Time
	// asking is whether this instance was isolated or had strangers when Expire was last called.
	asking bool
	// sendsDigests and lacksDigests are the results of the last call of ObserveDigests.
	sendsDigests bool
	lacksDigests bool
	// digestAt is when the last digest of this instance's zone was made.
	digestAt time.Time
	// searchedAt is the last known time at which an instance read the list of all jobs, zero if none did.
	searchedAt time.Time
	// checkedAt is when the store was last checked, as far as any other instance knows, zero if none does. It only schedules checks.
	checkedAt time.Time
	// storeLostAt is the last time at which this instance did not reach the store.
	storeLostAt time.Time
	// selfSuspectedAt is the last time at which another instance may have counted this one as gone.
	selfSuspectedAt time.Time
	// unconfirmed holds the instances that were forgotten although they may be alive in a group that is cut off from this one.
	unconfirmed map[string]forgotten
	// silent are the names of the instances from which this one had not heard for a while when Expire was last called, with those forgotten.
	silent []string
	// answered holds the latest answers about silent processes, and until when each is not repeated.
	answered map[answer]time.Time
	// missedInZoneAt is when an instance of this one's zone was last known not to hear this one itself.
	missedInZoneAt time.Time
	// unheard is the live instance that does not hear this one, as last logged.
	unheard string
}

// New returns a cluster that knows no other instance and receives heartbeats from at on.
func New(self gossip.Member, at time.Time, log *slog.Logger) *Cluster {
	return &Cluster{
		self:            self,
		log:             log,
		peers:           map[string]*peer{},
		listeningSince:  at,
		selfSuspectedAt: at,
		targets:         map[netip.AddrPort]target{},
		zoneReports:     map[string]zoneReport{},
		unconfirmed:     map[string]forgotten{},
		strangers:       map[string]bool{},
		replaced:        map[string]replacedProcess{},
		taken:           map[string]*takenJobs{},
		answered:        map[answer]time.Time{},
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

// Introduce adds addresses that may belong to other instances. Known ones are kept for reintroducedLife at least.
func (c *Cluster) Introduce(addresses []netip.AddrPort, at time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, a := range addresses {
		if a == c.self.Peer || !a.IsValid() {
			continue
		}
		t, ok := c.targets[a]
		life := reintroducedLife
		if !ok {
			life = forgetAfter
		}
		t.forgetAt = later(t.forgetAt, at.Add(life))
		c.targets[a] = t
	}
}

// Observe applies a heartbeat that was received at a time, by this instance or by one that relayed it, and reports whether it
// was applied. A heartbeat that is not newer than the known one of the same process, or is of a former process, is dropped.
func (c *Cluster) Observe(b *gossip.Heartbeat, at time.Time) bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.observe(b, at, true)
}

// observe is Observe for callers that hold the lock. Direct says that this instance, or a gateway, has heard from the sender.
func (c *Cluster) observe(b *gossip.Heartbeat, at time.Time, direct bool) bool {
	s := b.Sender
	if s.Name == c.self.Name {
		return false
	}
	p := c.peers[s.Name]
	switch {
	case p != nil && p.heartbeat.Sender.Incarnation != s.Incarnation && at.Before(p.heardAt):
		return false
	case p == nil || p.heartbeat.Sender.Incarnation != s.Incarnation:
		if p != nil {
			c.replace(p)
			delete(c.targets, s.Peer) // no heartbeat was sent to the new process yet
		}
		p = &peer{
			joinedAt: at,
		}
		c.peers[s.Name] = p
		if _, ok := c.unconfirmed[s.Name]; ok {
			delete(c.unconfirmed, s.Name)
			delete(c.strangers, s.Name)
			c.selfSuspectedAt = later(c.selfSuspectedAt, at)
		}
		c.met = c.met || len(c.peers) > 1
		c.zones = nil
		c.changes++
		c.log.Info("instance joined", "peer", s.Name, "incarnation", s.Incarnation, "address", s.Peer.String(), "zone", s.Zone)
	case b.Sequence <= p.heartbeat.Sequence:
		return false
	default:
		c.recordReturn(p, at)
	}
	c.lastHeardAt = later(c.lastHeardAt, at)
	if s.Leaving != p.heartbeat.Sender.Leaving {
		c.log.Info("instance leaving", "peer", s.Name, "leaving", s.Leaving)
	}
	if s.Zone != p.heartbeat.Sender.Zone || s.Millicores != p.heartbeat.Sender.Millicores {
		c.zones = nil
	}
	p.update(b, at)
	if direct {
		p.markDirect(at)
	}
	if s.Zone == c.self.Zone && p.names(c.self, 0) {
		c.missedInZoneAt = later(c.missedInZoneAt, at)
	}
	if p.names(c.self, unheardAfter) {
		p.countsSelfAt = at
		c.selfSuspectedAt = later(c.selfSuspectedAt, at)
	}
	c.endIsolation(at)
	c.observeTakeovers(b, at)
	c.checkedAt = later(c.checkedAt, p.checkedAt)
	if b.SearchedMillis > 0 {
		c.searchedAt = later(c.searchedAt, gossip.Before(at, b.SearchedMillis))
	}
	c.extendTarget(s.Peer, at)

	return true
}

// recordReturn counts and logs the return of an instance that had been counted as gone. One that was silent for long may have taken
// itself for the last one and taken over the jobs of this instance, if nobody reached the store to answer its question. The caller holds
// the lock.
func (c *Cluster) recordReturn(p *peer, at time.Time) {
	if at.Sub(p.heardAt) > singleSilenceLimit {
		c.selfSuspectedAt = later(c.selfSuspectedAt, at)
	}
	if p.gone {
		c.changes++
		c.log.Info("instance is back", "peer", p.heartbeat.Sender.Name, "silent_since", p.heardAt)
	}
}

// extendTarget extends the lifetime of the address of an instance that was heard from at a time. The caller holds the lock.
func (c *Cluster) extendTarget(a netip.AddrPort, at time.Time) {
	t := c.targets[a]
	t.forgetAt = later(t.forgetAt, at.Add(forgetAfter))
	c.targets[a] = t
}
