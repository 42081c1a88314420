package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/rendezvous"
)

const (
	// defaultSlots is used for servers that do not report their slots.
	defaultSlots = 4
	// headroomRatio is the share of a server's slots that batch items that are not urgent leave free for online requests.
	headroomRatio = 0.125
	// urgentHeadroom is how many slots urgent batch items leave free. An online request that then finds no free slot preempts a
	// batch item, which delays the request by a few milliseconds.
	urgentHeadroom = 0
	// onlineWeight is what an online request counts for in the choice of a server, a batch item counts 1.
	onlineWeight = 2
	// maxWeights bounds the remembered weights.
	maxWeights = 4096
	// preferredServers is the mean number of servers at a distance to which an instance prefers to send, so that it keeps
	// connections to few servers, and instances that see the same counts do not all choose the same server.
	preferredServers = 8
	// preference is the number of online requests that the chosen server may have more than the least loaded one.
	preference = 1
)

// Distances of a backend server from the instance.
const (
	sameZone = iota
	sameRegion
	otherRegion
	distances
)

type roster interface {
	Usable(service string, at time.Time) []backend.Server
	UsableForItems(service string, at time.Time) []backend.Server
	Probes(service string, at time.Time) []backend.Server
	BeginProbe(s backend.Server, at time.Time)
}

type loads interface {
	Add(server string, online, batch int)
	InFlight(server string, at time.Time) (online, batch int)
	OwnBatch(server string) int
	// OldestReport returns when the oldest counts of other instances were taken, zero if there are none.
	OldestReport(at time.Time) time.Time
}

type members interface {
	// MayStartBatch reports whether this instance may start batch items on a server at a given time.
	MayStartBatch(server, zone string, late bool, at time.Time) bool
	// UsesDigests reports whether the counts of other instances arrive by digests, and are a little old.
	UsesDigests() bool
}

// Placer prefers the instance's own zone, then its region, and there the server with the fewest requests in flight per slot.
type Placer struct {
	name    string
	zone    string
	regions map[string]string
	roster  roster
	loads   loads
	members members
	// lock guards random and weights, and makes choosing a server and reserving on it atomic.
	lock   sync.Mutex
	random *rand.Rand
	// weights are this instance's weights for servers by ID, uniform from 0 to 1. It prefers those with low weights.
	weights map[string]float64
}

// New returns a placer for the instance name in zone; regions maps each zone to its region.
func New(name, zone string, regions map[string]string, r roster, l loads, m members, random *rand.Rand) *Placer {
	return &Placer{
		name:    name,
		zone:    zone,
		regions: regions,
		roster:  r,
		loads:   l,
		members: m,
		random:  random,
		weights: map[string]float64{},
	}
}

// RandomPoint returns a random number from 0 up to but not including 1.
func (p *Placer) RandomPoint() float64 {
	p.lock.Lock()
	defer p.lock.Unlock()

	return p.random.Float64()
}

// Online reserves capacity for an online request. It chooses a server with fewer online requests than slots, even in another
// region, and otherwise one with fewer than loadLimit times its slots, where the request waits. A slot that a batch item uses
// counts as free, since the item can be preempted. release ends the reservation.
func (p *Placer) Online(service string, excluded map[string]bool, loadLimit float64, at time.Time) (s backend.Server, release func(), ok bool) {
	return p.reserve(p.roster.Usable(service, at), excluded, []float64{1, loadLimit}, func(slots, online, _ int, limit float64) bool {
		return float64(online) < limit*float64(slots)
	}, at)
}

// Probe reserves a slot for an online request, which can be repeated, on an ejected server whose recovery is to be determined.
func (p *Placer) Probe(service string, excluded map[string]bool, at time.Time) (s backend.Server, release func(), ok bool) {
	s, release, ok = p.reserve(p.roster.Probes(service, at), excluded, []float64{1}, free, at)
	if ok {
		p.roster.BeginProbe(s, at)
	}

	return s, release, ok
}

// Free reserves a slot for an online request on a server where neither an online request nor a batch item uses it.
func (p *Placer) Free(service string, excluded map[string]bool, at time.Time) (s backend.Server, release func(), ok bool) {
	return p.reserve(p.roster.Usable(service, at), excluded, []float64{1}, free, at)
}

// FreeOn is like Free for one server of a service.
func (p *Placer) FreeOn(service, id string, at time.Time) (s backend.Server, release func(), ok bool) {
	usable := p.roster.Usable(service, at)
	for n, s := range usable {
		if s.ID == id {
			return p.reserve(usable[n:n+1], nil, []float64{1}, free, at)
		}
	}

	return backend.Server{}, nil, false
}

func free(slots, online, batch int, _ float64) bool {
	return online+batch < slots
}

// reserve tries each limit at all distances before the next limit. Among the allowed servers at a distance it chooses the one
// with the fewest requests per slot, where an online request counts onlineWeight times.
func (p *Placer) reserve(
	usable []backend.Server, excluded map[string]bool, limits []float64, allowed func(slots, online, batch int, limit float64) bool, at time.Time,
) (s backend.Server, release func(), ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, limit := range limits {
		for distance := range distances {
			s, ok := p.choose(usable, excluded, distance, at, func(s backend.Server, online, batch int) (float64, bool) {
				slots := slotsOf(s)

				return float64(onlineWeight*online+batch) / float64(slots), allowed(slots, online, batch, limit)
			})
			if ok {
				p.loads.Add(s.ID, 1, 0)

				return s, func() { p.loads.Add(s.ID, -1, 0) }, true
			}
		}
	}

	return backend.Server{}, nil, false
}

