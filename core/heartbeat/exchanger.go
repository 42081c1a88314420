package heartbeat

import (
	"context"
	"expvar"
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
	// minDigestInterval is the same in a zone whose gateways send digests.
	minDigestInterval = 40 * time.Millisecond
	// regularInterval is the time between regular heartbeats.
	regularInterval = 2 * RelayInterval
	// addressThreshold is the number of receivers above which a regular heartbeat contains addresses of further instances.
	addressThreshold = 3
	// maxAddresses is the largest number of addresses in a heartbeat.
	maxAddresses = 32
	// sampleSize is the number of instances, of those that need no direct heartbeats, that get each regular one. They alternate, so
	// that every instance is reached, and separated zones find each other again, even if no gateway works.
	sampleSize = 2
	// joinLimit is the number of new instances of a large zone that get each regular heartbeat. When all start at once they learn of each
	// other by the first message to each address and by digests, and heartbeats to all would be most of what the start costs.
	joinLimit = 4
)

// messages counts the messages that were sent by their occasion.
var messages = expvar.NewMap("HeartbeatMessages")

type cluster interface {
	Self() gossip.Member
	Observe(b *gossip.Heartbeat, at time.Time) bool
	ObservePassedOn(b *gossip.Heartbeat, at time.Time) bool
	Asking() bool
	Silent(round int, at time.Time) []gossip.SilentProcess
	Answers(b *gossip.Heartbeat, at time.Time) (passedOn []gossip.RelayedHeartbeat, own bool)
	ZoneAddresses(at time.Time) (each, regular, joined []netip.AddrPort)
	ZoneMembers() []netip.AddrPort
	ZoneLive() int
	GatewayRank(at time.Time) (rank int, digests, ok bool)
	ObserveDigest(r *gossip.Report, own *gossip.Heartbeat, at time.Time)
	Knows(name, incarnation string) bool
	ForgetDigest()
	ObserveDigests(gateway bool, at time.Time) (lost bool)
	RemoteAddresses(at time.Time) (uncontacted, direct, others []netip.AddrPort)
	DirectLimit() int
	Gateways(at time.Time) []netip.AddrPort
	SearchedAt() time.Time
	Report(own *gossip.Heartbeat, at time.Time) (gossip.Report, []gossip.RelayedHeartbeat)
	ObserveReport(r *gossip.Report, at time.Time)
	Addresses(limit, round int) []netip.AddrPort
	Introduce(addresses []netip.AddrPort, at time.Time)
}

type loads interface {
	OwnCounts() []gossip.Count
	ZoneCounts(at time.Time) (counts []gossip.Count, members int)
	Observe(peer, zone string, counts []gossip.Count, at time.Time)
	ObserveZone(zone string, counts []gossip.Count, at time.Time)
	ObserveDigest(counts, own []gossip.Count, at time.Time)
	ForgetDigest()
	Changed() <-chan struct{}
}

type jobs interface {
	FillHeartbeat(b *gossip.Heartbeat)
	ObserveHolder(id, holder, incarnation string)
	ObserveClaim(id, holder, incarnation string)
	ObserveEnd(id string)
	ObserveOrphan(id string)
	ObserveRefusal(id string, submittedAt time.Time)
	Preempt(server string, count int)
}

type promptParts interface {
	FillHeartbeat(b *gossip.Heartbeat)
	ObserveHeartbeat(b *gossip.Heartbeat, at time.Time)
}

type quotas interface {
	FillHeartbeat(b *gossip.Heartbeat, at time.Time)
	ZoneUses(at time.Time) []gossip.QuotaUse
	Observe(peer, zone string, uses []gossip.QuotaUse, at time.Time)
	ObserveZone(zone string, uses []gossip.QuotaUse, at time.Time)
	ObserveDigest(uses, own []gossip.QuotaUse, at time.Time)
	ForgetDigest()
}

