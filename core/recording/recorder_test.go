package recording

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

// scriptedDispatcher emits one token after each step on its own clock, then ends with err. It also holds a configuration.
type scriptedDispatcher struct {
	clock  time.Time
	steps  []time.Duration
	finish string
	after  time.Duration
	err    error
}

func (s *scriptedDispatcher) now() time.Time { return s.clock }

func (s *scriptedDispatcher) Run(_ context.Context, _ *inference.Request, on func(inference.Event) error) error {
	for n, d := range s.steps {
		s.clock = s.clock.Add(d)
		e := inference.Event{Offset: n + 1, Text: "t"}
		if n == len(s.steps)-1 {
			e.Finish = s.finish
		}
		if err := on(e); err != nil {
			return err
		}
	}
	s.clock = s.clock.Add(s.after)

	return s.err
}

func (s *scriptedDispatcher) Call(ctx context.Context, _ *inference.Request, _ bool, call func(context.Context, netip.AddrPort) error) error {
	return call(ctx, netip.AddrPort{})
}

func (s *scriptedDispatcher) Current() *configuration.Configuration {
	return &configuration.Configuration{
		Version:     1,
		Deployments: configuration.ConfigurationDeployments{"d": {BatchRatio: 0.99}},
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{"m": {
			Kind: configuration.RouteKindModel, Deployment: "d", FirstTokenMillis: 750, TokenMillis: 36, SuccessRatio: 0.99, LatencyRatio: 0.95,
		}},
	}
}

func counts(r *Recorder) map[burn.Objective][2]int {
	m := map[burn.Objective][2]int{}
	for _, s := range r.Snapshot().Series {
		if w := s.Windows[0]; w.Good+w.Bad > 0 {
			m[s.Objective] = [2]int{w.Good, w.Bad}
		}
	}

	return m
}

// tokenSteps returns the waiting times before each token: first before the first one, then gaps of which slow are longer
// than the limit.
func tokenSteps(first time.Duration, gaps, slow int) []time.Duration {
	s := []time.Duration{first}
	for n := range gaps {
		d := 36 * time.Millisecond
		if n < slow {
			d++
		}
		s = append(s, d)
	}

	return s
}

// Guards against an error of the caller that spends the budget, an overload or a lost stream that does not, and a latency
// at or just above its limit that is counted wrongly.
func TestRun(t *testing.T) {
	const ms = time.Millisecond
	type want = map[burn.Objective][2]int
	good, bad := [2]int{1, 0}, [2]int{0, 1}
	const s, f, b = burn.ObjectiveSuccess, burn.ObjectiveFirstToken, burn.ObjectiveBetweenTokens
	coded := func(c fault.Code) error { return fault.New(c, "x") }
	for _, c := range []struct {
		name  string
		steps []time.Duration
		lost  bool
		after time.Duration
		err   error
		want  want
	}{
		{name: "at the limits", steps: tokenSteps(750*ms, 100, 5), want: want{s: good, f: good, b: good}},
		{name: "slow first token", steps: tokenSteps(751*ms, 0, 0), want: want{s: good, f: bad}},
		{name: "slow tokens", steps: tokenSteps(ms, 100, 6), want: want{s: good, f: good, b: bad}},
		{name: "no finish", steps: tokenSteps(ms, 1, 0), lost: true, want: want{s: bad, f: good, b: good}},
		{name: "overloaded at once", err: coded(fault.CodeOverloaded), want: want{s: bad}},
		{name: "overloaded after the queue", err: coded(fault.CodeOverloaded), after: 2 * time.Second, want: want{s: bad, f: bad}},
		{name: "backend failed", err: coded(fault.CodeBackendFailed), want: want{s: bad}},
		{name: "deadline", err: coded(fault.CodeDeadlinePassed), after: 30 * time.Second, want: want{s: bad, f: bad}},
		{name: "deadline in the caller's queue", err: fault.Wrap(context.DeadlineExceeded, fault.CodeCancelled, "x"), want: want{s: bad}},
		{name: "caller left early", err: coded(fault.CodeCancelled), after: ms, want: want{}},
		{name: "caller left late", err: coded(fault.CodeCancelled), after: time.Second, want: want{f: bad}},
		{name: "invalid", err: coded(fault.CodeInvalid), after: time.Second, want: want{}},
		{name: "unauthorized", err: coded(fault.CodeUnauthorized), want: want{}},
		{name: "forbidden", err: coded(fault.CodeForbidden), want: want{}},
		{name: "not found", err: coded(fault.CodeNotFound), want: want{}},
		{name: "too large", err: coded(fault.CodeTooLarge), want: want{}},
		{name: "conflict", err: coded(fault.CodeConflict), want: want{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &scriptedDispatcher{clock: time.Unix(1e9, 0), steps: c.steps, after: c.after, err: c.err}
			if !c.lost {
				d.finish = "stop"
			}
			r := New(d, d, "i", d.now)
			err := r.Run(t.Context(), &inference.Request{Route: "m", Class: inference.ClassOnline}, nil)
			is.Equal(err, c.err) // the outcome is passed on unchanged
			is.Equal(counts(r), c.want)
		})
	}
}