// Batch reserves a slot for a batch item and leaves the headroom of the server free, which is smaller for an urgent item. An item that
// is late yields to items of other instances that may still be in time.
func (p *Placer) Batch(service string, urgent, late bool, at time.Time) (s backend.Server, release func(), ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	usable := p.roster.UsableForItems(service, at)
	for distance := range distances {
		s, ok := p.choose(usable, nil, distance, at, func(s backend.Server, online, batch int) (float64, bool) {
			free, yields := batchRules(s, online, batch, urgent, late)
			// The schedule is checked last, only for servers with a free slot, since most servers are full while items wait.
			allowed := free && p.members.MayStartBatch(s.ID, s.Zone, yields, at)

			return float64(online+batch) / float64(slotsOf(s)), allowed
		})
		if ok {
			p.loads.Add(s.ID, 0, 1)

			return s, func() { p.loads.Add(s.ID, 0, -1) }, true
		}
	}

	return backend.Server{}, nil, false
}

// batchRules reports whether a server with the given requests has a free slot for a batch item, and whether the item yields there to items
// that may still be in time.
func batchRules(s backend.Server, online, batch int, urgent, late bool) (free, yields bool) {
	slots, headroom := slotsOf(s), urgentHeadroom
	if !urgent {
		headroom = max(1, int(math.Round(headroomRatio*float64(slots))))
	}
	// Items that may be in time have no use for a server that is half empty, such as items of another service.
	yields = late && 2*(online+batch) > slots

	return online+batch < max(1, slots-headroom), yields
}

// BatchOn reserves a slot for a batch item on a server, even if none is free. release ends the reservation.
func (p *Placer) BatchOn(s backend.Server) (release func()) {
	p.loads.Add(s.ID, 0, 1)

	return func() { p.loads.Add(s.ID, 0, -1) }
}

// Excess returns how many of the instance's own batch items on a server have to be preempted because it has more requests than
// slots. All instances with batch items there see the same counts and share the excess in proportion to their items, so that
// together they do not preempt more than needed; a share is rounded up or down at random.
func (p *Placer) Excess(s backend.Server, at time.Time) int {
	online, batch := p.loads.InFlight(s.ID, at)
	over := online + batch - slotsOf(s)
	own := p.loads.OwnBatch(s.ID)
	if over <= 0 || own == 0 {
		return 0
	}
	share := float64(min(over, batch)) * float64(own) / float64(batch)
	whole := math.Floor(share)
	if p.RandomPoint() < share-whole {
		whole++
	}

	return int(whole)
}

// Oversubscribed reports whether a server has more online requests than slots, so that some of them wait in its queue.
func (p *Placer) Oversubscribed(s backend.Server, at time.Time) bool {
	online, _ := p.loads.InFlight(s.ID, at)

	return online > slotsOf(s)
}

// choose returns the allowed server with the lowest score at a distance, a random one of equals. While the counts of other instances
// are a little old, all instances would choose the same server then; it returns one whose score is at most one preference above
// the lowest, preferred ones before others.
func (p *Placer) choose(
	usable []backend.Server, excluded map[string]bool, distance int, at time.Time,
	score func(s backend.Server, online, batch int) (float64, bool),
) (backend.Server, bool) {
	near := 0
	for _, s := range usable {
		if p.distance(s.Zone) == distance {
			near++
		}
	}
	band, preferredShare := 0.0, 1.0
	if p.members.UsesDigests() {
		band, preferredShare = preference*onlineWeight, preferredServers/float64(max(1, near))
	}
	type candidate struct {
		server    backend.Server
		value     float64
		preferred bool
	}
	var list []candidate
	least := math.Inf(1)
	for _, s := range usable {
		if excluded[s.ID] || p.distance(s.Zone) != distance {
			continue
		}
		online, batch := p.loads.InFlight(s.ID, at)
		if value, allowed := score(s, online, batch); allowed {
			list = append(list, candidate{
				server:    s,
				value:     value,
				preferred: p.weight(s.ID) < preferredShare,
			})
			least = min(least, value)
		}
	}
	var best backend.Server
	equal, preferred := 0, false
	for _, c := range list {
		switch {
		case c.value > least+band/float64(slotsOf(c.server)) || preferred && !c.preferred:
			continue
		case c.preferred && !preferred:
			best, equal, preferred = c.server, 1, true
		default:
			equal++
			if p.random.IntN(equal) == 0 {
				best = c.server
			}
		}
	}

	return best, equal > 0
}

// weight returns this instance's weight for a server; it needs the lock.
func (p *Placer) weight(server string) float64 {
	w, ok := p.weights[server]
	if !ok {
		if len(p.weights) >= maxWeights {
			clear(p.weights)
		}
		w = float64(rendezvous.Weight(server, p.name)) / math.MaxUint64
		p.weights[server] = w
	}

	return w
}

func (p *Placer) distance(zone string) int {
	switch {
	case zone == p.zone:
		return sameZone
	case p.regions[zone] == p.regions[p.zone]:
		return sameRegion
	default:
		return otherRegion
	}
}

func slotsOf(s backend.Server) int {
	if s.Slots > 0 {
		return s.Slots
	}

	return defaultSlots
}