type roster interface {
	Server(id string) (s backend.Server, ok bool)
	Version() (revision int64, digest uint64)
	Departures() []gossip.Departure
	ObserveDepartures(list []gossip.Departure, peer string)
	Outcomes(at time.Time) []gossip.Outcomes
	ObserveOutcomes(list []gossip.Outcomes, peer, zone string, at time.Time)
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

// Exchanger sends and handles heartbeats. It is safe for concurrent use.
type Exchanger struct {
	cluster   cluster
	loads     loads
	jobs      jobs
	parts     promptParts
	quotas    quotas
	roster    roster
	routes    routes
	placer    placer
	transport transport
	checkedAt func() time.Time
	bootTime  func() time.Time
	storeLost func() bool
	now       func() time.Time
	sequence  atomic.Int64
	// rounds counts regular heartbeats, regularAt is when the last was sent, changeSentAt when one was last sent because counts had
	// changed, and reportCount counts the reports on this instance's zone; only Run uses them.
	rounds       int
	regularAt    time.Time
	changeSentAt time.Time
	reportCount  int
	// gatewayAt is when this instance last became a gateway that sends digests; only Run uses it.
	gatewayAt time.Time
	// digestsLost says whether this instance already sends to its whole zone since no digest comes; only Run uses it.
	digestsLost bool
	// gateway says whether this instance was a gateway of its zone when it last had the occasion to send a digest.
	gateway atomic.Bool
	// digestAt is the Unix nanosecond of the last digest of this instance's zone, 0 if there was none.
	digestAt atomic.Int64
	// lock guards the fields below. Reports and heartbeats came from gateways of other zones and have not been relayed to this
	// instance's zone yet. The keys are the zone and the sender.
	lock sync.Mutex
	// sent are the latest states that this instance sent to its zone, and covered is when another gateway of the own zone last
	// sent the report on a zone to the own one.
	sent       [sentStates]sentState
	sentCount  int
	covered    map[string]time.Time
	reports    map[string]queuedReport
	heartbeats map[string]queuedHeartbeat
}

// New returns an exchanger. The function checkedAt returns when the store is last known to have had no newer configuration than this
// instance, by a clock that counts while the process is frozen and that bootTime reads; storeLost says whether it cannot reach the store.
func New(c cluster, l loads, j jobs, parts promptParts, q quotas, ro roster, rt routes, p placer, t transport,
	checkedAt, bootTime func() time.Time, storeLost func() bool, now func() time.Time,
) *Exchanger {
	return &Exchanger{
		cluster:    c,
		loads:      l,
		jobs:       j,
		parts:      parts,
		quotas:     q,
		roster:     ro,
		routes:     rt,
		placer:     p,
		transport:  t,
		checkedAt:  checkedAt,
		bootTime:   bootTime,
		storeLost:  storeLost,
		now:        now,
		reports:    map[string]queuedReport{},
		heartbeats: map[string]queuedHeartbeat{},
		covered:    map[string]time.Time{},
	}
}

// Run sends heartbeats until ctx ends: to this instance's zone whenever counts change, and to all zones at a fixed interval. Ticks are
// to come every RelayInterval; if they come late, the regular heartbeats come as often as the ticks.
func (e *Exchanger) Run(ctx context.Context, ticks <-chan time.Time) {
	e.send()
	// While a changed count waits to be sent, and for a pause afterwards, changes is nil.
	changes, pending := e.loads.Changed(), false
	var wait <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			e.changeSentAt = time.Time{}
			e.send()

			return
		case <-ticks:
			if e.now().Sub(e.regularAt) >= regularInterval-RelayInterval/2 {
				e.send()
			}
			e.relay()
		case <-changes:
			changes, pending = nil, true
			wait = time.After(e.untilDigest(e.now()))
		case <-wait:
			if pending {
				pending = false
				wait = time.After(e.sendChange())

				continue
			}
			changes, wait = e.loads.Changed(), nil
		}
	}
}