// Guards against a slow caller that counts as a slow backend server, an error of the sink that is not returned, and batch
// items or requests for unknown routes that are counted for a route.
func TestRunPassesThrough(t *testing.T) {
	is := is.New(t)
	d := &scriptedDispatcher{clock: time.Unix(1e9, 0), steps: tokenSteps(time.Millisecond, 10, 0), finish: "stop"}
	r := New(d, d, "i", d.now)
	events := 0
	slowCaller := func(inference.Event) error { events++; d.clock = d.clock.Add(time.Second); return nil }
	is.NoErr(r.Run(t.Context(), &inference.Request{Route: "m", Class: inference.ClassOnline}, slowCaller))
	is.Equal(events, 11)
	is.Equal(counts(r)[burn.ObjectiveBetweenTokens], [2]int{1, 0})
	cancelled := fault.New(fault.CodeCancelled, "gone")
	is.Equal(r.Run(t.Context(), &inference.Request{Route: "m", Class: inference.ClassOnline}, func(inference.Event) error { return cancelled }), cancelled)
	is.Equal(counts(r)[burn.ObjectiveSuccess], [2]int{1, 0})
	is.NoErr(r.Run(t.Context(), &inference.Request{Route: "m", Class: inference.ClassBatch}, discard))
	is.NoErr(r.Run(t.Context(), &inference.Request{Route: "x", Class: inference.ClassOnline}, discard))
	is.Equal(counts(r)[burn.ObjectiveSuccess], [2]int{1, 0})
	failed := fault.New(fault.CodeOutcomeUnknown, "x")
	is.Equal(r.Call(t.Context(), &inference.Request{Route: "m"}, false, func(context.Context, netip.AddrPort) error { return failed }), failed)
	is.NoErr(r.Call(t.Context(), &inference.Request{Route: "m"}, false, func(context.Context, netip.AddrPort) error { return nil }))
	is.Equal(counts(r)[burn.ObjectiveSuccess], [2]int{2, 1})
}

func discard(inference.Event) error { return nil }

// Guards against late items that count as good, and against counts for deployments that are not configured.
func TestPublished(t *testing.T) {
	is := is.New(t)
	d := &scriptedDispatcher{clock: time.Unix(1e9, 0)}
	r := New(d, d, "i", d.now)
	r.CountPublished("d", 40, d.clock.Add(1), d.clock)
	r.CountPublished("d", 3, d.clock, d.clock)
	r.CountPublished("x", 3, d.clock, d.clock)
	is.Equal(counts(r)[burn.ObjectiveBatch], [2]int{40, 3})
}

// Guards against an allocation per token.
func TestEventAllocations(t *testing.T) {
	m := &meter{sink: discard, now: time.Now, limit: time.Second, began: time.Now()}
	e := inference.Event{Text: "t"}
	n := testing.AllocsPerRun(1000, func() {
		e.Offset++
		if err := m.record(e); err != nil {
			t.Fatal(err)
		}
	})
	if n != 0 {
		t.Fatalf("%v allocations a token", n)
	}
}

func BenchmarkEvent(b *testing.B) {
	m := &meter{sink: discard, now: time.Now, limit: time.Second, began: time.Now()}
	e := inference.Event{Text: "t"}
	b.ReportAllocs()
	for b.Loop() {
		e.Offset++
		_ = m.record(e)
	}
}
