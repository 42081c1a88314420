package jobrun

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
	"tarragonwalk/internal/fakeobjects"
)

const (
	// maxUntried is the longest time for which a waiting item may go without a run while servers have room.
	maxUntried = 20 * time.Second
	// settled is the time after the fifth crash under a part from which only maxLateRuns requests with it may reach servers.
	settled     = 4 * time.Second
	maxLateRuns = 3
)

func oneSharedPart(map[string]string) []string { return []string{"shared"} }

// newQuarantine returns a quarantine that decides in the background until stop is called.
func newQuarantine() (q *quarantine.Quarantine, stop func()) {
	q = quarantine.New(fakeobjects.New(), time.Now, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			q.Review()
		}
	}()

	return q, func() {
		cancel()
		<-done
	}
}

// quarantineShared lets three servers crash under the shared part.
func quarantineShared(is *is.I, q *quarantine.Quarantine) {
	for n := range 3 {
		q.RecordLoss(backend.Server{ID: fmt.Sprint(n)}, fmt.Sprint(n), []string{"shared"}, time.Now())
		time.Sleep(time.Second)
	}
	_, _, held := q.Quarantined(oneSharedPart(nil))
	is.True(held)
}

// Guards against items that nobody runs for minutes because a sound part of their prompts was quarantined in a wave of crashes:
// nothing but a request with that part can show that it is sound.
func TestItemOfSoundPartInQuarantineCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		q, end := newQuarantine()
		defer end()
		quarantineShared(is, q)
		l := logs.New(f.objects)
		r, stop := f.startWith("e1", l, f, q, oneSharedPart)
		defer stop()
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 1)))
		for end := time.Now().Add(maxUntried); !check(t, l, "j", 1); time.Sleep(100 * time.Millisecond) {
			is.True(time.Now().Before(end))
		}
	})
}

// refusingServer refuses the first items.
type refusingServer struct {
	*fleet
	refusals atomic.Int64
}

func (s *refusingServer) Send(ctx context.Context, b backend.Server, q *call.Call, after int64) (*response.Response, error) {
	if s.refusals.Add(-1) >= 0 {
		return nil, fault.New(fault.CodeBackendUnreachable, "connection refused")
	}

	return s.fleet.Send(ctx, b, q, after)
}

// Guards against an item that waits for the next trial but one because the server of its trial was gone.
func TestRefusedTrialIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		s := &refusingServer{fleet: f}
		s.refusals.Store(2)
		q, end := newQuarantine()
		defer end()
		quarantineShared(is, q)
		l := logs.New(f.objects)
		r, stop := f.startWith("e1", l, s, q, oneSharedPart)
		defer stop()
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 1)))
		time.Sleep(maxUntried)
		is.True(check(t, l, "j", 1))
	})
}

// serverRecorder records which server each item was sent to.
type serverRecorder struct {
	*fleet
	lock    sync.Mutex
	servers map[string]string
}

func (s *serverRecorder) Send(ctx context.Context, b backend.Server, q *call.Call, after int64) (*response.Response, error) {
	s.lock.Lock()
	s.servers[q.ID] = b.ID
	s.lock.Unlock()

	return s.fleet.Send(ctx, b, q, after)
}

// Guards against an item in a trial that is sent to a server of another service than its route's.
func TestTrialStaysInTheServiceOfTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		other := testRoute
		other.Name, other.Prefix, other.Shares = "others", "/c/", []route.Share{{Service: "other", Weight: 1}}
		f.routes = []route.Route{other}
		s := &serverRecorder{fleet: f, servers: map[string]string{}}
		q, end := newQuarantine()
		defer end()
		quarantineShared(is, q)
		r, stop := f.startWith("e1", logs.New(f.objects), s, q, oneSharedPart)
		defer stop()
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 1)))
		is.NoErr(r.Submit(t.Context(), &other, work.Job{ID: "k", Host: "h", Target: "/c/1", SubmittedAt: time.Now()}, newItems("k", 1)))
		time.Sleep(maxUntried)
		s.lock.Lock()
		defer s.lock.Unlock()
		is.Equal(s.servers, map[string]string{"j-0": "w", "k-0": "w-other"})
	})
}

// crashingServer crashes under each request, records when that was, and starts again.
type crashingServer struct {
	*fleet
	lock    sync.Mutex
	runs    map[string][]time.Time
	crashes []time.Time
}

func (s *crashingServer) Send(_ context.Context, b backend.Server, q *call.Call, _ int64) (*response.Response, error) {
	time.Sleep(50 * time.Millisecond)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.runs[q.ID] = append(s.runs[q.ID], time.Now())
	if b.StartedAt == len(s.crashes) {
		s.crashes = append(s.crashes, time.Now())
		s.restarts.Add(1)
	}

	return nil, fault.Wrap(io.EOF, fault.CodeOutcomeUnknown, "the backend server did not answer")
}

