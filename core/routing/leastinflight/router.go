package leastinflight

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
)

// Router picks the usable backend server with the fewest online requests; it is not safe for concurrent use.
type Router struct {
	usable func(name string, at time.Time) bool
	online func(name string) int
	random *rand.Rand
}

// New returns a router; online returns the online requests in flight on a server, and random breaks ties.
func New(usable func(name string, at time.Time) bool, online func(name string) int, random *rand.Rand) *Router {
	return &Router{
		usable: usable,
		online: online,
		random: random,
	}
}

// Pick returns the least loaded backend server with a free slot that is not excluded; false if there is none.
func (ro *Router) Pick(
	c *configuration.Configuration, r *inference.Request, excluded map[string]bool, at time.Time,
) (string, bool) {
	var best []string
	least := 0
	for _, n := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := c.BackendServers[n]
		load := ro.online(n)
		if b.Deployment != r.Deployment || b.Leaving || excluded[n] || !ro.usable(n, at) || load >= max(1, b.Slots) {
			continue
		}
		if len(best) == 0 || load < least {
			best, least = best[:0], load
		}
		if load == least {
			best = append(best, n)
		}
	}
	if len(best) == 0 {
		return "", false
	}

	return best[ro.random.IntN(len(best))], true
}
