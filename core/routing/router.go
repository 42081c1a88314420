package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
)

const (
	// The 30 Mbit/s link carries the requests of all instances of the region; half of it is left to results and
	// configuration.
	linkBytesPerSecond = 3_750_000 / 2
	// tokenBytes is the size of one event on the wire.
	tokenBytes    = 200
	defaultTokens = 512
	hintLife      = 30 * time.Second
	hintLimit     = 4096
)

type latencyTracker interface {
	Straggler(name string, at time.Time) bool
	Probe(name string, at time.Time) bool
	FirstToken(name string, at time.Time) time.Duration
}

type hint struct {
	server string
	at     time.Time
}

// Router chooses by zone, region, expected time to first token and load; it is not safe for concurrent use.
type Router struct {
	zone       string
	region     string
	usable     func(name string, at time.Time) bool
	latency    latencyTracker
	online     func(name string) int
	own        func(name string) int
	instances  func(at time.Time) int
	random     *rand.Rand
	hints      map[string]hint
	linkBudget float64
	linkAt     time.Time
}

// New returns a router for an instance in a zone and region; online returns all online requests in flight on a server,
// own those of this instance, and instances the live entry instances of the region, which share the link to other regions.
func New(
	zone, region string,
	usable func(name string, at time.Time) bool,
	latency latencyTracker,
	online, own func(name string) int,
	instances func(at time.Time) int,
	random *rand.Rand,
) *Router {
	return &Router{
		zone:      zone,
		region:    region,
		usable:    usable,
		latency:   latency,
		online:    online,
		own:       own,
		instances: instances,
		random:    random,
		hints:     map[string]hint{},
	}
}

// Pick returns a backend server with a free slot that is not excluded; false if there is none. Other regions are used
// only if the own one has no free slot and the link's budget allows it: a request that crosses the link costs tens of
// kilobytes and 24 ms, one that waits for a slot costs up to the whole queue time.
func (ro *Router) Pick(
	c *configuration.Configuration,
	r *inference.Request,
	excluded map[string]bool,
	at time.Time,
) (string, bool) {
	local, remote := ro.usableServers(c, r.Deployment, excluded, at)
	if name, ok := ro.pickAmong(c, r, local, at); ok {
		return name, true
	}
	if len(remote) == 0 || !ro.linkAllows(r, at) {
		return "", false
	}

	return ro.pickAmong(c, r, remote, at)
}

// pickAmong returns one of the servers with a free slot: a straggler that is due for a probe, else the best healthy server,
// else the best straggler.
func (ro *Router) pickAmong(
	c *configuration.Configuration,
	r *inference.Request,
	names []string,
	at time.Time,
) (string, bool) {
	free := slices.DeleteFunc(names, func(n string) bool {
		return ro.online(n) >= slots(c, n)
	})
	healthy := make([]string, 0, len(free))
	for _, n := range free {
		if !ro.latency.Straggler(n, at) {
			healthy = append(healthy, n)
		} else if ro.latency.Probe(n, at) {
			return ro.recordPick(c, r, n, at), true
		}
	}
	if len(healthy) == 0 {
		// A straggler's free slot is better than a wait in the queue.
		healthy = free
	}
	if len(healthy) == 0 {
		return "", false
	}

	return ro.recordPick(c, r, ro.best(c, r, ro.preferOwnZone(c, healthy), at), at), true
}

func (ro *Router) usableServers(
	c *configuration.Configuration,
	deployment string,
	excluded map[string]bool,
	at time.Time,
) (local, remote []string) {
	for _, n := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := c.BackendServers[n]
		switch {
		case b.Deployment != deployment || b.Leaving || excluded[n] || !ro.usable(n, at):
		case b.Region == ro.region:
			local = append(local, n)
		default:
			remote = append(remote, n)
		}
	}

	return local, remote
}

// preferOwnZone returns the own zone's servers that are below half load, or all names if there are none: above half load, a hop
// to another zone costs less than the load. Only this instance's requests count as load. If those of all instances counted,
// a straggler that the other instances avoid could be the only server below half load.
func (ro *Router) preferOwnZone(c *configuration.Configuration, names []string) []string {
	var near []string
	for _, n := range names {
		if c.BackendServers[n].Zone == ro.zone && 2*ro.own(n) < slots(c, n) {
			near = append(near, n)
		}
	}
	if len(near) > 0 {
		return near
	}

	return names
}

// best returns the server with the lowest expected time to first token, weighted by load. It compares two random servers,
// which avoids herding, and the one that may hold the request's prefix in its cache.
func (ro *Router) best(c *configuration.Configuration, r *inference.Request, names []string, at time.Time) string {
	i := ro.random.IntN(len(names))
	choices := []string{names[i]}
	if len(names) > 1 {
		choices = append(choices, names[(i+1+ro.random.IntN(len(names)-1))%len(names)])
	}
	h, ok := ro.hints[r.Prefix]
	hinted := ""
	if ok && r.Prefix != "" && at.Sub(h.at) < hintLife && slices.Contains(names, h.server) {
		hinted = h.server
		choices = append(choices, hinted)
	}
	best, least := "", 0.0
	for _, n := range choices {
		// Only the instance's own requests count here: a straggler that other instances avoid has fewer requests than the
		// rest, and would attract the instances that have not detected it yet.
		load := float64(ro.own(n))
		if n == hinted {
			load--
		}
		expected := max(ro.latency.FirstToken(n, at), time.Millisecond)
		score := expected.Seconds() * (1 + load/float64(slots(c, n)))
		if best == "" || score < least {
			best, least = n, score
		}
	}

	return best
}

// recordPick charges a request to another region to the link's budget, and remembers which server gets the request's prefix.
func (ro *Router) recordPick(c *configuration.Configuration, r *inference.Request, name string, at time.Time) string {
	if c.BackendServers[name].Region != ro.region {
		ro.linkBudget -= linkCost(r)
	}
	if r.Prefix != "" {
		if len(ro.hints) >= hintLimit {
			clear(ro.hints)
		}
		ro.hints[r.Prefix] = hint{
			server: name,
			at:     at,
		}
	}

	return name
}

// linkAllows reports whether the budget of the link allows a request. The budget is a token bucket that fills at this
// instance's share of the link and holds at most one second of it; a request that needs more has to find it full.
func (ro *Router) linkAllows(r *inference.Request, at time.Time) bool {
	part := linkBytesPerSecond / float64(max(1, ro.instances(at)))
	earned := part
	if !ro.linkAt.IsZero() {
		earned = max(0, at.Sub(ro.linkAt).Seconds()*part)
	}
	ro.linkBudget = min(part, ro.linkBudget+earned)
	ro.linkAt = at

	return ro.linkBudget >= min(linkCost(r), part)
}

func linkCost(r *inference.Request) float64 {
	tokens := r.MaxTokens
	if tokens == 0 {
		tokens = defaultTokens
	}

	return float64(len(r.Body) + tokens*tokenBytes)
}

func slots(c *configuration.Configuration, name string) int {
	return max(1, c.BackendServers[name].Slots)
}
