package route

import (
	"net"
	"strings"
)

// Find returns the route for the host whose prefix is the longest one that the path starts with, or nil.
func (j *Table) Find(host, path string) *Route {
	name := withoutPort(host)
	var best *Route
	for i := range j.Routes {
		r := &j.Routes[i]
		if !strings.EqualFold(r.Host, name) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}

	return best
}

// Named returns the route of a name, or nil; no route has an empty name.
func (j *Table) Named(name string) *Route {
	return j.first(func(r *Route) bool { return name != "" && r.Name == name })
}

// At returns the route for the host with exactly this prefix, or nil; no route has an empty prefix.
func (j *Table) At(host, prefix string) *Route {
	name := withoutPort(host)

	return j.first(func(r *Route) bool { return prefix != "" && r.Prefix == prefix && strings.EqualFold(r.Host, name) })
}

func (j *Table) first(matches func(r *Route) bool) *Route {
	for i := range j.Routes {
		if r := &j.Routes[i]; matches(r) {
			return r
		}
	}

	return nil
}

// withoutPort returns a host without the port that may follow it.
func withoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}

	return host
}

// Service returns the service for a point from 0 up to but not including 1. Services divide that range by the weights of their
// shares, so that random points divide the requests by weight.
func (j *Route) Service(point float64) string {
	total := 0.0
	for _, s := range j.Shares {
		total += s.Weight
	}
	point *= total
	last := ""
	for _, s := range j.Shares {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}

	return last
}

// Repeatable reports whether a request may run again after an attempt whose outcome is unknown.
func (j *Route) Repeatable() bool {
	return j.Kind == KindIdempotent || j.Kind == KindBatch || j.Kind == KindStream && j.Resumable
}
