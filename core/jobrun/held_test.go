package jobrun

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/core/response"
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

// Guards against items that nobody runs for minutes because a sound part of their prompts was quarantined in a wave of crashes:
// nothing but a request with that part can show that it is sound.
func TestItemOfSoundPartInQuarantineCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		q, end := newQuarantine()
		defer end()
		for n := range 3 {
			q.RecordLoss(backend.Server{ID: fmt.Sprint(n)}, fmt.Sprint(n), []string{"shared"}, time.Now())
			time.Sleep(time.Second)
		}
		_, _, held := q.Quarantined(oneSharedPart(nil))
		is.True(held)
		l := logs.New(f.objects)
		r, stop := f.startWith("e1", l, f, q, oneSharedPart)
		defer stop()
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 1)))
		for end := time.Now().Add(maxUntried); !check(t, l, "j", 1); time.Sleep(100 * time.Millisecond) {
			is.True(time.Now().Before(end))
		}
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

// lossRecorder counts the losses that are evidence against prompt parts.
type lossRecorder struct {
	promptParts
	losses int
}

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