// heartbeat returns the next heartbeat, with the current state of this instance.
func (e *Exchanger) heartbeat() *gossip.Heartbeat {
	b := &gossip.Heartbeat{
		Sender:   e.cluster.Self(),
		Sequence: int(e.sequence.Add(1)),
		Counts:   e.loads.OwnCounts(),
	}
	e.stamp(b)
	revision, digest := e.roster.Version()
	b.Departures = e.roster.Departures()
	b.Outcomes = e.roster.Outcomes(e.now())
	b.ServerRevision = int(revision)
	b.ServerDigest = int(digest) //nolint:gosec // only compared
	b.StoreLost = e.storeLost()
	b.Asking = e.cluster.Asking()
	if at := e.cluster.SearchedAt(); !at.IsZero() {
		b.SearchedMillis = max(1, gossip.Age(at, e.now()))
	}
	b.Silent = e.cluster.Silent(b.Sequence, e.now())
	e.jobs.FillHeartbeat(b)
	e.parts.FillHeartbeat(b)
	e.quotas.FillHeartbeat(b, e.now())

	return b
}

// stamp sets the version of the configuration and how long it has been known that the store had no newer one. The latter is read first: an
// older time is right for a newer version, but not the other way round. It is rounded up, since others pass it on.
func (e *Exchanger) stamp(b *gossip.Heartbeat) {
	b.CheckedMillis = -1
	if at := e.checkedAt(); !at.IsZero() {
		b.CheckedMillis = gossip.Age(at, e.bootTime()) + 1
	}
	if table, _ := e.routes.Current(); table != nil {
		b.RouteVersion = table.Version
	}
}

// send sends the regular heartbeat to this instance's zone and to the selected instances of other zones. The latter also get
// addresses of further instances, which a new instance with other seeds may not know.
func (e *Exchanger) send() {
	at := e.now()
	near, regular, joined := e.cluster.ZoneAddresses(at)
	far, direct, others := e.cluster.RemoteAddresses(at)
	e.rounds++
	e.regularAt = at
	b := e.heartbeat()
	// Those that have just got a changed count need no regular heartbeat.
	if at.Sub(e.changeSentAt) > RelayInterval {
		e.recordSent(b, at)
		e.sendTo("Regular", b, near)
	}
	e.sendTo("Regular", b, append(regular, rotate(joined, joinLimit, e.rounds)...))
	far = append(far, rotate(direct, e.cluster.DirectLimit(), e.rounds)...)
	far = append(far, rotate(others, sampleSize, e.rounds)...)
	if len(near)+len(far) > addressThreshold {
		b.Addresses = e.cluster.Addresses(maxAddresses, e.rounds)
	}
	e.sendTo("Far", b, far)
}

// sendChange sends a heartbeat to this instance's zone because counts have changed, and returns the least time until the next one.
func (e *Exchanger) sendChange() time.Duration {
	at := e.now()
	near, _, _ := e.cluster.ZoneAddresses(at)
	b := e.heartbeat()
	e.recordSent(b, at)
	e.changeSentAt = at
	e.sendTo("Change", b, near)
	if _, digests, _ := e.cluster.GatewayRank(at); digests {
		return minDigestInterval
	}

	return minZoneInterval
}

