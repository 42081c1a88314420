package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// Guards against requests that cannot be repeated, or are repeated already, and go to a server that is likely to fail.
func TestProbesCanBeRepeated(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  route.Route
		probes int
	}{
		{"idempotent", route.Route{Kind: route.KindIdempotent, MaxAttempts: 3}, 1},
		{"idempotent, one attempt", route.Route{Kind: route.KindIdempotent, MaxAttempts: 1}, 0},
		{"once", route.Route{Kind: route.KindOnce, MaxAttempts: 3}, 0},
		{"stream that ends", route.Route{Kind: route.KindStream, MaxAttempts: 3}, 0},
		{"stream that can be resumed", route.Route{Kind: route.KindStream, MaxAttempts: 3, Resumable: true}, 1},
		{"batch", route.Route{Kind: route.KindBatch, MaxAttempts: 3}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{replies: []reply{{err: refused}, {status: 500}, {status: 200, body: whole}}, free: true}
			_ = newForwarder(f).Run(t.Context(), &c.route, &call.Call{ID: "1"}, &recorder{})
			is.New(t).Equal(f.probes, c.probes)
		})
	}
}

// Guards against a failure that counts as a success of the server because it is passed on to the caller, and against one of a request with a
// quarantined part that counts at all.
func TestFailureOfServer(t *testing.T) {
	is := is.New(t)
	once := route.Route{Kind: route.KindOnce, MaxAttempts: 1}
	f := &fake{replies: []reply{{status: 500}}, free: true}
	is.NoErr(newForwarder(f).Run(t.Context(), &once, &call.Call{ID: "1"}, &recorder{}))
	is.Equal(f.failed, []string{"a"})
	f = &fake{replies: []reply{{err: lost, wait: 20 * time.Millisecond}}, free: true}
	forwarder := newForwarder(f)
	forwarder.parts = &laterQuarantined{promptParts: noQuarantine(), at: time.Now().Add(10 * time.Millisecond)}
	f.replies[0].err = fault.New(fault.CodeBackendFailed, "x")
	is.True(forwarder.Run(t.Context(), &once, &call.Call{ID: "1"}, &recorder{}) != nil)
	is.Equal(len(f.failed), 0)
}
