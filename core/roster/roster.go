package roster

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/outlier"
	"tarragonwalk/core/rendezvous"
)

const (
	// firstSuspicion is how long a server gets no requests after its first failure; the time doubles with each further one.
	firstSuspicion = 400 * time.Millisecond
	// maxSuspicion bounds that time, so that a server that has recovered is soon used again.
	maxSuspicion = 3 * time.Second
	// relistDelay is how long servers that are missing from the list after an outage of the store stay in use. Their entries
	// may have expired during the outage, and are written again within two seconds.
	relistDelay = 2 * time.Second
)

type entry struct {
	server backend.Server
	// failures counts failures since the last success.
	failures       int
	suspectedUntil time.Time
	// progressAt is when the server last sent something for any request of this instance.
	progressAt time.Time
	// missingUntil is when a server that is missing since an outage of the store is dropped; zero if it is listed.
	missingUntil time.Time
	// replaced is set when another server has answered at the address.
	replaced bool
	// departed is set when this incarnation of the server has announced that it stops.
	departed bool
}

// Roster holds the listed backend servers and their recent failures; it is safe for concurrent use.
type Roster struct {
	log   *slog.Logger
	loads loads
	name  string
	zone  string
	// lock guards all fields below.
	lock     sync.Mutex
	entries  map[string]*entry
	revision int64
	digest   uint64
	// departures are the known departures, the oldest first. They outlive the entries, since a server may be listed again.
	departures []departure
	// groups hold the recent outcomes by service.
	groups map[string]*outlier.Group
}

// New returns an empty roster of the instance name in an availability zone; l counts the requests in flight on servers.
func New(name, zone string, l loads, log *slog.Logger) *Roster {
	return &Roster{
		log:     log,
		loads:   l,
		name:    name,
		zone:    zone,
		entries: map[string]*entry{},
		groups:  map[string]*outlier.Group{},
	}
}

// Observe replaces the list by that of a revision; an older one is ignored. After an outage of the store, servers that are
// missing from the list stay usable for relistDelay.
func (r *Roster) Observe(list []backend.Server, revision int64, afterOutage bool, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if revision < r.revision {
		return
	}
	r.revision = revision
	r.digest = digestOf(list)
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		r.add(s, revision)
	}
	for id, e := range r.entries {
		switch {
		case listed[id]:
		case afterOutage && !e.server.Draining && e.missingUntil.IsZero():
			e.missingUntil = at.Add(relistDelay)
			r.log.Warn("backend server missing after store outage", "server", id, "revision", revision, "until", e.missingUntil)
		case !at.Before(e.missingUntil):
			r.remove(id)
			r.log.Info("backend server gone", "server", id, "service", e.server.Service, "revision", revision)
		}
	}
}

func (r *Roster) add(s backend.Server, revision int64) {
	e := r.entries[s.ID]
	if e == nil || e.server.StartedAt != s.StartedAt || e.server.Address != s.Address {
		r.remove(s.ID)
		r.groupOf(s.Service).Add(s.ID)
		departed := r.departed(incarnation{
			id:        s.ID,
			startedAt: s.StartedAt,
		})
		r.entries[s.ID] = &entry{
			server:   s,
			departed: departed,
		}
		r.log.Info("backend server added", "server", s.ID, "service", s.Service, "address", s.Address.String(),
			"draining", s.Draining, "leaving", departed, "revision", revision)

		return
	}
	if s.Draining && !e.server.Draining {
		r.log.Info("backend server draining", "server", s.ID, "service", s.Service, "revision", revision)
	}
	if s.Service != e.server.Service {
		r.groupOf(e.server.Service).Remove(s.ID)
		r.groupOf(s.Service).Add(s.ID)
	}
	e.server = s
	e.missingUntil = time.Time{}
}

// Usable returns the servers of a service that may get new requests, ordered by ID. Ejected ones are left out, unless no other one is there.
func (r *Roster) Usable(service string, at time.Time) []backend.Server {
	r.lock.Lock()
	defer r.lock.Unlock()
	g := r.judge(service, at)
	all := r.available(service, at)
	list := slices.DeleteFunc(slices.Clone(all), func(s backend.Server) bool { return !g.MayServe(s.ID, at) })
	if len(list) == 0 {
		return all
	}

	return list
}