// sendTo sends a heartbeat and counts its messages by their occasion. It stamps the heartbeat again, since the process may have been frozen
// since it was made.
func (e *Exchanger) sendTo(occasion string, b *gossip.Heartbeat, to []netip.AddrPort) {
	messages.Add(occasion, int64(len(to)))
	e.stamp(b)
	e.transport.Send(b, to)
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

// HandleHeartbeat applies a heartbeat of another instance. If it contains reports of another zone's gateway, these and the
// heartbeats relayed with them are queued for this instance's zone.
func (e *Exchanger) HandleHeartbeat(b *gossip.Heartbeat) {
	at := e.now()
	zone := e.cluster.Self().Zone
	if e.apply(b, at, e.cluster.Observe) {
		far := b.Sender.Zone
		if far == zone {
			far = ""
		}
		e.loads.Observe(b.Sender.Name, far, b.Counts, at)
		e.quotas.Observe(b.Sender.Name, b.Sender.Zone, b.Quotas, at)
	}
	for i := range b.Relayed {
		r := &b.Relayed[i]
		s := r.Beat.Sender
		// A gateway hears from the members of its zone itself; a relayed heartbeat is without counts and would make it drop theirs.
		// It may be the only way to learn of one that takes itself for a gateway as well, as neither sends to the other.
		if s.Zone != zone || !e.gateway.Load() || !e.cluster.Knows(s.Name, s.Incarnation) {
			e.apply(&r.Beat, gossip.Before(at, r.AgeMillis), e.cluster.Observe)
		}
	}
	for i := range b.PassedOn {
		r := &b.PassedOn[i]
		if e.apply(&r.Beat, gossip.Before(at, r.AgeMillis), e.cluster.ObservePassedOn) {
			e.answer(&r.Beat, at)
		}
	}
	e.answer(b, at)
	for i := range b.Reports {
		r := &b.Reports[i]
		madeAt := gossip.Before(at, r.AgeMillis)
		if r.Zone == zone && !r.Partial {
			e.handleDigest(r, madeAt)

			continue
		}
		e.cluster.ObserveReport(r, madeAt)
		if !r.Partial {
			e.loads.ObserveZone(r.Zone, r.Counts, madeAt)
			e.quotas.ObserveZone(r.Zone, r.Quotas, madeAt)
		}
	}
	if b.Sender.Zone == zone {
		e.noteCovered(b.Reports, at)
	}
	if b.Sender.Zone != zone && len(b.Reports) > 0 {
		e.enqueue(b, at)
	}
	e.preemptExcess(at)
}

// answer passes on to the sender of a heartbeat those of processes that it has not heard from, and sends its own if it is one of them.
func (e *Exchanger) answer(b *gossip.Heartbeat, at time.Time) {
	if len(b.Silent) == 0 {
		return
	}
	passedOn, own := e.cluster.Answers(b, at)
	if len(passedOn) == 0 && !own {
		return
	}
	answer := e.heartbeat()
	answer.PassedOn = passedOn
	e.recordSent(answer, at)
	e.sendTo("Answer", answer, []netip.AddrPort{b.Sender.Peer})
}

// apply applies a heartbeat except for its counts, as of a time, and reports whether it was newer than the known state, to which observe
// applies it.
func (e *Exchanger) apply(b *gossip.Heartbeat, at time.Time, observe func(b *gossip.Heartbeat, at time.Time) bool) bool {
	if !observe(b, at) {
		return false
	}
	e.cluster.Introduce(b.Addresses, at)
	e.parts.ObserveHeartbeat(b, at)
	e.roster.ObserveDepartures(b.Departures, b.Sender.Name)
	e.roster.ObserveOutcomes(b.Outcomes, b.Sender.Name, b.Sender.Zone, at)
	for _, id := range b.Ended {
		e.jobs.ObserveEnd(id)
	}
	for _, id := range b.Released {
		e.jobs.ObserveOrphan(id)
	}
	for _, f := range b.Refused {
		e.jobs.ObserveRefusal(f.Job, gossip.Before(at, f.AgeMillis))
	}
	for _, id := range b.Held {
		e.jobs.ObserveHolder(id, b.Sender.Name, b.Sender.Incarnation)
	}
	for _, id := range b.Claimed {
		e.jobs.ObserveClaim(id, b.Sender.Name, b.Sender.Incarnation)
	}

	return true
}

// preemptExcess preempts batch items of this instance on backend servers that have more requests than slots.
func (e *Exchanger) preemptExcess(at time.Time) {
	for _, c := range e.loads.OwnCounts() {
		if c.Batch == 0 {
			continue
		}
		s, ok := e.roster.Server(c.Server)
		if !ok {
			continue
		}
		if n := e.placer.Excess(s, at); n > 0 {
			e.jobs.Preempt(s.ID, n)
		}
	}
}
