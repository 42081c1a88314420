package roundrobin

import (
	"maps"
	"slices"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
)

// Router picks usable backend servers in the order of their names; it is not safe for concurrent use.
type Router struct {
	usable func(name string, at time.Time) bool
	online func(name string) int
	last   map[string]string
}

// New returns a router; online returns the online requests in flight on a server.
func New(usable func(name string, at time.Time) bool, online func(name string) int) *Router {
	return &Router{
		usable: usable,
		online: online,
		last:   map[string]string{},
	}
}

// Pick returns the next backend server with a free slot that is not excluded; false if there is none.
func (ro *Router) Pick(
	c *configuration.Configuration, r *inference.Request, excluded map[string]bool, at time.Time,
) (string, bool) {
	first, next := "", ""
	for _, n := range slices.Sorted(maps.Keys(c.BackendServers)) {
		b := c.BackendServers[n]
		if b.Deployment != r.Deployment || b.Leaving || excluded[n] || !ro.usable(n, at) ||
			ro.online(n) >= max(1, b.Slots) {
			continue
		}
		if first == "" {
			first = n
		}
		if next == "" && n > ro.last[r.Deployment] {
			next = n
		}
	}
	if next == "" {
		next = first
	}
	if next != "" {
		ro.last[r.Deployment] = next
	}

	return next, next != ""
}
