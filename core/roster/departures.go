package roster

import (
	"expvar"
	"net/netip"
	"slices"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/gossip"
)

const (
	// maxDepartures bounds the incarnations that are remembered. The oldest that is not listed is forgotten first.
	maxDepartures = 1024
	// maxAnnounced bounds the departures in a heartbeat, newest first; others have been told before.
	maxAnnounced = 16
)

// departures counts backend servers that were taken out of use because they leave, by the source of that knowledge.
var departures = expvar.NewMap("ServerDepartures")

// incarnation is one process of a backend server.
type incarnation struct {
	id        string
	startedAt int
}

// departure is what is remembered of an incarnation that leaves.
type departure struct {
	incarnation incarnation
	// answered is set if this instance learned of it from a response, not from another instance.
	answered bool
}

// RecordDeparture takes the incarnation of a server to which a request was sent out of use for good, because it has announced in its
// response that it stops. Only another incarnation of the server is used again.
func (r *Roster) RecordDeparture(s backend.Server, request string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.depart(departure{
		incarnation: incarnation{
			id:        s.ID,
			startedAt: s.StartedAt,
		},
		answered: true,
	}, "request", request)
}

// RecordDepartureAt records the departure of the server at an address that has refused a request which was meant for another one, its
// former holder. It is ignored unless exactly one other server is known there.
func (r *Roster) RecordDepartureAt(address netip.AddrPort, holder, request string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	var found []incarnation
	for id, e := range r.entries {
		if id != holder && e.server.Address == address {
			found = append(found, incarnation{
				id:        id,
				startedAt: e.server.StartedAt,
			})
		}
	}
	if len(found) == 1 {
		r.depart(departure{
			incarnation: found[0],
			answered:    true,
		}, "request", request)
	}
}

// ObserveDepartures takes out of use the incarnations whose departure another instance announces.
func (r *Roster) ObserveDepartures(list []gossip.Departure, peer string) {
	if len(list) == 0 {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, d := range list {
		r.depart(departure{
			incarnation: incarnation{
				id:        d.Server,
				startedAt: d.StartedAt,
			},
		}, "peer", peer)
	}
}

// Departures returns the listed incarnations whose departure this instance has learned of from their responses, in the order in which it
// did. What other instances have said first is left out, so that a heartbeat does not change at every instance.
func (r *Roster) Departures() []gossip.Departure {
	r.lock.Lock()
	defer r.lock.Unlock()
	var list []gossip.Departure
	for _, d := range slices.Backward(r.departures) {
		if d.answered && r.known(d.incarnation) {
			list = append(list, gossip.Departure{
				Server:    d.incarnation.id,
				StartedAt: d.incarnation.startedAt,
			})
		}
		if len(list) == maxAnnounced {
			break
		}
	}
	slices.Reverse(list)

	return list
}

// depart remembers a departure and logs it, unless it is known; source and name say where the knowledge comes from. The caller holds the
// lock.
func (r *Roster) depart(d departure, source, name string) {
	if r.departed(d.incarnation) {
		return
	}
	if len(r.departures) >= maxDepartures {
		oldest := slices.IndexFunc(r.departures, func(d departure) bool { return !r.known(d.incarnation) })
		r.departures = slices.Delete(r.departures, max(0, oldest), max(0, oldest)+1)
	}
	r.departures = append(r.departures, d)
	listed := r.known(d.incarnation)
	if listed {
		r.entries[d.incarnation.id].departed = true
	}
	departures.Add(source, 1)
	r.log.Info("backend server leaves", "server", d.incarnation.id, "incarnation", d.incarnation.startedAt, source, name,
		"listed", listed, "revision", r.revision)
}

// departed reports whether the departure of an incarnation is known. The caller holds the lock.
func (r *Roster) departed(i incarnation) bool {
	if e := r.entries[i.id]; e != nil && e.server.StartedAt == i.startedAt {
		return e.departed
	}

	return slices.ContainsFunc(r.departures, func(d departure) bool { return d.incarnation == i })
}

// known reports whether an incarnation is the one in the list. The caller holds the lock.
func (r *Roster) known(i incarnation) bool {
	e := r.entries[i.id]

	return e != nil && e.server.StartedAt == i.startedAt
}
