package forward

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// Guards against a request that is taken from its sound server for the head of a second one, whose response then breaks off or never ends.
func TestHeadOfWholeResponseIsNoReplacement(t *testing.T) {
	const pause = 60 * time.Millisecond
	idempotent := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
	sound := reply{status: 200, body: "ok", slow: pause}
	long := strings.Repeat("piece\n\n", 10)
	for _, c := range []struct {
		name          string
		route         route.Route
		first, second reply
		body, stamp   string
	}{
		{"second breaks off", idempotent, sound, reply{status: 200, body: "o", broken: true}, "ok", "a"},
		{"second breaks off later", idempotent, sound, reply{status: 200, body: "o", slow: pause / 2, broken: true}, "ok", "a"},
		{"second never ends", idempotent, sound, reply{status: 200, body: "o", hung: true}, "ok", "a"},
		{"second is too long", idempotent, sound, reply{status: 200, body: strings.Repeat("x", maxBodyBytes+1)}, "ok", "a"},
		{"second fails", idempotent, sound, reply{status: 500, body: "no"}, "ok", "a"},
		{"second is slower", idempotent, sound, reply{status: 200, body: "no", slow: 2 * pause}, "ok", "a"},
		{"second is faster", idempotent, reply{status: 200, body: "no", slow: 3 * pause}, reply{status: 200, body: "ok", slow: pause}, "ok", "b"},
		{"first breaks off after the second's head", idempotent, reply{status: 200, body: "o", slow: pause, broken: true}, reply{status: 200, body: "ok", slow: pause}, "ok", "b"},
		{"first fails after the second's head", idempotent, reply{status: 500, body: "no", slow: pause}, reply{status: 200, body: "ok", slow: pause}, "ok", "b"},
		{"body arrives after the overlap", idempotent, reply{mute: true}, reply{status: 200, body: long, slow: pause}, long, "b"},
		{"not begun, second is no stream and breaks off", stream, reply{status: 200, body: whole, slow: pause}, reply{status: 200, body: "o", broken: true}, whole, "a"},
		{"not begun, second is no stream and never ends", stream, reply{status: 200, body: whole, slow: pause}, reply{status: 200, body: "o", hung: true}, whole, "a"},
		{"not begun, second is no stream", stream, reply{mute: true}, reply{status: 404, body: "no"}, "no", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{replies: []reply{c.first, c.second, c.second}, free: true}
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &c.route, &call.Call{ID: "1"}, out)
				synctest.Wait()
				is.NoErr(err)
				is.Equal(out.body.String(), c.body)
				is.Equal(out.stamp, c.stamp)
				is.Equal(len(f.servers), 2)
				is.Equal(f.released, 2)
			})
		})
	}
}

// Guards against a request that is taken from its slow but sound server for one without an answer, which then fails.
func TestSlowWholeResponseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
		first := reply{status: 200, body: "ok", slow: 2 * time.Second}
		f := &fake{replies: []reply{first, {mute: true}, {err: lost, wait: 400 * time.Millisecond}}, free: true}
		out := &recorder{}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		synctest.Wait()
		is.NoErr(err)
		is.Equal(out.body.String(), "ok")
		is.Equal(f.servers, []string{"a", "b", "b"})
		is.Equal(f.released, 3)
	})
}

// Guards against a request that stays at two servers that are gone, one of them within its response, while a third one is free.
func TestThirdServerReplacesSilentResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 3, TargetMillis: 40, TimeoutMillis: 4000}
		f := &fake{replies: []reply{{mute: true}, {status: 200, body: "o", hung: true}, {status: 200, body: "ok"}}, free: true}
		out := &recorder{}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		synctest.Wait()
		is.NoErr(err)
		is.Equal(out.body.String(), "ok")
		is.Equal(f.servers, []string{"a", "b", "c"})
		is.Equal(f.released, 3)
	})
}

// Guards against an error for a request whose answer is there already, because a part of its prompt was quarantined in the meantime.
func TestQuarantineKeepsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
		f := &fake{replies: []reply{{mute: true}, {status: 200, body: "ok", slow: 60 * time.Millisecond}}, free: true}
		parts := &laterQuarantined{promptParts: noQuarantine(), at: time.Now().Add(40 * time.Millisecond)}
		out := &recorder{}
		err := New(f, f, f, f, parts, noBudget(), nil, time.Now, slog.New(slog.DiscardHandler)).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		synctest.Wait()
		is.NoErr(err)
		is.Equal(out.body.String(), "ok")
	})
}

// Guards against two responses in memory of which only one is counted, and against one that is dropped with the other one.
func TestBothResponsesCountInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
		piece := strings.Repeat("x", 2046) + "\n\n"
		first := strings.Repeat(piece, 12)
		f := &fake{replies: []reply{
			{status: 200, body: first, slow: 20 * time.Millisecond},
			{status: 200, body: strings.Repeat(piece, 60), slow: 3 * time.Millisecond},
		}, free: true}
		out := &recorder{}
		// There is room for either response.
		budget := bytebudget.New(3 * 64 << 10)
		err := New(f, f, f, f, noQuarantine(), budget, nil, time.Now, slog.New(slog.DiscardHandler)).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		synctest.Wait()
		is.NoErr(err)
		is.Equal(out.stamp, "a")
		is.True(out.body.String() == first)
	})
}

// Guards against "not run", or work that goes on, when the time of a request ends or its caller leaves while two servers answer it.
func TestEndOfTwoWholeResponses(t *testing.T) {
	half := reply{status: 200, body: "o", hung: true}
	for _, c := range []struct {
		name    string
		leaving time.Duration
		code    fault.Code
	}{
		{"deadline", time.Hour, fault.CodeDeadlinePassed},
		{"caller leaves", 200 * time.Millisecond, fault.CodeOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 900}
				f := &fake{replies: []reply{half, half}, free: true}
				ctx, cancel := context.WithTimeout(t.Context(), c.leaving)
				defer cancel()
				err := newForwarder(f).Run(ctx, &r, &call.Call{ID: "1"}, &recorder{})
				synctest.Wait()
				is.Equal(fault.CodeOf(err), c.code)
				is.Equal(len(f.servers), 2)
				is.Equal(f.released, 2)
			})
		})
	}
}

// Guards against a second server for a request that may run once only, or on one server.
func TestRequestIsNotHedged(t *testing.T) {
	for _, r := range []route.Route{
		{Kind: route.KindOnce, MaxAttempts: 3, TargetMillis: 40},
		{Kind: route.KindStream, MaxAttempts: 3, TargetMillis: 40, GapMillis: 40},
		{Kind: route.KindIdempotent, MaxAttempts: 1, TargetMillis: 40},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := &fake{replies: []reply{{status: 200, body: "ok", slow: time.Second}}, free: true}
			out := &recorder{}
			is.NoErr(newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out))
			is.Equal(out.body.String(), "ok")
			is.Equal(len(f.servers), 1)
		})
	}
}
