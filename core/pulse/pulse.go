package pulse

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/route"
)

const (
	// minZoneInterval is the least time between heartbeats within the availability zone that are sent because counts changed.
	minZoneInterval = 20 * time.Millisecond
	// regularInterval is the time between regular heartbeats.
	regularInterval = 200 * time.Millisecond
	// addressThreshold is the number of receivers above which a regular heartbeat contains addresses of further instances.
	addressThreshold = 3
	// maxAddresses is the largest number of addresses in a heartbeat.
	maxAddresses = 32
	// sampleSize is the number of instances, of those that need no direct heartbeats, that get each regular one. They alternate, so
	// that every instance is reached, and separated zones find each other again, even if no gateway works.
	sampleSize = 2
)

type cluster interface {
	Self() gossip.Member
	Observe(b *gossip.Heartbeat, at time.Time) bool
	ZoneAddresses() []netip.AddrPort
	RemoteAddresses(at time.Time) (uncontacted, direct, others []netip.AddrPort)
	DirectLimit() int
	Gateways(at time.Time) []netip.AddrPort
	Report(own *gossip.Heartbeat, at time.Time) (gossip.Report, []gossip.RelayedHeartbeat)
	ObserveReport(r *gossip.Report, at time.Time)
	Addresses(limit, round int) []netip.AddrPort
	Introduce(addresses []netip.AddrPort, at time.Time)
}

type loads interface {
	Own() []gossip.Count
	Zone(at time.Time) []gossip.Count
	Observe(peer, zone string, counts []gossip.Count, at time.Time)
	ObserveZone(zone string, counts []gossip.Count, at time.Time)
	Changed() <-chan struct{}
}

type jobs interface {
	FillHeartbeat(b *gossip.Heartbeat)
	HeardHeld(id, holder, incarnation string)
	HeardEnd(id string)
	HeardOrphan(id string)
	Preempt(server string, count int)
}

type roster interface {
	Server(id string) (s backend.Server, ok bool)
	Version() (revision int64, digest uint64)
}

type routes interface {
	Current() (*route.Table, int64)
}

type placer interface {
	Excess(s backend.Server, at time.Time) int
}

type transport interface {
	Send(b *gossip.Heartbeat, to []netip.AddrPort)
}

// Pulse sends and handles heartbeats. It is safe for concurrent use.
type Pulse struct {
	cluster   cluster
	loads     loads
	jobs      jobs
	roster    roster
	routes    routes
	placer    placer
	transport transport
	checkedAt func() time.Time
	storeLost func() bool
	now       func() time.Time
	sequence  atomic.Int64
	// rounds counts regular heartbeats; only Run uses it.
	rounds int
	// lock guards reports and beats. They came from gateways of other zones and have not been relayed to this instance's zone
	// yet. The keys are the zone and the sender.
	lock    sync.Mutex
	reports map[string]queuedReport
	beats   map[string]queuedBeat
}

// New returns a Pulse. The function checkedAt returns when this instance last verified that its state was the store's newest,
// and storeLost whether it cannot reach the store.
func New(c cluster, l loads, j jobs, ro roster, rt routes, p placer, t transport,
	checkedAt func() time.Time, storeLost func() bool, now func() time.Time,
) *Pulse {
	return &Pulse{
		cluster:   c,
		loads:     l,
		jobs:      j,
		roster:    ro,
		routes:    rt,
		placer:    p,
		transport: t,
		checkedAt: checkedAt,
		storeLost: storeLost,
		now:       now,
		reports:   map[string]queuedReport{},
		beats:     map[string]queuedBeat{},
	}
}

// Run sends heartbeats until ctx ends: to this instance's zone whenever counts change, and to all zones at a fixed interval.
func (p *Pulse) Run(ctx context.Context) {
	regular := time.NewTicker(regularInterval)
	defer regular.Stop()
	relay := time.NewTicker(relayInterval)
	defer relay.Stop()
	p.send()
	for {
		select {
		case <-ctx.Done():
			p.send()

			return
		case <-regular.C:
			p.send()
		case <-relay.C:
			p.relay()
		case <-p.loads.Changed():
			p.transport.Send(p.beat(), p.cluster.ZoneAddresses())
			select {
			case <-time.After(minZoneInterval):
			case <-ctx.Done():
			}
		}
	}
}

