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
	// nearPause is the least time between beats inside the availability zone, which carry changed counts at once.
	nearPause = 20 * time.Millisecond
	// farInterval is the time between beats to all instances.
	farInterval = 200 * time.Millisecond
	// introduceBelow is how few peers an instance may know before others send it addresses.
	introduceBelow = 3
	// maxAddresses is how many addresses a beat names at most.
	maxAddresses = 32
	// sampleSize is how many of the instances that do not hear every beat directly get each regular one, in turn. Beats thus
	// reach every instance, and zones find each other again, without any speaker.
	sampleSize = 2
)

type cluster interface {
	Self() gossip.Member
	Observe(b *gossip.Beat, at time.Time) bool
	Near() []netip.AddrPort
	Far(at time.Time) (strange, direct, others []netip.AddrPort)
	DirectLimit() int
	Speakers(at time.Time) []netip.AddrPort
	Report(own *gossip.Beat, at time.Time) (gossip.Report, []gossip.Relay)
	ObserveReport(r *gossip.Report, at time.Time)
	Addresses(limit, turn int) []netip.AddrPort
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
	Announce(b *gossip.Beat)
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
	Send(b *gossip.Beat, to []netip.AddrPort)
}

// Pulse is safe for concurrent use.
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
	// rounds counts regular beats; only Run uses it.
	rounds int
	// lock guards reports and beats, which came from speakers of other zones and have not been passed on yet, by zone and by
	// sender.
	lock    sync.Mutex
	reports map[string]heardReport
	beats   map[string]heardBeat
}

// New returns a pulse; checkedAt returns when this instance last knew that its state was the store's newest, and
// storeLost whether it does not reach the store.
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
		reports:   map[string]heardReport{},
		beats:     map[string]heardBeat{},
	}
}

// Run sends beats until ctx ends: to the own zone when counts change, to all at a fixed interval.
func (p *Pulse) Run(ctx context.Context) {
	regular := time.NewTicker(farInterval)
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
			p.transport.Send(p.beat(), p.cluster.Near())
			select {
			case <-time.After(nearPause):
			case <-ctx.Done():
			}
		}
	}
}

// beat returns the state of the instance.
func (p *Pulse) beat() *gossip.Beat {
	b := &gossip.Beat{
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
	p.jobs.Announce(b)

	return b
}

// send sends the regular beat to the own zone and to those elsewhere that have to hear it directly, with addresses of further
// instances for newcomers that do not have the same seeds.
func (p *Pulse) send() {
	near := p.cluster.Near()
	far, direct, others := p.cluster.Far(p.now())
	p.rounds++
	b := p.beat()
	p.transport.Send(b, near)
	far = append(far, inTurn(direct, p.cluster.DirectLimit(), p.rounds)...)
	far = append(far, inTurn(others, sampleSize, p.rounds)...)
	if len(near)+len(far) > introduceBelow {
		b.Addresses = p.cluster.Addresses(maxAddresses, p.rounds)
	}
	p.transport.Send(b, far)
}

// inTurn returns at most limit addresses of a list, others in each round until all have had their turn.
func inTurn(list []netip.AddrPort, limit, round int) []netip.AddrPort {
	if len(list) <= limit {
		return list
	}
	some := make([]netip.AddrPort, 0, limit)
	for n := range limit {
		some = append(some, list[(round*limit+n)%len(list)])
	}

	return some
}

// HandleBeat takes a message of another instance. What comes from another zone's speaker is noted for the own zone.
func (p *Pulse) HandleBeat(b *gossip.Beat) {
	at := p.now()
	zone := p.cluster.Self().Zone
	if p.take(b, at) {
		far := b.Sender.Zone
		if far == zone {
			far = ""
		}
		p.loads.Observe(b.Sender.Name, far, b.Counts, at)
	}
	for i := range b.Relayed {
		r := &b.Relayed[i]
		p.take(&r.Beat, gossip.Before(at, r.AgeMillis))
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
		p.keep(b, at)
	}
	p.yield(at)
}

// take takes the state of an instance as of a moment, but for its counts, and reports whether it is news.
func (p *Pulse) take(b *gossip.Beat, at time.Time) bool {
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

// yield gives up batch places on servers that have more requests than slots.
func (p *Pulse) yield(at time.Time) {
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
