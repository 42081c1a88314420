package pulse

import (
	"context"
	"net/netip"
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
	// introduceBelow is how few peers an instance may know before others send it the addresses of all.
	introduceBelow = 3
)

type cluster interface {
	Self() gossip.Member
	Observe(b *gossip.Beat, at time.Time) bool
	Targets() (near, far []netip.AddrPort)
	Addresses() []netip.AddrPort
	Introduce(addresses []netip.AddrPort, at time.Time)
}

type loads interface {
	Own() []gossip.Count
	Observe(peer string, counts []gossip.Count, at time.Time)
	Changed() <-chan struct{}
}

type jobs interface {
	News() (ended, released []string, tokens map[string]int)
	HeardEnd(id string)
	Preempt(server string, count int)
}

type roster interface {
	Known() (list []backend.Server, revision int64)
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
	released  func(id string)
	checkedAt func() time.Time
	storeLost func() bool
	now       func() time.Time
	sequence  int
}

// New returns a pulse; released is called with jobs that another instance has given up, and must not block;
// checkedAt returns when this instance last knew that its state was the store's newest, and
// storeLost whether it does not reach the store.
func New(c cluster, l loads, j jobs, ro roster, rt routes, p placer, t transport, released func(id string),
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
		released:  released,
		checkedAt: checkedAt,
		storeLost: storeLost,
		now:       now,
	}
}

// Run sends beats until ctx ends: to the own zone when counts change, to all at a fixed interval.
func (p *Pulse) Run(ctx context.Context) {
	t := time.NewTicker(farInterval)
	defer t.Stop()
	p.send(true)
	for {
		select {
		case <-ctx.Done():
			p.send(true)

			return
		case <-t.C:
			p.send(true)
		case <-p.loads.Changed():
			p.send(false)
			select {
			case <-time.After(nearPause):
			case <-ctx.Done():
			}
		}
	}
}

func (p *Pulse) send(all bool) {
	near, far := p.cluster.Targets()
	if !all && len(near) == 0 {
		return
	}
	p.sequence++
	b := &gossip.Beat{
		Sender:   p.cluster.Self(),
		Sequence: p.sequence,
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
	b.Ended, b.Released, b.Waiting = p.jobs.News()
	p.transport.Send(b, near)
	if !all {
		return
	}
	if len(near)+len(far) > introduceBelow {
		// Other instances learn of newcomers that do not have the same seeds.
		b.Addresses = p.cluster.Addresses()
	}
	p.transport.Send(b, far)
}

// HandleBeat takes a message of another instance.
func (p *Pulse) HandleBeat(b *gossip.Beat) {
	at := p.now()
	if !p.cluster.Observe(b, at) {
		return
	}
	p.cluster.Introduce(b.Addresses, at)
	p.loads.Observe(b.Sender.Name, b.Counts, at)
	for _, id := range b.Ended {
		p.jobs.HeardEnd(id)
	}
	for _, id := range b.Released {
		p.released(id)
	}
	p.yield(at)
}

// yield gives up batch places on servers that have more requests than slots.
func (p *Pulse) yield(at time.Time) {
	own := map[string]bool{}
	for _, c := range p.loads.Own() {
		if c.Batch > 0 {
			own[c.Server] = true
		}
	}
	if len(own) == 0 {
		return
	}
	servers, _ := p.roster.Known()
	for _, s := range servers {
		if !own[s.ID] {
			continue
		}
		if n := p.placer.Excess(s, at); n > 0 {
			p.jobs.Preempt(s.ID, n)
		}
	}
}
