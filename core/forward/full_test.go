package forward

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// fakeFull is a fake whose servers are all full, by their counts, for a time.
type fakeFull struct {
	fakeMany

	from, until time.Time
}

func (f *fakeFull) Free(service string, excluded map[string]bool, at time.Time) (backend.Server, func(), bool) {
	return f.Online(service, excluded, 1, at)
}

func (f *fakeFull) Online(service string, excluded map[string]bool, limit float64, at time.Time) (backend.Server, func(), bool) {
	if at.After(f.from) && at.Before(f.until) {
		return backend.Server{}, nil, false
	}

	return f.fakeMany.Online(service, excluded, limit, at)
}

var resumable = route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}

func refusals(n int) []reply {
	var list []reply
	for range n {
		list = append(list, reply{err: refused})
	}

	return list
}

// Guards against a stream that is cut before its deadline because other servers are full for a moment, and against a refusal in its text.
func TestBegunStreamOutlastsFullServers(t *testing.T) {
	begun, gone := reply{status: 200, body: whole[:20], broken: true}, reply{status: 200, body: whole[:20], hung: true}
	rest := reply{status: 200, body: whole[15:]}
	for _, c := range []struct {
		name     string
		replies  []reply
		servers  int
		from, to time.Duration
	}{
		{"many refuse", append(append([]reply{begun}, refusals(8)...), rest), 0, 0, 0},
		{"two of a small fleet refuse", append(append([]reply{begun}, refusals(2)...), rest), 3, 0, 0},
		{"no server has a free slot", []reply{{status: 200, body: whole[:20], broken: true, wait: 15 * time.Millisecond}, rest}, 0, 10 * time.Millisecond, time.Second},
		{"hedges of a silent stream are refused", append(append([]reply{gone}, refusals(8)...), rest), 0, 0, 0},
		{"hedges are refused in a small fleet", append(append([]reply{gone}, refusals(2)...), rest), 3, 0, 0},
		{"unreachable", []reply{begun, {err: fault.New(fault.CodeBackendUnreachable, "no connection")}, rest}, 2, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeFull{fakeMany: fakeMany{fake: fake{replies: c.replies, free: true}, size: c.servers}}
				f.from, f.until = time.Now().Add(c.from), time.Now().Add(c.to)
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &resumable, &call.Call{ID: "1"}, out)
				synctest.Wait()
				is.NoErr(err)
				is.Equal(out.body.String(), whole)
				is.Equal(out.stamp, "0")
				is.Equal(len(f.servers), len(c.replies))
				is.Equal(f.released, len(c.replies))
			})
		})
	}
}

// Guards against a request that stays at a server that is gone, because the servers that it was to be sent to were full for a moment.
func TestHedgeOutlastsFullServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
		f := &fakeMany{fake: fake{replies: append(append([]reply{{mute: true}}, refusals(8)...), reply{status: 200, body: "ok"}), free: true}}
		out := &recorder{}
		is.NoErr(newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out))
		synctest.Wait()
		is.Equal(out.body.String(), "ok")
		is.Equal(len(f.servers), 10)
		is.Equal(f.released, 10)
	})
}

// Guards against a stream that waits for a free slot after its deadline or its caller, or asks full servers all the time.
func TestWaitForSlotEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaving time.Duration
		code    fault.Code
		most    int
	}{
		{"deadline", time.Hour, fault.CodeDeadlinePassed, 30},
		{"caller leaves", time.Second, fault.CodeOutcomeUnknown, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				begun := reply{status: 200, body: whole[:20], broken: true}
				f := &fakeMany{fake: fake{replies: append([]reply{begun}, refusals(200)...), free: true}}
				ctx, cancel := context.WithTimeout(t.Context(), c.leaving)
				defer cancel()
				startedAt := time.Now()
				out := &recorder{}
				err := newForwarder(f).Run(ctx, &resumable, &call.Call{ID: "1"}, out)
				is.Equal(fault.CodeOf(err), c.code)
				is.Equal(out.body.String(), whole[:15])
				is.Equal(out.stamp, "0")
				is.Equal(time.Since(startedAt), min(c.leaving, 4*time.Second))
				is.True(len(f.servers) <= c.most)
				is.Equal(f.released, len(f.servers))
			})
		})
	}
}

// Guards against a wait for a stream that may get no further server, and for a request that has not begun, whose caller can send it again.
func TestNoWaitWithoutHope(t *testing.T) {
	broken := reply{status: 200, body: whole[:20], broken: true}
	for _, c := range []struct {
		name    string
		replies []reply
		code    fault.Code
	}{
		{"attempts are used up", []reply{broken, {err: lost}}, fault.CodeOutcomeUnknown},
		{"not begun", refusals(maxRefusals), fault.CodeOverloaded},
		{"not begun, may have run", append([]reply{{err: lost}}, refusals(maxRefusals)...), fault.CodeOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeMany{fake: fake{replies: c.replies, free: true}}
				startedAt := time.Now()
				err := newForwarder(f).Run(t.Context(), &resumable, &call.Call{ID: "1"}, &recorder{})
				is.Equal(fault.CodeOf(err), c.code)
				is.Equal(time.Since(startedAt), time.Duration(0))
				is.Equal(len(f.servers), len(c.replies))
			})
		})
	}
}

// Guards against a request that fails because the server that replaced a silent one breaks off, though the silent one is sound.
func TestReplacedServerIsAskedAgain(t *testing.T) {
	silent, second := reply{status: 200, body: whole[:15], hung: true}, reply{status: 200, body: whole[15:30], broken: true}
	rest := reply{status: 200, body: whole[30:]}
	for _, c := range []struct {
		name    string
		replies []reply
		servers string
	}{
		{"at once", []reply{silent, second, rest}, "0 1 0"},
		{"refuses at first", []reply{silent, second, {err: refused}, {err: refused}, rest}, "0 1 0 0 0"},
		{"not begun", []reply{{mute: true}, {mute: true}, {err: lost, wait: 400 * time.Millisecond}, {status: 200, body: whole}}, "0 1 1 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeMany{fake: fake{replies: c.replies, free: true}}
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &resumable, &call.Call{ID: "1"}, out)
				synctest.Wait()
				is.NoErr(err)
				is.Equal(out.body.String(), whole)
				is.Equal(strings.Join(f.servers, " "), c.servers)
				is.Equal(f.released, len(f.servers))
			})
		})
	}
}

// Guards against a stream that is held for a replaced server that is gone, until its caller has given up.
func TestReplacedServerThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := reply{status: 200, body: whole[:15], hung: true}
		second := reply{status: 200, body: whole[15:30], broken: true}
		f := &fakeMany{fake: fake{replies: append([]reply{first, second}, refusals(100)...), free: true}}
		startedAt := time.Now()
		err := newForwarder(f).Run(t.Context(), &resumable, &call.Call{ID: "1"}, &recorder{})
		is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
		is.True(time.Since(startedAt) < 2*time.Second)
	})
}
