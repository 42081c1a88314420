package roster

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// idle has no requests in flight.
type idle struct{}

func (idle) Hold(string, time.Duration)                     {}
func (idle) InFlight(string, time.Time) (online, batch int) { return 0, 0 }

func server(id string, started int) backend.Server {
	return backend.Server{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 8, StartedAt: started}
}

func usable(r *Roster, at time.Time) []string {
	ids := []string{}
	for _, s := range r.Usable("s", at) {
		ids = append(ids, s.ID)
	}

	return ids
}

// Guards against a draining or removed server that still gets requests.
func TestListDecides(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	a, b := server("a", 1), server("b", 1)
	r.Observe([]backend.Server{a, b}, 10, false, start)
	is.Equal(usable(r, start), []string{"a", "b"})
	a.Draining = true
	r.Observe([]backend.Server{a, b}, 11, false, start)
	is.Equal(usable(r, start), []string{"b"})
	r.Observe([]backend.Server{server("a", 1), b}, 9, false, start)
	is.Equal(usable(r, start), []string{"b"}) // an older list does not bring it back
	r.Observe(nil, 12, false, start)
	is.Equal(usable(r, start), []string{})
}

// Guards against an outage of the store after which no server is usable, and against one after which a lost server stays in
// the list.
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1), server("b", 1)}, 10, false, start)
	r.Observe(nil, 20, true, start)
	is.Equal(usable(r, start.Add(time.Second)), []string{"a", "b"})
	r.Observe([]backend.Server{server("b", 1)}, 21, true, start.Add(time.Second))
	is.Equal(usable(r, start.Add(relistDelay)), []string{"b"})
	list, _ := r.Listed()
	is.Equal(len(list), 1)
}

// Guards against requests that queue at a server that does not answer, and against a server that never gets requests again.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
	r.RecordFailure("a", "silent", start)
	is.Equal(usable(r, start), []string{})
	at := start.Add(firstSuspicion)
	is.Equal(usable(r, at), []string{"a"})
	r.RecordFailure("a", "silent", at)
	is.Equal(usable(r, at.Add(firstSuspicion)), []string{})
	for range 10 {
		at = at.Add(maxSuspicion)
		r.RecordFailure("a", "silent", at)
	}
	is.Equal(usable(r, at.Add(maxSuspicion)), []string{"a"})
	r.RecordSuccess("a")
	r.RecordFailure("a", "silent", at.Add(maxSuspicion))
	is.Equal(usable(r, at.Add(maxSuspicion+firstSuspicion)), []string{"a"})
}

// Guards against requests to an address where another server answers, and against a server that stays out of use after it has
// started again.
func TestReplacedServer(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
	r.RecordReplaced("a")
	r.Observe([]backend.Server{server("a", 1)}, 11, false, start)
	is.Equal(usable(r, start), []string{})
	r.Observe([]backend.Server{server("a", 2)}, 12, false, start)
	is.Equal(usable(r, start), []string{"a"})
}

// Guards against a server that is out of use until its next start because a request to its former process, or to its former address, is
// refused there by another server after the present one was listed.
func TestAttemptOnFormerProcess(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
	r.Observe([]backend.Server{server("a", 2)}, 11, false, start)
	r.RecordAttempt(server("a", 1), fault.New(fault.CodeBackendLeaving, "x"), start, start)
	is.Equal(usable(r, start), []string{"a"})
	r.RecordAttempt(server("a", 2), fault.New(fault.CodeBackendLeaving, "x"), start, start)
	is.Equal(usable(r, start), []string{})
}

// Guards against two instances with the same servers but different digests, which would copy each other's list again and again.
func TestDigest(t *testing.T) {
	is := is.New(t)
	one, two := New("e", "a", idle{}, slog.New(slog.DiscardHandler)), New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	one.Observe([]backend.Server{server("a", 1), server("b", 1)}, 10, false, start)
	two.Observe([]backend.Server{server("b", 1), server("a", 1)}, 12, false, start)
	_, x := one.Version()
	_, y := two.Version()
	is.Equal(x, y)
	two.Observe([]backend.Server{server("b", 1), server("a", 2)}, 13, false, start)
	_, y = two.Version()
	is.True(x != y)
}

