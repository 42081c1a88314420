package forward

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// Guards against a request that fails because its sound server was silent for a while and another server, which was to replace it, did not.
func TestSilentServerIsKept(t *testing.T) {
	const silence = 60 * time.Millisecond
	const unnumbered = "data: x\n\ndata: y\n\ndata: z\n\n"
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
	idempotent := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
	begun := reply{status: 200, body: whole, slow: silence, first: time.Millisecond}
	late := reply{status: 200, body: whole, slow: silence}
	answer := reply{status: 200, body: "ok", slow: silence}
	for _, c := range []struct {
		name  string
		route route.Route
		first reply
		// other is what all other servers reply.
		other reply
		body  string
		sends int
	}{
		{"begun, others refuse", stream, begun, reply{err: refused}, whole, 3},
		{"begun, others reset", stream, begun, reply{err: lost}, whole, 2},
		{"begun, others fail", stream, begun, reply{status: 500, body: "no"}, whole, 2},
		{"begun, others send no stream", stream, begun, reply{status: 200, body: "no"}, whole, 2},
		{"begun, others are silent as well", stream, begun, reply{mute: true}, whole, 2},
		{"begun without ids", stream, reply{status: 200, body: unnumbered, stream: true, slow: silence, first: time.Millisecond}, reply{status: 200, body: whole}, unnumbered, 1},
		{"not begun, others refuse", stream, late, reply{err: refused}, whole, 3},
		{"not begun, others reset", stream, late, reply{err: lost}, whole, 2},
		{"not begun, others fail", stream, late, reply{status: 500, body: "no"}, whole, 2},
		{"whole response, others reset", idempotent, answer, reply{err: lost}, "ok", 2},
		{"whole response, others refuse", idempotent, answer, reply{err: refused}, "ok", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{replies: []reply{c.first, c.other, c.other, c.other}, free: true}
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &c.route, &call.Call{ID: "1"}, out)
				synctest.Wait()
				is.NoErr(err)
				is.Equal(out.body.String(), c.body)
				is.Equal(out.stamp, "a")
				is.Equal(len(f.servers), c.sends)
				is.Equal(f.released, c.sends)
			})
		})
	}
}

// Guards against a stream that is taken from its server because its caller reads slowly.
func TestSlowCallerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		f := &fake{replies: []reply{{status: 200, body: whole, slow: 5 * time.Millisecond}, {err: lost}}, free: true}
		out := &recorder{pause: 100 * time.Millisecond}
		is.NoErr(newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out))
		is.Equal(out.body.String(), whole)
		is.Equal(strings.Join(f.servers, " "), "a")
	})
}

// Guards against a request that waits to its end for a server that is gone, because the second server takes long to answer.
func TestSecondServerReplacesSilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		second := reply{status: 200, body: whole, wait: time.Second}
		f := &fake{replies: []reply{{mute: true}, second, second}, free: true}
		out := &recorder{}
		is.NoErr(newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out))
		is.Equal(out.body.String(), whole)
		is.Equal(out.stamp, "b")
	})
}

func longestOverlap(spans []span) (longest time.Duration) {
	for n, s := range spans {
		for _, other := range spans[n+1:] {
			longest = max(longest, time.Duration(min(s.to.UnixNano(), other.to.UnixNano())-max(s.from.UnixNano(), other.from.UnixNano())))
		}
	}

	return longest
}

// Guards against two servers that work on one request for longer than the time that a change of server may take.
func TestOverlapIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		for _, first := range []reply{{mute: true}, {status: 200, body: whole[:15], hung: true}} {
			f := &fake{replies: []reply{first, {mute: true}, {mute: true}}, free: true}
			err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, &recorder{})
			synctest.Wait()
			is.Equal(fault.CodeOf(err), fault.CodeDeadlinePassed)
			is.True(len(f.spans) >= 2)
			is.True(longestOverlap(f.spans) < 400*time.Millisecond)
		}
	})
}

// Guards against a request that gets no third server because the second one, which cannot be reached, counts as one that has run it.
func TestUnreachableSecondServerHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		gone := reply{err: fault.New(fault.CodeBackendUnreachable, "no connection"), wait: 250 * time.Millisecond}
		f := &fake{replies: []reply{{status: 200, body: whole[:15], hung: true}, gone, {status: 200, body: whole[15:]}}, free: true}
		out := &recorder{}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		synctest.Wait()
		is.NoErr(err)
		is.Equal(out.body.String(), whole)
		is.Equal(f.servers, []string{"a", "b", "c"})
	})
}
