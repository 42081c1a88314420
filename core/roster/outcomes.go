package roster

import (
	"slices"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/outlier"
	"tarragonwalk/core/response"
)

const (
	// failedSilence is the silence that counts as a failure: sound servers are silent for about a second at times.
	failedSilence = time.Second
	// failedHold is the time from the last progress of a request for which it counts as in flight if it has failed: somewhat less than
	// a request takes. Otherwise a server that fails fast would look idle, and get more requests than others until it is ejected.
	failedHold = 500 * time.Millisecond
	// maxOutcomes bounds the servers in a heartbeat whose outcomes it contains.
	maxOutcomes = 16
)

type loads interface {
	InFlight(server string, at time.Time) (online, batch int)
	// Hold counts one more online request on a server for a time.
	Hold(server string, d time.Duration)
}

// UsableForItems is like Usable for batch items, which are given up after some failures: servers that may be failing are left out as well.
func (r *Roster) UsableForItems(service string, at time.Time) []backend.Server {
	r.lock.Lock()
	defer r.lock.Unlock()
	g := r.judge(service, at)
	var list []backend.Server
	for _, s := range r.available(service, at) {
		if g.MayServeItems(s.ID, at) {
			list = append(list, s)
		}
	}

	return list
}

// Probes returns the ejected server of a service that may get a request which can be repeated, none if no probe is due. It is called once for each such request.
func (r *Roster) Probes(service string, at time.Time) []backend.Server {
	r.lock.Lock()
	defer r.lock.Unlock()
	id, ok := r.judge(service, at).Probe(at)
	if !ok {
		return nil
	}

	return slices.DeleteFunc(r.available(service, at), func(s backend.Server) bool { return s.ID != id })
}

// BeginProbe records that an ejected server gets a request.
func (r *Roster) BeginProbe(s backend.Server, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.groupOf(s.Service).BeginProbe(s.ID, at)
}

// Outcomes returns the outcomes that other instances have to know.
func (r *Roster) Outcomes(at time.Time) []gossip.Outcomes {
	r.lock.Lock()
	defer r.lock.Unlock()
	var list []gossip.Outcomes
	for _, g := range r.groups {
		for _, o := range g.Reports(at) {
			e := r.entries[o.Server]
			if e == nil || len(list) >= maxOutcomes {
				continue
			}
			o.StartedAt = e.server.StartedAt
			list = append(list, o)
		}
	}

	return list
}

// ObserveOutcomes replaces the outcomes that an instance in a zone has announced by those as of a time.
func (r *Roster) ObserveOutcomes(list []gossip.Outcomes, peer, zone string, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	reports := map[string][]gossip.Outcomes{}
	for _, o := range list[:min(len(list), maxOutcomes)] {
		e := r.entries[o.Server]
		if e == nil || e.server.StartedAt != o.StartedAt {
			continue
		}
		reports[e.server.Service] = append(reports[e.server.Service], o)
	}
	for service, g := range r.groups {
		g.Hear(peer, zone, reports[service], at)
	}
}

// recordOutcome counts an attempt as a success or as a failure of the server, or not at all.
func (r *Roster) recordOutcome(id string, err error, progressAt, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	e := r.entries[id]
	if e == nil {
		return
	}
	failed := false
	switch fault.CodeOf(err) {
	case "":
	case fault.CodeBackendFailed, fault.CodeBackendUnreachable:
		failed = true
	case fault.CodeBackendSilent:
		if e.progressAt.After(progressAt) || at.Sub(progressAt) < failedSilence {
			return
		}
		failed = true
	case fault.CodeOverloaded:
		// The counts are a little old, so only a server with half of its slots free has no reason to refuse.
		if online, batch := r.loads.InFlight(id, at); 2*(online+batch) > e.server.Slots {
			return
		}
		failed = true
	default:
		if !response.ConnectionLost(err) {
			return
		}
		failed = true
	}
	// Refusals are not held, since the counts tell whether a server had a reason to refuse.
	if left := failedHold - at.Sub(progressAt); failed && left > 0 && fault.CodeOf(err) != fault.CodeOverloaded {
		r.loads.Hold(id, left)
	}
	r.groupOf(e.server.Service).Record(id, failed, at)
}

// groupOf returns the outcomes of a service. The caller holds the lock.
func (r *Roster) groupOf(service string) *outlier.Group {
	g := r.groups[service]
	if g == nil {
		g = outlier.New(service, r.name, r.zone, r.log)
		r.groups[service] = g
	}

	return g
}

// judge ejects servers of a service and lets others return. The caller holds the lock.
func (r *Roster) judge(service string, at time.Time) *outlier.Group {
	g := r.groups[service]
	if g == nil {
		return outlier.New(service, r.name, r.zone, r.log)
	}
	g.Judge(at)

	return g
}

// remove drops a server and its outcomes. The caller holds the lock.
func (r *Roster) remove(id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	delete(r.entries, id)
	g := r.groups[e.server.Service]
	if g == nil {
		return
	}
	if g.Remove(id); g.Empty() {
		delete(r.groups, e.server.Service)
	}
}