// Guards against a burst in which all busy servers are suspected, so that the load moves to fewer and fewer servers.
func TestBusyServerIsNotSilent(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
	r.RecordProgress("a", start.Add(100*time.Millisecond))
	r.RecordSilence("a", start, start.Add(150*time.Millisecond))
	is.Equal(usable(r, start.Add(150*time.Millisecond)), []string{"a"})
	r.RecordSilence("a", start.Add(150*time.Millisecond), start.Add(300*time.Millisecond))
	is.Equal(usable(r, start.Add(300*time.Millisecond)), []string{})
}

// Guards against a server that is suspected after an attempt that does not show a failure of it, or not suspected after one
// that does.
func TestRecordAttempt(t *testing.T) {
	for _, c := range []struct {
		code   fault.Code
		usable bool
	}{
		{fault.CodeBackendSilent, false},
		{fault.CodeBackendUnreachable, false},
		{fault.CodeBackendLeaving, false},
		{fault.CodeOverloaded, true},
		{fault.CodeOutcomeUnknown, true},
	} {
		t.Run(string(c.code), func(t *testing.T) {
			is := is.New(t)
			r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
			r.Observe([]backend.Server{server("a", 1)}, 10, false, start)
			r.RecordAttempt(server("a", 1), fault.New(c.code, "x"), start, start)
			is.Equal(len(usable(r, start)) == 1, c.usable)
			if c.code != fault.CodeBackendLeaving {
				r.RecordAttempt(server("a", 1), nil, start, start)
				is.Equal(usable(r, start), []string{"a"})
			}
		})
	}
}

// busy has all slots of every server in use.
type busy struct{}

func (busy) Hold(string, time.Duration)                     {}
func (busy) InFlight(string, time.Time) (online, batch int) { return 6, 1 }

// Guards against outcomes that say nothing about the server and eject it, and against those of a former incarnation or another one.
func TestOutcomesThatCount(t *testing.T) {
	for _, c := range []struct {
		name    string
		loads   loads
		err     error
		ejected bool
	}{
		{"own failure", idle{}, fault.New(fault.CodeBackendFailed, "x"), true},
		{"reset", idle{}, fault.Wrap(io.ErrUnexpectedEOF, fault.CodeOutcomeUnknown, "x"), true},
		{"refused with free slots", idle{}, fault.New(fault.CodeOverloaded, "x"), true},
		{"refused while full", busy{}, fault.New(fault.CodeOverloaded, "x"), false},
		{"invalid item", idle{}, fault.New(fault.CodeInvalid, "x"), false},
		{"preempted item", idle{}, fault.New(fault.CodePreempted, "x"), false},
		{"dropped for memory", idle{}, fault.New(fault.CodeNotRun, "x"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := New("e", "a", c.loads, slog.New(slog.DiscardHandler))
			list := []backend.Server{server("a", 1), server("b", 1), server("c", 1)}
			r.Observe(list, 1, false, start)
			for range 6 {
				r.RecordAttempt(server("b", 1), nil, start, start)
				r.RecordAttempt(server("c", 1), nil, start, start)
				r.RecordAttempt(server("a", 1), c.err, start, start)
			}
			usable(r, start)
			at := start.Add(200 * time.Millisecond)
			is.Equal(len(usable(r, at)) == 2, c.ejected)
			is.Equal(len(r.UsableForItems("s", at)) == 2, c.ejected)
			told := r.Outcomes(at)
			is.Equal(len(told) == 1, c.ejected)
			list[0].StartedAt = 2
			r.Observe(list, 2, false, at)
			is.Equal(len(usable(r, at)), 3) // a new incarnation
			for _, peer := range []string{"e1", "e2", "e3"} {
				r.ObserveOutcomes(told, peer, "a", at)
			}
			usable(r, at.Add(200*time.Millisecond))
			is.Equal(len(usable(r, at.Add(400*time.Millisecond))), 3) // told of the former one
		})
	}
}

// Guards against a service whose other servers all leave while the last one is ejected.
func TestEjectedServerIsBetterThanNone(t *testing.T) {
	is := is.New(t)
	r := New("e", "a", idle{}, slog.New(slog.DiscardHandler))
	r.Observe([]backend.Server{server("a", 1), server("b", 1)}, 1, false, start)
	for range 6 {
		r.RecordAttempt(server("a", 1), fault.New(fault.CodeBackendFailed, "x"), start, start)
		r.RecordAttempt(server("b", 1), nil, start, start)
	}
	usable(r, start)
	at := start.Add(200 * time.Millisecond)
	is.Equal(usable(r, at), []string{"b"})
	r.RecordDeparture(server("b", 1), "r1")
	is.Equal(usable(r, at), []string{"a"})
}
