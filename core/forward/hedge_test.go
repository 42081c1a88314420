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
	"tarragonwalk/core/route"
)

// fakeMany is a fake with any number of servers.
type fakeMany struct{ fake }

func (f *fakeMany) Free(service string, excluded map[string]bool, at time.Time) (backend.Server, func(), bool) {
	return f.Online(service, excluded, 1, at)
}

func (f *fakeMany) Online(_ string, excluded map[string]bool, _ float64, _ time.Time) (backend.Server, func(), bool) {
	i := 0
	for excluded[strconv.Itoa(i)] {
		i++
	}
	reservedAt := time.Now()

	return backend.Server{ID: strconv.Itoa(i)}, func() { f.release(time.Since(reservedAt)) }, true
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
			err := New(f, f, f, f, noQuarantine(), noBudget(), time.Now, slog.New(slog.DiscardHandler)).Run(ctx, &r, &call.Call{ID: "1"}, &recorder{})
			synctest.Wait()
			is.True(err != nil)
			is.Equal(len(f.servers), 2)
			is.Equal(f.released, 2)
		})
	}
}
