package roster

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
)

// Guards against a server that has announced that it stops and gets requests again: because its entry in the store still says ready, was
// read before, lapsed and came back or moved, or because its last requests succeed.
func TestDepartureIsFinal(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	a, b := server("a", 1), server("b", 1)
	r.Observe([]backend.Server{a, b}, 10, false, start)
	r.RecordDeparture(a, "r1")
	is.Equal(usable(r, start), []string{"b"}) // at once, whatever the store says
	r.RecordAttempt(server("a", 1), nil, start, start)
	r.RecordProgress("a", start)
	r.Observe([]backend.Server{a, b}, 11, false, start)
	is.Equal(usable(r, start), []string{"b"})
	r.Observe([]backend.Server{b}, 12, false, start)
	r.Observe([]backend.Server{a, b}, 13, false, start)
	is.Equal(usable(r, start), []string{"b"})
	r.Observe([]backend.Server{b}, 14, true, start)
	r.Observe([]backend.Server{a, b}, 15, true, start)
	is.Equal(usable(r, start), []string{"b"})
	a.Address = netip.MustParseAddrPort("10.0.0.9:1")
	r.Observe([]backend.Server{a, b}, 16, false, start)
	is.Equal(usable(r, start), []string{"b"})
	r.Observe([]backend.Server{server("a", 2), b}, 17, false, start)
	is.Equal(usable(r, start), []string{"a", "b"}) // a new incarnation
	r.RecordDeparture(a, "r2")
	is.Equal(usable(r, start), []string{"a", "b"}) // a late response of the former one
}

// Guards against an instance that sends requests to a server of whose departure another one has told it, before or after it was listed,
// and against departures that are announced by every instance or for ever.
func TestDeparturesOfPeers(t *testing.T) {
	is := is.New(t)
	one, two := New("e", "a", idle{}, slog.New(slog.DiscardHandler)), New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	one.Observe([]backend.Server{server("a", 1), server("b", 1)}, 10, false, start)
	is.Equal(len(one.Departures()), 0)
	one.RecordDeparture(server("b", 1), "r1")
	one.RecordDeparture(server("a", 1), "r2")
	list := one.Departures()
	is.Equal(list, []gossip.Departure{{Server: "b", StartedAt: 1}, {Server: "a", StartedAt: 1}})
	two.ObserveDepartures(list, "one")
	two.Observe([]backend.Server{server("a", 1), server("b", 2)}, 10, false, start)
	is.Equal(usable(two, start), []string{"b"})
	is.Equal(len(two.Departures()), 0) // told by the one that has the response
	one.Observe([]backend.Server{server("b", 2)}, 11, false, start)
	is.Equal(len(one.Departures()), 0)
}

// Guards against the wrong server that is taken out of use when another one, which leaves, has refused a request at the address.
func TestDepartureAtAddress(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	at := func(id, address string) backend.Server {
		s := server(id, 1)
		s.Address = netip.MustParseAddrPort(address)

		return s
	}
	r.Observe([]backend.Server{at("a", "10.0.0.1:1"), at("b", "10.0.0.1:1"), at("c", "10.0.0.2:1")}, 10, false, start)
	r.RecordDepartureAt(netip.MustParseAddrPort("10.0.0.3:1"), "a", "r1") // nobody is known there
	r.RecordDepartureAt(netip.MustParseAddrPort("10.0.0.2:1"), "c", "r2") // only the one that was meant
	is.Equal(usable(r, start), []string{"a", "b", "c"})
	r.RecordDepartureAt(netip.MustParseAddrPort("10.0.0.1:1"), "a", "r3")
	is.Equal(usable(r, start), []string{"a", "c"})
	r.Observe([]backend.Server{at("a", "10.0.0.1:1"), at("d", "10.0.0.1:1"), at("e", "10.0.0.1:1")}, 11, false, start)
	r.RecordDepartureAt(netip.MustParseAddrPort("10.0.0.1:1"), "a", "r4")
	is.Equal(usable(r, start), []string{"a", "d", "e"}) // it may be either
}