// Guards against items with a part that crashes servers which nobody runs for minutes, and against servers that such items crash one
// after the other.
func TestItemsThatCrashServersAreTriedNowAndThen(t *testing.T) {
	for _, count := range []int{1, 2} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 0)
				s := &crashingServer{fleet: f, runs: map[string][]time.Time{}}
				q, end := newQuarantine()
				defer end()
				r, stop := f.startWith("e1", logs.New(f.objects), s, q, oneSharedPart)
				defer stop()
				items := newItems("j", 3)
				items = append(items[:1], items[2:count+1]...)
				job := work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}
				is.NoErr(r.Submit(t.Context(), &testRoute, job, items))
				began := time.Now()
				time.Sleep(50 * time.Second)
				s.lock.Lock()
				defer s.lock.Unlock()
				var all []time.Time
				for _, runs := range s.runs {
					last := began
					for _, at := range append(runs, time.Now()) {
						is.True(at.Sub(last) < maxUntried)
						last = at
					}
					all = append(all, runs...)
				}
				is.Equal(len(s.runs), count)
				late := slices.DeleteFunc(all, func(at time.Time) bool { return len(s.crashes) < 5 || at.Sub(s.crashes[4]) <= settled })
				is.True(len(late) <= maxLateRuns)
			})
		})
	}
}

// Guards against an item that is tried each time while others that wait for the same part are left out: here three more are allowed, one at
// a time.
func TestItemsTakeTurnsInTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		s := &crashingServer{fleet: f, runs: map[string][]time.Time{}}
		q, end := newQuarantine()
		defer end()
		for n := range 5 {
			q.RecordLoss(backend.Server{ID: fmt.Sprint(n)}, fmt.Sprint(n), []string{"shared"}, time.Now())
			time.Sleep(time.Second)
		}
		r, stop := f.startWith("e1", logs.New(f.objects), s, q, oneSharedPart)
		defer stop()
		items := slices.Delete(newItems("j", 6), 1, 2)
		job := work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}
		is.NoErr(r.Submit(t.Context(), &testRoute, job, items))
		time.Sleep(time.Minute)
		s.lock.Lock()
		defer s.lock.Unlock()
		is.Equal(len(s.runs), maxLateRuns)
		for _, runs := range s.runs {
			is.Equal(len(runs), 1)
		}
	})
}

// lossRecorder counts the losses that are evidence against prompt parts, and the answers that clear them.
type lossRecorder struct {
	promptParts
	losses, answers int
}

func (l *lossRecorder) RecordAnswer(backend.Server, []string, time.Time, time.Time) { l.answers++ }

func (l *lossRecorder) RecordLoss(backend.Server, string, []string, time.Time) { l.losses++ }

// Guards against a sound part that is quarantined because runs that go on after earlier events lose their connections: a prompt that was
// answered once does not crash servers before the first event.
func TestLossAfterEventsIsNoEvidence(t *testing.T) {
	is := is.New(t)
	r, stop := newFleet(1, 0).start("e1")
	stop()
	l := &lossRecorder{promptParts: noQuarantine()}
	r.parts = l
	lost := fault.Wrap(io.EOF, fault.CodeOutcomeUnknown, "the backend server did not answer")
	r.recordParts(&item{last: 3}, backend.Server{ID: "w"}, lost)
	is.Equal(l.losses, 0)
	r.recordParts(&item{}, backend.Server{ID: "w"}, lost)
	is.Equal(l.losses, 1)
}

// Guards against a sound part that is cleared only when an item with it is complete, which takes as long as a wave of crashes.
func TestFirstEventOfAnItemIsAnAnswer(t *testing.T) {
	is := is.New(t)
	r, stop := newFleet(1, 0).start("e1")
	stop()
	l := &lossRecorder{promptParts: noQuarantine()}
	r.parts = l
	it := &item{}
	events := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(io.ErrUnexpectedEOF))
	is.True(r.collect(it, backend.Server{ID: "w"}, events, time.NewTimer(time.Minute), func() {}) != nil)
	is.Equal(it.last, int64(1))
	is.Equal(l.answers, 1)
}

// Guards against an item that is sent again to the server that has just crashed, and then to one after the other.
func TestPauseAfterLostConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	r, stop := f.start("e1")
	stop()
	r.sender = &crashingServer{fleet: f, runs: map[string][]time.Time{}}
	it := &item{}
	for n, want := range []time.Duration{lostPause, lostFactor * lostPause, 4 * time.Second, maxLostPause, maxLostPause} {
		it.state = running
		r.runItem(t.Context(), newJob(work.Job{ID: "j"}, nil), it, &testRoute, backend.Server{ID: fmt.Sprint(n)})
		is.Equal(it.state, waiting)
		is.True(time.Until(it.notBefore) <= want)
		is.True(time.Until(it.notBefore) > want-lostPause)
	}
}

// waitingRecorder records the counts of waiting items.
type waitingRecorder struct {
	*quarantine.Quarantine
	waiting atomic.Pointer[map[string]int]
}

func (w *waitingRecorder) RecordWaiting(counts map[string]int) { w.waiting.Store(&counts) }

// Guards against an instance that stops and still counts as the one whose items are tried first, so that no others are.
func TestStoppingInstanceHasNoWaitingItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		q, end := newQuarantine()
		defer end()
		quarantineShared(is, q)
		w := &waitingRecorder{Quarantine: q}
		r, stop := f.startWith("e1", logs.New(f.objects), f, w, oneSharedPart)
		defer stop()
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 1)))
		time.Sleep(time.Second)
		is.Equal(*w.waiting.Load(), map[string]int{"shared": 1})
		r.Stop(t.Context(), time.Now().Add(time.Second))
		time.Sleep(time.Second)
		is.Equal(len(*w.waiting.Load()), 0)
	})
}
