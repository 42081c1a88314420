package roster

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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
	r := New(slog.New(slog.DiscardHandler))
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
	r := New(slog.New(slog.DiscardHandler))
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
	r := New(slog.New(slog.DiscardHandler))
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
	r := New(slog.New(slog.DiscardHandler))
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
	r := New(slog.New(slog.DiscardHandler))
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
	one, two := New(slog.New(slog.DiscardHandler)), New(slog.New(slog.DiscardHandler))
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
	r := New(slog.New(slog.DiscardHandler))
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
			r := New(slog.New(slog.DiscardHandler))
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