// Guards against a memory that grows with each server that leaves, and against listed servers that are forgotten in favour of others.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
	r.RecordDeparture(server("a", 1), "r")
	for n := range 3 * maxDepartures {
		r.RecordDeparture(server(fmt.Sprint("gone-", n), 1), "r")
		r.ObserveDepartures([]gossip.Departure{{Server: fmt.Sprint("told-", n), StartedAt: n}}, "peer")
	}
	is.Equal(len(r.departures), maxDepartures)
	is.Equal(usable(r, start), []string{})
	r.Observe(nil, 11, false, start)
	r.Observe([]backend.Server{server("a", 1)}, 12, false, start)
	is.Equal(usable(r, start), []string{})
	var all []backend.Server
	for n := range 3 * maxAnnounced {
		all = append(all, server(fmt.Sprint("s", n), 1))
	}
	r.Observe(all, 13, false, start)
	for _, s := range all {
		r.RecordDeparture(s, "r")
	}
	list := r.Departures()
	is.Equal(len(list), maxAnnounced)
	is.Equal(list[maxAnnounced-1].Server, all[len(all)-1].ID) // the newest
}

// Guards against any order of announcements, lists of any revision, heartbeats, failures, restarts and reused addresses that makes a
// server usable again in the incarnation that announced its stop, and against one that keeps a server out of use that did not.
func TestDepartureInAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			rosters := []*Roster{New("e", "a", idle{}, slog.New(slog.DiscardHandler)), New("e", "a", idle{}, slog.New(slog.DiscardHandler))}
			known := []map[incarnation]bool{{}, {}}
			lists := [][]backend.Server{nil}
			incarnations := map[string]int{}
			at := start
			for range 200 {
				at = at.Add(time.Duration(random.IntN(500)) * time.Millisecond)
				n := random.IntN(len(rosters))
				id := string(rune('a' + random.IntN(4)))
				s := server(id, max(1, incarnations[id]-random.IntN(2)))
				switch random.IntN(9) {
				case 0: // a restart of the server, perhaps at the address of another one
					incarnations[id]++
				case 1:
					var list []backend.Server
					for k := range 4 {
						id := string(rune('a' + k))
						s := server(id, max(1, incarnations[id]))
						s.Address = netip.AddrPortFrom(s.Address.Addr(), uint16(1+random.IntN(3)))
						if random.IntN(4) > 0 {
							list = append(list, s)
						}
					}
					lists = append(lists, list)
				case 2: // the newest list
					rosters[n].Observe(lists[len(lists)-1], int64(len(lists)), random.IntN(2) == 0, at)
				case 3: // an older one, under its own revision or under a newer one, as from a store that has forgotten its history
					k := random.IntN(len(lists))
					rosters[n].Observe(lists[k], int64(k+1+random.IntN(2)*len(lists)), random.IntN(2) == 0, at)
				case 4:
					rosters[n].RecordDeparture(s, "r")
					known[n][incarnation{id: s.ID, startedAt: s.StartedAt}] = true
				case 5:
					list := rosters[n].Departures()
					rosters[1-n].ObserveDepartures(list, "peer")
					for _, d := range list {
						known[1-n][incarnation{id: d.Server, startedAt: d.StartedAt}] = true
					}
				case 6:
					rosters[n].RecordSuccess(id)
					rosters[n].RecordProgress(id, at)
				case 7:
					rosters[n].RecordFailure(id, "silent", at)
				default: // a restart of the instance, which forgets everything
					if random.IntN(10) == 0 {
						rosters[n], known[n] = New("e", "a", idle{}, slog.New(slog.DiscardHandler)), map[incarnation]bool{}
					}
				}
				for n, r := range rosters {
					for _, s := range r.Usable("s", at) {
						if known[n][incarnation{id: s.ID, startedAt: s.StartedAt}] {
							t.Fatalf("instance %d uses %s in incarnation %d again", n, s.ID, s.StartedAt)
						}
					}
					for id, e := range r.entries {
						if e.departed != known[n][incarnation{id: id, startedAt: e.server.StartedAt}] {
							t.Fatalf("instance %d takes %s in incarnation %d for leaving: %v", n, id, e.server.StartedAt, e.departed)
						}
					}
				}
			}
		})
	}
}

// Guards against a suspicion or a replacement at the address that ends the knowledge of a departure.
func TestDepartureOutlivesFailures(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
	r.RecordAttempt(server("a", 1), fault.New(fault.CodeBackendUnreachable, "x"), start, start)
	r.RecordDeparture(server("a", 1), "r1")
	r.RecordAttempt(server("a", 1), fault.New(fault.CodeBackendLeaving, "x"), start, start)
	is.Equal(usable(r, start.Add(time.Minute)), []string{})
}
