package jobread

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/work"
)

// store holds one job with two results and counts the calls; while it is down, reads of the record fail.
type store struct {
	down  bool
	calls int
}

func (s *store) Job(context.Context, string) (*work.Job, int64, error) {
	s.calls++
	if s.down {
		return nil, 0, fault.New(fault.CodeStoreUnavailable, "down")
	}

	return &work.Job{ID: "j", Items: 2, Holder: "e2", Incarnation: "1"}, 1, nil
}

func (s *store) Items(context.Context, *work.Job) ([]work.Item, error) { return nil, nil }

func (s *store) Segment(_ context.Context, _ string, position int) ([]work.Result, error) {
	s.calls++
	if position > 0 {
		return nil, nil
	}

	return []work.Result{{Item: "a"}, {Item: "b"}}, nil
}

// fleet contains the live instances and whether each of them holds the job.
type fleet map[string]bool

func (f fleet) Holder(name, _ string) (netip.AddrPort, bool) {
	_, ok := f[name]

	return netip.MustParseAddrPort("10.0.0.1:1"), ok
}

// peerFunc answers reads of results, and returns the body "body" of each item.
type peerFunc func() (jobpage.Page, bool, error)

func (f peerFunc) ReadResults(context.Context, netip.AddrPort, string, string, int, time.Time) (jobpage.Page, bool, error) {
	return f()
}

func (peerFunc) ReadBody(context.Context, netip.AddrPort, string, string, string) ([]byte, bool, error) {
	return []byte("body"), true, nil
}

func (peerFunc) CheckJob(context.Context, netip.AddrPort, string, string) (bool, error) {
	return false, nil
}

// Guards against reading the bodies of all items of a job from the store for each body that a caller asks for.
func TestBodyFromHolder(t *testing.T) {
	is := is.New(t)
	s := &store{}
	r := New(s, fleet{"e1": true}, peerFunc(nil), slog.New(slog.DiscardHandler), time.Now)
	_, ok, err := r.Body(t.Context(), "j", "", "a")
	is.NoErr(err)
	is.True(!ok) // no holder was announced, and the store has no item
	calls := s.calls
	r.SetHolder("j", "e1", "1")
	body, ok, err := r.Body(t.Context(), "j", "", "a")
	is.NoErr(err)
	is.True(ok)
	is.Equal(string(body), "body")
	is.Equal(s.calls, calls)
}

// Guards against a call to the store at each instance that is asked for a job's results, against results that cannot be read
// while the store is down although their holder is alive, and against a holder that is still trusted after it was replaced.
func TestReadFromAnnouncedHolder(t *testing.T) {
	for _, c := range []struct {
		name      string
		announced bool
		fleet     fleet
		down      bool
		asked     int
		calls     int
		code      fault.Code
	}{
		{"announced", true, fleet{"e1": true}, false, 1, 0, ""},
		{"announced, store down", true, fleet{"e1": true}, true, 1, 0, ""},
		{"not announced", false, fleet{"e2": true}, false, 1, 1, ""},
		{"not announced, store down", false, fleet{"e2": true}, true, 0, 1, fault.CodeStoreUnavailable},
		{"announced holder replaced", true, fleet{"e1": false, "e2": true}, false, 2, 1, ""},
		{"announced holder lost", true, fleet{"e2": true}, false, 1, 1, ""},
		{"all holders lost", true, fleet{}, false, 0, 2, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &store{down: c.down}
			at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			asked := 0
			held := []bool{}
			for _, name := range []string{"e1", "e2"} {
				if h, ok := c.fleet[name]; ok {
					held = append(held, h)
				}
			}
			ask := peerFunc(func() (jobpage.Page, bool, error) {
				asked++
				if !held[min(asked, len(held))-1] {
					return jobpage.Page{}, false, nil
				}

				return jobpage.Page{Total: 2, Results: []work.Result{{Item: "a"}, {Item: "b"}}}, true, nil
			})
			r := New(s, c.fleet, ask, slog.New(slog.DiscardHandler), func() time.Time { return at })
			if c.announced {
				r.SetHolder("j", "e1", "1")
			}
			page, err := r.Read(t.Context(), "j", "", 0, at)
			is.Equal(fault.CodeOf(err), c.code)
			is.Equal(asked, c.asked)
			is.Equal(s.calls, c.calls)
			if c.code == "" {
				is.Equal(len(page.Results), 2)
			}
		})
	}
}

// Guards against announced holders that are remembered forever.
func TestAnnouncedHoldersExpire(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := New(&store{}, fleet{}, nil, slog.New(slog.DiscardHandler), func() time.Time { return at })
	r.SetHolder("old", "e1", "1")
	at = at.Add(hintTTL + sweepInterval)
	r.SetHolder("new", "e1", "1")
	is.Equal(len(r.hints), 1)
}

// Guards against a read whose source, the job's holder or the store, cannot be found in the log.
func TestSourceOfReadIsLogged(t *testing.T) {
	for _, c := range []struct {
		name   string
		fleet  fleet
		source string
		listed float64
	}{
		{"holder", fleet{"e2": true}, "holder", 1},
		{"store", fleet{}, "store", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			ask := peerFunc(func() (jobpage.Page, bool, error) { return jobpage.Page{Total: 2, Next: 1}, true, nil })
			r := New(&store{}, c.fleet, ask, slog.New(slog.NewJSONHandler(&out, nil)), time.Now)
			_, err := r.Read(t.Context(), "j", "", 1, time.Now())
			is.NoErr(err)
			line := map[string]any{}
			is.NoErr(json.Unmarshal(out.Bytes(), &line))
			is.Equal(line["msg"], "results read")
			is.Equal(line["source"], c.source)
			is.Equal(line["after"], 1.0)
			is.Equal(line["listed"], c.listed)
		})
	}
}

// Guards against an instance that gives up the holder of a job, the only source of its results while the store is down, because the holder
// cannot tell whether there are further ones.
func TestHolderThatCannotTell(t *testing.T) {
	is := is.New(t)
	s := &store{down: true}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	asked := 0
	ask := peerFunc(func() (jobpage.Page, bool, error) {
		asked++
		if asked == 1 {
			return jobpage.Page{}, true, fault.New(fault.CodeStoreUnavailable, "cannot tell")
		}

		return jobpage.Page{Total: 2, Results: []work.Result{{Item: "a"}}, Next: 1}, true, nil
	})
	r := New(s, fleet{"e1": true}, ask, slog.New(slog.DiscardHandler), func() time.Time { return at })
	r.SetHolder("j", "e1", "1")
	_, err := r.Read(t.Context(), "j", "", 1, at)
	is.Equal(fault.CodeOf(err), fault.CodeStoreUnavailable)
	page, err := r.Read(t.Context(), "j", "", 0, at)
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	is.Equal(s.calls, 0)
}

// Guards against an instance that has shown results from the store and then passes on the answer of a holder that does not know them yet.
func TestHolderBehindTheStore(t *testing.T) {
	is := is.New(t)
	s := &store{}
	f := fleet{}
	ask := peerFunc(func() (jobpage.Page, bool, error) { return jobpage.Page{Total: 2, Next: 1}, true, nil })
	r := New(s, f, ask, slog.New(slog.DiscardHandler), time.Now)
	page, err := r.Read(t.Context(), "j", "", 0, time.Now()) // the holder is not known to be alive
	is.NoErr(err)
	is.Equal(len(page.Results), 2)
	f["e2"] = true
	page, err = r.Read(t.Context(), "j", "", 1, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	is.Equal(page.Total, 2)
}
