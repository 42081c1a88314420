package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"tarragonwalk/core/backend"
)

const (
	// defaultSlots is used for servers that do not report their slots.
	defaultSlots = 4
	// queueRatio bounds the online requests on a server, queued ones included, as a multiple of its slots.
	queueRatio = 2.5
	// batchHeadroom is how many slots of a server batch work leaves free for online requests.
	batchHeadroom = 1
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
}

type loads interface {
	Add(server string, online, batch int)
	On(server string, at time.Time) (online, batch int)
}

// Placer prefers the instance's own zone, then its region, and there the server with the fewest requests in flight.
type Placer struct {
	zone    string
	regions map[string]string
	roster  roster
	loads   loads
	// lock guards random and makes choosing and reserving one step.
	lock   sync.Mutex
	random *rand.Rand
}

// New returns a placer for an instance in zone; regions maps each zone to its region.
func New(zone string, regions map[string]string, r roster, l loads, random *rand.Rand) *Placer {
	return &Placer{
		zone:    zone,
		regions: regions,
		roster:  r,
		loads:   l,
		random:  random,
	}
}

// Point returns a random number from 0 up to but not including 1.
func (p *Placer) Point() float64 {
	p.lock.Lock()
	defer p.lock.Unlock()

	return p.random.Float64()
}

// Online reserves a place for an online request; free demands a slot that no other request uses. The reservation ends
// with a call of release.
func (p *Placer) Online(service string, excluded map[string]bool, free bool, at time.Time) (s backend.Server, release func(), ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	limits := []float64{1, queueRatio}
	if free {
		limits = limits[:1]
	}
	usable := p.roster.Usable(service, at)
	for _, limit := range limits {
		for distance := range distances {
			s, ok := p.choose(usable, excluded, distance, at, func(slots, online, batch int) (float64, bool) {
				if free && online+batch >= slots {
					return 0, false
				}

				return float64(online+batch)/float64(slots) + float64(online)/float64(slots), float64(online) < limit*float64(slots)
			})
			if ok {
				p.loads.Add(s.ID, 1, 0)

				return s, func() { p.loads.Add(s.ID, -1, 0) }, true
			}
		}
	}

	return backend.Server{}, nil, false
}

// Batch reserves a place for a batch item beside the headroom of a server.
func (p *Placer) Batch(service string, excluded map[string]bool, at time.Time) (s backend.Server, release func(), ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	usable := p.roster.Usable(service, at)
	for distance := range distances {
		s, ok := p.choose(usable, excluded, distance, at, func(slots, online, batch int) (float64, bool) {
			room := max(1, slots-batchHeadroom)

			return float64(online+batch) / float64(slots), online+batch < room
		})
		if ok {
			p.loads.Add(s.ID, 0, 1)

			return s, func() { p.loads.Add(s.ID, 0, -1) }, true
		}
	}

	return backend.Server{}, nil, false
}

// Over returns by how many requests a server is beyond its slots.
func (p *Placer) Over(s backend.Server, at time.Time) int {
	online, batch := p.loads.On(s.ID, at)

	return online + batch - slotsOf(s)
}

// choose returns the allowed server with the lowest score at a distance, a random one of equals.
func (p *Placer) choose(
	usable []backend.Server, excluded map[string]bool, distance int, at time.Time,
	score func(slots, online, batch int) (float64, bool),
) (best backend.Server, ok bool) {
	lowest, equal := 0.0, 0
	for _, s := range usable {
		if excluded[s.ID] || p.distance(s.Zone) != distance {
			continue
		}
		online, batch := p.loads.On(s.ID, at)
		value, allowed := score(slotsOf(s), online, batch)
		switch {
		case !allowed:
			continue
		case !ok || value < lowest:
			best, lowest, equal, ok = s, value, 1, true
		case value == lowest:
			equal++
			if p.random.IntN(equal) == 0 {
				best = s
			}
		}
	}

	return best, ok
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
