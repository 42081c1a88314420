package throughput

import "time"

const (
	// Window is the time over which events are counted. It covers the time that an ordinary item takes.
	Window = 6 * time.Second
	// buckets is the number of parts of the window, which is advanced by one part at a time.
	buckets = 12
	// bucketTime is the length of one part.
	bucketTime = Window / buckets
)

// counts are the events of one route by bucket; the bucket of number n is at n modulo the length.
type counts struct {
	events [buckets + 1]int
	// last is the number of the newest bucket.
	last int64
}

// advance empties the buckets that have become too old.
func (c *counts) advance(to int64) {
	for n := max(c.last+1, to-buckets); n <= to; n++ {
		c.events[n%int64(len(c.events))] = 0
	}
	c.last = max(c.last, to)
}

// Meter counts events by route. It is not safe for concurrent use.
type Meter struct {
	routes map[string]*counts
}

// New returns a meter without events.
func New() *Meter {
	return &Meter{
		routes: map[string]*counts{},
	}
}

// Add counts events of a route that came at a time.
func (m *Meter) Add(route string, events int, at time.Time) {
	c := m.routes[route]
	if c == nil {
		c = &counts{}
		m.routes[route] = c
	}
	n := bucket(at)
	c.advance(n)
	c.events[n%int64(len(c.events))] += events
}

// Events returns the number of events of a route in the last complete buckets, which together are as long as Window.
func (m *Meter) Events(route string, at time.Time) int {
	c := m.routes[route]
	if c == nil {
		return 0
	}
	n := bucket(at)
	c.advance(n)
	sum := 0
	for k, events := range c.events {
		if int64(k) != n%int64(len(c.events)) {
			sum += events
		}
	}

	return sum
}

// Total returns the events of all routes in the last complete buckets by route, and forgets routes without any.
func (m *Meter) Total(at time.Time) map[string]int {
	total := make(map[string]int, len(m.routes))
	for route, c := range m.routes {
		events := m.Events(route, at)
		if events == 0 && c.events == [buckets + 1]int{} {
			delete(m.routes, route)

			continue
		}
		total[route] = events
	}

	return total
}

func bucket(at time.Time) int64 {
	return at.UnixNano() / int64(bucketTime)
}
