package route

import (
	"net"
	"strings"
)

// Find returns the route for the host whose prefix is the longest one that the path starts with, or nil.
func (j *Table) Find(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for i := range j.Routes {
		r := &j.Routes[i]
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}

	return best
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
