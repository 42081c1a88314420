package forward

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// staleAfter is a configuration that stops to be fresh after a number of answers.
type staleAfter struct{ left atomic.Int64 }

func (s *staleAfter) Fresh() error {
	if s.left.Add(-1) >= 0 {
		return nil
	}
	err := fault.New(fault.CodeNotRun, "not current")
	err.RetryAt = time.Now().Add(time.Second)

	return err
}

// Guards against an attempt or a hedge that is sent for a key that may have been revoked, against an error that hides that nothing has run
// or when to try again, and against a server that is blamed for it.
func TestNothingIsSentWhenNotFresh(t *testing.T) {
	mute := reply{mute: true}
	for _, c := range []struct {
		name      string
		workspace string
		fresh     int64
		replies   []reply
		code      fault.Code
		sends     int
		failed    int
	}{
		{"not fresh at first", "w", 0, nil, fault.CodeNotRun, 0, 0},
		{"no hedge", "w", 1, []reply{mute}, fault.CodeDeadlinePassed, 1, 0},
		{"not fresh when the hedge is sent", "w", 2, []reply{mute}, fault.CodeDeadlinePassed, 1, 1},
		{"no further attempt after a refusal", "w", 1, []reply{{err: refused}}, fault.CodeNotRun, 1, 1},
		{"no further attempt after one that may have run", "w", 1, []reply{{err: lost}}, fault.CodeOutcomeUnknown, 1, 1},
		{"no workspace", "", 0, []reply{mute, {status: 200, body: "ok"}}, "", 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := route.Route{Kind: route.KindIdempotent, MaxAttempts: 3, TargetMillis: 40, TimeoutMillis: 400}
				f := &fakeMany{fake: fake{replies: c.replies, free: true}}
				configuration := &staleAfter{}
				configuration.left.Store(c.fresh)
				err := New(f, f, f, f, noQuarantine(), noBudget(), configuration, time.Now, slog.New(slog.DiscardHandler)).
					Run(t.Context(), &r, &call.Call{ID: "1", Workspace: c.workspace}, &recorder{})
				synctest.Wait()
				is.Equal(fault.CodeOf(err), c.code)
				if c.code == fault.CodeNotRun {
					var e *fault.Error
					is.True(fault.NotRun(err))
					is.True(errors.As(err, &e) && e.RetryAt.After(time.Now()))
				}
				is.Equal(len(f.servers), c.sends)
				is.Equal(len(f.failed), c.failed)
			})
		})
	}
}