// available returns the servers of a service that may get new requests as far as is known without their outcomes, ordered by ID. The caller
// holds the lock.
func (r *Roster) available(service string, at time.Time) []backend.Server {
	var list []backend.Server
	for id, e := range r.entries {
		if !e.missingUntil.IsZero() && !at.Before(e.missingUntil) {
			r.remove(id)
			r.log.Info("backend server gone", "server", id, "service", e.server.Service, "revision", r.revision)

			continue
		}
		if e.server.Service == service && !e.server.Draining && !e.replaced && !e.departed && !at.Before(e.suspectedUntil) {
			list = append(list, e.server)
		}
	}
	slices.SortFunc(list, func(a, b backend.Server) int { return strings.Compare(a.ID, b.ID) })

	return list
}

// Listed returns all listed servers and the revision of the list.
func (r *Roster) Listed() (list []backend.Server, revision int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, e := range r.entries {
		if e.missingUntil.IsZero() {
			list = append(list, e.server)
		}
	}
	slices.SortFunc(list, func(a, b backend.Server) int { return strings.Compare(a.ID, b.ID) })

	return list, r.revision
}

// Server returns a listed server, false if there is none with this ID.
func (r *Roster) Server(id string) (backend.Server, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	e := r.entries[id]
	if e == nil || !e.missingUntil.IsZero() {
		return backend.Server{}, false
	}

	return e.server, true
}

// Version returns the revision of the list and a digest of its content.
func (r *Roster) Version() (revision int64, digest uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()

	return r.revision, r.digest
}

// digestOf returns a digest of a list that does not depend on its order.
func digestOf(list []backend.Server) uint64 {
	sum := uint64(0)
	for _, s := range list {
		sum += rendezvous.Weight(s.ID, fmt.Sprint(s.Service, s.Address, s.Slots, s.Draining, s.StartedAt))
	}

	return sum
}

// RecordAttempt updates the state of a server after an attempt on it that ended with err, nil for a success, and last made progress
// at progressAt. It must not be called for an attempt that ended because of its caller. An attempt on a former process of the server, or
// at a former address, says nothing of the present one.
func (r *Roster) RecordAttempt(s backend.Server, err error, progressAt, at time.Time) {
	if !r.present(s) {
		return
	}
	r.recordOutcome(s.ID, err, progressAt, at)
	switch fault.CodeOf(err) {
	case "":
		r.RecordSuccess(s.ID)
	case fault.CodeBackendSilent:
		r.RecordSilence(s.ID, progressAt, at)
	case fault.CodeBackendLeaving:
		r.RecordReplaced(s.ID)
	case fault.CodeBackendUnreachable:
		r.RecordFailure(s.ID, "unreachable", at)
	default:
		// The server has answered, or cut off one answer, which does not show that other requests would fail.
	}
}

// present reports whether a server is known with the same start and address.
func (r *Roster) present(s backend.Server) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	e := r.entries[s.ID]

	return e != nil && e.server.StartedAt == s.StartedAt && e.server.Address == s.Address
}

// RecordProgress records that a server has sent a part of an answer.
func (r *Roster) RecordProgress(id string, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if e := r.entries[id]; e != nil {
		e.progressAt = at
	}
}

// RecordSilence suspects a server that has sent nothing for a request since a time, unless it has sent something for another
// request after that time: then it is busy, and to suspect it would only move the load to the other servers.
func (r *Roster) RecordSilence(id string, since, at time.Time) {
	r.lock.Lock()
	e := r.entries[id]
	busy := e != nil && e.progressAt.After(since)
	r.lock.Unlock()
	if !busy {
		r.RecordFailure(id, "silent", at)
	}
}

// RecordFailure suspects a server for a time that grows with each failure in a row. Failures during that time are not counted.
func (r *Roster) RecordFailure(id, reason string, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	e := r.entries[id]
	if e == nil || at.Before(e.suspectedUntil) {
		return
	}
	delay := min(maxSuspicion, firstSuspicion<<min(e.failures, 4))
	e.failures++
	e.suspectedUntil = at.Add(delay)
	r.log.Warn("backend server suspected", "server", id, "service", e.server.Service, "reason", reason,
		"strikes", e.failures, "until", e.suspectedUntil)
}

// RecordSuccess ends the suspicion of a server.
func (r *Roster) RecordSuccess(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if e := r.entries[id]; e != nil && e.failures > 0 {
		e.failures = 0
		e.suspectedUntil = time.Time{}
		r.log.Info("backend server works again", "server", id, "service", e.server.Service)
	}
}

// RecordReplaced takes a server out of use because another one has answered at its address. It is used again when it is
// listed with another start time or address.
func (r *Roster) RecordReplaced(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if e := r.entries[id]; e != nil && !e.replaced {
		e.replaced = true
		r.log.Warn("backend server replaced at its address", "server", id, "address", e.server.Address.String())
	}
}
