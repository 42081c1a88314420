package forward

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// fakeMany is a fake with a number of servers, any number if that is 0.
type fakeMany struct {
	fake

	size int
}

func (f *fakeMany) Free(service string, excluded map[string]bool, at time.Time) (backend.Server, func(), bool) {
	return f.Online(service, excluded, 1, at)
}

func (f *fakeMany) Online(_ string, excluded map[string]bool, _ float64, _ time.Time) (backend.Server, func(), bool) {
	i := 0
	for excluded[strconv.Itoa(i)] {
		i++
	}
	if f.size > 0 && i >= f.size {
		return backend.Server{}, nil, false
	}
	reservedAt := time.Now()

	return backend.Server{ID: strconv.Itoa(i)}, func() { f.release(reservedAt) }, true
}

func (f *fakeMany) FreeOn(_, id string, _ time.Time) (backend.Server, func(), bool) {
	reservedAt := time.Now()

	return backend.Server{ID: id}, func() { f.release(reservedAt) }, true
}

// Guards against a further hedge, with its slot and the batch item that it preempts, for a caller who has left.
func TestNoHedgeAfterCallerLeft(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := route.Route{Kind: route.KindStream, MaxAttempts: 5, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
			mute := reply{mute: true}
			f := &fakeMany{fake: fake{replies: []reply{mute, mute, mute}, free: true}}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			err := newForwarder(f).Run(ctx, &r, &call.Call{ID: "1"}, &recorder{})
			synctest.Wait()
			is.True(err != nil)
			is.Equal(len(f.servers), 2)
			is.Equal(f.released, 2)
		})
	}
}

// Guards against "not run" for a request that a second server has got, and against its end while that one works on it.
func TestLastRefusalWhileHedged(t *testing.T) {
	full := reply{err: refused}
	for _, c := range []struct {
		name  string
		last  reply
		code  fault.Code
		body  string
		sends int
	}{
		{"second server answers", reply{status: 200, body: "ok", wait: 60 * time.Millisecond}, "", "ok", 5},
		{"second server loses the connection", reply{err: lost, wait: 60 * time.Millisecond}, fault.CodeOutcomeUnknown, "", 6},
		{"second server refuses as well", reply{err: refused, wait: 60 * time.Millisecond}, fault.CodeOverloaded, "", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
				first := reply{err: refused, wait: 50 * time.Millisecond}
				f := &fakeMany{fake: fake{replies: []reply{first, full, full, full, c.last, {err: lost}}, free: true}}
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
				time.Sleep(time.Second)
				is.Equal(fault.CodeOf(err), c.code)
				is.Equal(out.body.String(), c.body)
				is.Equal(len(f.servers), c.sends)
				is.Equal(f.released, c.sends)
			})
		})
	}
}

// Guards against "not run" for a request that a second server has got, if a part of it is quarantined before the first one refuses.
func TestQuarantineWhileHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 2, TargetMillis: 40, TimeoutMillis: 4000}
		f := &fakeMany{fake: fake{replies: []reply{{err: refused, wait: 50 * time.Millisecond}, {mute: true}}, free: true}}
		parts := &laterQuarantined{promptParts: noQuarantine(), at: time.Now().Add(40 * time.Millisecond)}
		err := New(f, f, f, f, parts, noBudget(), nil, time.Now, slog.New(slog.DiscardHandler)).Run(t.Context(), &r, &call.Call{ID: "1"}, &recorder{})
		synctest.Wait()
		is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
		is.Equal(f.released, 2)
	})
}

// laterQuarantined quarantines all parts from a time on.
type laterQuarantined struct {
	promptParts

	at time.Time
}

func (q *laterQuarantined) Quarantined([]string) (part string, until time.Time, ok bool) {
	return "p", time.Now().Add(time.Minute), !time.Now().Before(q.at)
}
