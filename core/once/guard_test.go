package once

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/internal/fakestore"
)

// Guards against a second run of a non-idempotent request, and against not_run for a request that ran.
func TestDo(t *testing.T) {
	cases := []struct {
		name          string
		lose          bool
		down          bool
		downAfter     bool
		callErr       error
		body          string
		resend        string
		first, second fault.Code
		runs          int
	}{
		{name: "stored", body: "ok", resend: "d", runs: 1},
		{name: "lost answers", lose: true, body: "ok", resend: "d", runs: 1},
		{name: "other digest", body: "ok", resend: "e", second: fault.CodeConflict, runs: 1},
		{name: "lost response", callErr: fault.New(fault.CodeBackendSilent, "x"), resend: "d", first: fault.CodeOutcomeUnknown, second: fault.CodeOutcomeUnknown, runs: 1},
		{name: "unreachable", callErr: fault.New(fault.CodeBackendUnreachable, "x"), resend: "d", first: fault.CodeNotRun, second: fault.CodeNotRun, runs: 2},
		{name: "down before", down: true, resend: "d", first: fault.CodeNotRun, second: fault.CodeNotRun, runs: 0},
		{name: "down after", downAfter: true, body: "ok", resend: "d", second: fault.CodeOutcomeUnknown, runs: 1},
		{name: "large", body: strings.Repeat("x", 1<<20), resend: "d", runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := fakestore.New()
				if c.lose {
					s.SetLose(func(string, string) bool { return true })
				}
				s.SetDown(c.down)
				g := New(s, time.Now)
				runs := 0
				call := func(context.Context) (int, string, []byte, error) {
					runs++
					s.SetDown(c.downAfter)

					return 201, "text/plain", []byte(c.body), c.callErr
				}
				status, kind, body, err := g.Do(t.Context(), "w", "k", "d", call)
				is.Equal(fault.CodeOf(err), c.first)
				if err == nil {
					is.Equal(status, 201)
					is.Equal(kind, "text/plain")
					is.Equal(string(body), c.body)
				}
				s.SetDown(c.down)
				status, kind, body, err = g.Do(t.Context(), "w", "k", c.resend, call)
				is.Equal(fault.CodeOf(err), c.second)
				if err == nil {
					is.Equal(status, 201)
					is.Equal(kind, "text/plain")
					is.True(string(body) == c.body || len(c.body) >= 1<<20)
				}
				is.Equal(runs, c.runs)
			})
		})
	}
}