// beat returns the next heartbeat, with the current state of this instance.
func (p *Pulse) beat() *gossip.Heartbeat {
	b := &gossip.Heartbeat{
		Sender:   p.cluster.Self(),
		Sequence: int(p.sequence.Add(1)),
		Counts:   p.loads.Own(),
	}
	if table, _ := p.routes.Current(); table != nil {
		b.RouteVersion = table.Version
	}
	revision, digest := p.roster.Version()
	b.ServerRevision = int(revision)
	b.ServerDigest = int(digest) //nolint:gosec // only compared
	b.StoreLost = p.storeLost()
	b.CheckedMillis = -1
	if at := p.checkedAt(); !at.IsZero() {
		b.CheckedMillis = int(p.now().Sub(at).Milliseconds())
	}
	p.jobs.FillHeartbeat(b)

	return b
}

// send sends the regular heartbeat to this instance's zone and to the selected instances of other zones. The latter also get
// addresses of further instances, which a new instance with other seeds may not know.
func (p *Pulse) send() {
	near := p.cluster.ZoneAddresses()
	far, direct, others := p.cluster.RemoteAddresses(p.now())
	p.rounds++
	b := p.beat()
	p.transport.Send(b, near)
	far = append(far, rotate(direct, p.cluster.DirectLimit(), p.rounds)...)
	far = append(far, rotate(others, sampleSize, p.rounds)...)
	if len(near)+len(far) > addressThreshold {
		b.Addresses = p.cluster.Addresses(maxAddresses, p.rounds)
	}
	p.transport.Send(b, far)
}

// rotate returns at most limit addresses of a list; successive rounds step through the whole list.
func rotate(list []netip.AddrPort, limit, round int) []netip.AddrPort {
	if len(list) <= limit {
		return list
	}
	some := make([]netip.AddrPort, 0, limit)
	for n := range limit {
		some = append(some, list[(round*limit+n)%len(list)])
	}

	return some
}

// HandleHeartbeat applies a heartbeat of another instance. If it contains reports of another zone's gateway, these and the heartbeats
// relayed with them are queued for this instance's zone.
func (p *Pulse) HandleHeartbeat(b *gossip.Heartbeat) {
	at := p.now()
	zone := p.cluster.Self().Zone
	if p.apply(b, at) {
		far := b.Sender.Zone
		if far == zone {
			far = ""
		}
		p.loads.Observe(b.Sender.Name, far, b.Counts, at)
	}
	for i := range b.Relayed {
		r := &b.Relayed[i]
		p.apply(&r.Beat, gossip.Before(at, r.AgeMillis))
	}
	for i := range b.Reports {
		r := &b.Reports[i]
		if r.Zone != zone {
			madeAt := gossip.Before(at, r.AgeMillis)
			p.cluster.ObserveReport(r, madeAt)
			p.loads.ObserveZone(r.Zone, r.Counts, madeAt)
		}
	}
	if b.Sender.Zone != zone && len(b.Reports) > 0 {
		p.enqueue(b, at)
	}
	p.preemptExcess(at)
}

// apply applies a heartbeat except for its counts, as of a time, and reports whether it was newer than the known state.
func (p *Pulse) apply(b *gossip.Heartbeat, at time.Time) bool {
	if !p.cluster.Observe(b, at) {
		return false
	}
	p.cluster.Introduce(b.Addresses, at)
	for _, id := range b.Ended {
		p.jobs.HeardEnd(id)
	}
	for _, id := range b.Released {
		p.jobs.HeardOrphan(id)
	}
	for _, id := range b.Held {
		p.jobs.HeardHeld(id, b.Sender.Name, b.Sender.Incarnation)
	}

	return true
}

// preemptExcess preempts batch items of this instance on backend servers that have more requests than slots.
func (p *Pulse) preemptExcess(at time.Time) {
	for _, c := range p.loads.Own() {
		if c.Batch == 0 {
			continue
		}
		s, ok := p.roster.Server(c.Server)
		if !ok {
			continue
		}
		if n := p.placer.Excess(s, at); n > 0 {
			p.jobs.Preempt(s.ID, n)
		}
	}
}
