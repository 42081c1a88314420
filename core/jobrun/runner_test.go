package jobrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/batchroom"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/jobread"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
	"tarragonwalk/internal/fakeobjects"
)

const (
	testEvents = 5
	// testLimit bounds every wait, far above what the code needs.
	testLimit = 20 * time.Second
)

var testRoute = route.Route{
	Name: "jobs", Host: "h", Prefix: "/b/", Kind: route.KindBatch, MaxAttempts: 3, CompletionMillis: 18000,
	MaxTokens: 1000, Shares: []route.Share{{Service: "s", Weight: 1}},
}

// fleet is what several runners share: a store, backend servers that fail at random, and the liveness of instances.
type fleet struct {
	lock      sync.Mutex
	random    *rand.Rand
	objects   *fakeobjects.Store
	alive     map[string]bool
	usedSlots int
	// maybeReplaced is set if other instances may have considered the asking one gone.
	maybeReplaced bool
	// isolated is set if an instance receives nothing from others.
	isolated atomic.Bool
	// paused is set if the asking instance may have been paused.
	paused atomic.Bool
	// progress is that of instances beside those that run.
	progress map[string]gossip.BatchProgress
	// failureRate is the fraction of attempts that break off.
	failureRate float64
	// hideRoute is set while instances have a configuration without the route.
	hideRoute atomic.Bool
	// keepFor is how long jobs stay readable.
	keepFor time.Duration
	// takenOver are the tokens of jobs that were taken over, by the process that held them.
	takenOver map[string]int
	// takenKeys are the keys of the sums to which they were added.
	takenKeys []string
	// restarts counts how often the backend server has started again.
	restarts atomic.Int64
	// routes are further routes than testRoute.
	routes []route.Route
	// waiting are the tokens that wait at instances beside those that run, by process.
	waiting map[string]int
}

func newFleet(seed uint64, failureRate float64) *fleet {
	return &fleet{random: rand.New(rand.NewPCG(seed, 1)), objects: fakeobjects.New(), alive: map[string]bool{}, failureRate: failureRate, keepFor: time.Hour, takenOver: map[string]int{}}
}

func noQuarantine() *quarantine.Quarantine {
	return quarantine.New(nil, time.Now, slog.New(slog.DiscardHandler))
}

func noBudget() *bytebudget.Budget { return bytebudget.New(math.MaxInt) }

func noSharedParts(map[string]string) []string { return nil }

func (f *fleet) chance(p float64) bool {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.random.Float64() < p
}

func (f *fleet) Current() (*route.Table, int64) {
	if f.hideRoute.Load() {
		return &route.Table{Version: 1}, 1
	}

	return &route.Table{Version: 1, Routes: append([]route.Route{testRoute}, f.routes...)}, 1
}

func (f *fleet) Live() []string {
	f.lock.Lock()
	defer f.lock.Unlock()
	var names []string
	for name, alive := range f.alive {
		if alive {
			names = append(names, name)
		}
	}

	return names
}

func (f *fleet) SuspectedSince(since, at time.Time) bool {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.maybeReplaced || f.paused.Load() && at.After(since)
}

func (f *fleet) Paused(time.Time) bool { return f.paused.Load() }

func (f *fleet) Unheard() bool { return false }

func (f *fleet) Isolated() bool { return f.isolated.Load() }

func (f *fleet) Alive(name, _ string, _ time.Time) bool {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.alive[name]
}

func (f *fleet) Waiting(route string, _ time.Time) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	n := 0
	if route != testRoute.Name {
		return n
	}
	for incarnation, tokens := range f.waiting {
		n += max(0, tokens-f.takenOver[incarnation])
	}

	return n
}

func (f *fleet) RecordTakeover(incarnation, key string, tokens int, _ time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.takenKeys = append(f.takenKeys, key)
	f.takenOver[incarnation] += tokens
}

func (f *fleet) Takeovers(time.Time) []gossip.TakenOver { return nil }

func (f *fleet) Progress(time.Time) (sum map[string]gossip.BatchProgress, complete bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	sum = map[string]gossip.BatchProgress{}
	gossip.AddProgress(sum, f.progress)

	return sum, true
}
func (f *fleet) Holder(string, string) (a netip.AddrPort, ok bool)         { return a, false }
func (f *fleet) RandomPoint() float64                                      { return 0 }
func (f *fleet) RecordAttempt(backend.Server, error, time.Time, time.Time) {}

// Batch returns server w for service s, and a server of its own for each other service.
func (f *fleet) Batch(service string, _, _ bool, _ time.Time) (backend.Server, func(), bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.usedSlots >= 6 {
		return backend.Server{}, nil, false
	}
	f.usedSlots++

	id := "w"
	if service != "s" {
		id += "-" + service
	}

	return backend.Server{ID: id, StartedAt: int(f.restarts.Load())}, func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.usedSlots--
	}, true
}

func (f *fleet) BatchRoom(string, bool, bool, time.Time) batchroom.Room {
	f.lock.Lock()
	defer f.lock.Unlock()

	return batchroom.Room{Usable: 1, Free: max(0, 6-f.usedSlots), InTurn: max(0, 6-f.usedSlots)}
}

func (f *fleet) BatchContenders(time.Time) (onTime, late int, heardAt time.Time) {
	return 0, 0, heardAt
}

func (f *fleet) BatchOn(backend.Server) func() { return func() {} }

func (f *fleet) ReadResults(context.Context, netip.AddrPort, string, string, int, time.Time) (p jobpage.Page, held bool, err error) {
	return p, false, nil
}

func (f *fleet) ReadBody(context.Context, netip.AddrPort, string, string, string) (body []byte, held bool, err error) {
	return nil, false, nil
}

func (*fleet) CheckJob(context.Context, netip.AddrPort, string, string) (bool, error) {
	return false, nil
}

// Send streams the events after one, and breaks off or refuses at random.
func (f *fleet) Send(ctx context.Context, _ backend.Server, q *call.Call, after int64) (*response.Response, error) {
	if f.chance(f.failureRate / 2) {
		return nil, fault.New(fault.CodeOverloaded, "full")
	}
	if strings.Contains(q.Target, "poison") {
		return &response.Response{Status: http.StatusUnprocessableEntity, Body: http.NoBody}, nil
	}
	r, w := io.Pipe()
	go func() {
		for n := after + 1; n <= testEvents; n++ {
			select {
			case <-time.After(time.Millisecond):
			case <-ctx.Done():
			}
			if ctx.Err() != nil || f.chance(f.failureRate) {
				_ = w.CloseWithError(io.ErrUnexpectedEOF)

				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, q.ID, n)
		}
		_ = w.Close()
	}()

	return &response.Response{Status: http.StatusOK, Body: r}, nil
}

// start runs an instance until stop is called, which has the effect of a kill.
func (f *fleet) start(name string) (r *Runner, stop func()) {
	return f.startOn(name, logs.New(f.objects))
}

// startOn is start with a job log of the instance's own.
func (f *fleet) startOn(name string, l *logs.Log) (r *Runner, stop func()) {
	return f.startWith(name, l, f, noQuarantine(), noSharedParts)
}

// startWith is startOn with a sender, a quarantine and prompt parts of the instance's own.
func (f *fleet) startWith(
	name string, l *logs.Log, s sender, parts promptParts, sharedParts func(map[string]string) []string,
) (r *Runner, stop func()) {
	f.lock.Lock()
	f.alive[name] = true
	f.lock.Unlock()
	logger := slog.New(slog.DiscardHandler)
	r = New(l, s, f, f, f, f, jobread.New(l, f, f, logger, time.Now), parts, sharedParts, noBudget(), name, name, f.keepFor, 0, time.Now, logger)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx, time.Tick(IdleInterval))
	}()

	return r, func() {
		cancel()
		<-done
		f.lock.Lock()
		f.alive[name] = false
		f.lock.Unlock()
	}
}

func newItems(job string, n int) []work.Item {
	items := make([]work.Item, 0, n)
	for i := range n {
		target := "/b/1"
		if i == 1 {
			target = "/b/poison"
		}
		items = append(items, work.Item{ID: fmt.Sprintf("%s-%d", job, i), Target: target, Body: []byte("x"), Tokens: 10})
	}

	return items
}

// check reads all segments of a job, asserts that each item is listed at most once with its whole output, and reports whether
// all items are listed.
func check(t *testing.T, l *logs.Log, id string, items int) (complete bool) {
	t.Helper()
	var all []work.Result
	for {
		segment, err := l.Segment(t.Context(), id, len(all))
		if err != nil || len(segment) == 0 {
			break
		}
		all = append(all, segment...)
	}
	seen := map[string]bool{}
	for _, r := range all {
		if seen[r.Item] {
			t.Fatalf("item %s is listed twice", r.Item)
		}
		seen[r.Item] = true
		if strings.HasSuffix(r.Item, "-1") {
			is.New(t).Equal(r.State, work.StateDead)

			continue
		}
		var lines []string
		for n := 1; n <= testEvents; n++ {
			lines = append(lines, fmt.Sprintf("%s-%d", r.Item, n))
		}
		is.New(t).Equal(r.Text, strings.Join(lines, "\n"))
	}

	return len(all) == items
}

// Guards against items that are lost, listed twice or with a gap in their output while writes fail, responses are lost, streams
// break off, items are preempted and instances are killed, and while two instances both act as the holder of a job.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 0.1)
			f.objects.Choose(func(string) fault.Code {
				if f.chance(0.1) {
					return fault.CodeOutcomeUnknown
				}
				if f.chance(0.1) {
					return fault.CodeStoreUnavailable
				}

				return ""
			})
			l := logs.New(f.objects)
			first, stopFirst := f.start("e1")
			second, stopSecond := f.start("e2")
			accepted := []string{}
			for n := range 6 {
				id := fmt.Sprint("job", n)
				j := work.Job{ID: id, Host: "h", Target: "/b/1", SubmittedAt: time.Now()}
				for range 20 {
					err := first.Submit(t.Context(), &testRoute, j, newItems(id, 4))
					if err == nil {
						accepted = append(accepted, id)

						break
					}
				}
				first.Preempt("w", 1)
			}
			time.Sleep(time.Duration(seed) * 20 * time.Millisecond)
			// The second instance considers the first one gone while it still runs.
			f.lock.Lock()
			f.alive["e1"] = false
			f.lock.Unlock()
			_, _ = second.AnnounceOrphans(t.Context())
			stopFirst()
			defer stopSecond()
			for end := time.Now().Add(testLimit); ; time.Sleep(20 * time.Millisecond) {
				left := 0
				for _, id := range accepted {
					if !check(t, l, id, 4) {
						left++
					}
				}
				if left == 0 {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("%d of %d jobs are not complete", left, len(accepted))
				}
				_, _ = second.AnnounceOrphans(t.Context())
			}
			is.New(t).True(len(accepted) > 0)
		})
	}
}

// Guards against a stop that loses jobs: another instance has to take them over with the results listed so far.
func TestStopReleasesJobs(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	l := logs.New(f.objects)
	first, stopFirst := f.start("e1")
	second, stopSecond := f.start("e2")
	defer stopSecond()
	is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 600)))
	time.Sleep(60 * time.Millisecond)
	first.Stop(t.Context(), time.Now().Add(testLimit))
	is.Equal(announced(first).Released, []string{"j"})
	is.Equal(len(announced(first).Held), 0) // other instances would still consider it the holder
	stopFirst()
	for end := time.Now().Add(testLimit); !check(t, l, "j", 600); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
		second.ObserveOrphan("j")
	}
	for end := time.Now().Add(testLimit); ; time.Sleep(10 * time.Millisecond) {
		j, _, err := l.Job(t.Context(), "j")
		is.NoErr(err)
		is.Equal(j.Holder, "e2")
		if j.Finished {
			break
		}
		is.True(time.Now().Before(end)) // the record has to be marked as finished, or the job would be taken over again
	}
}

// Guards against accepting tokens beyond the limit of a route, and against refusing a job that was accepted before.
func TestTokenLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	f.usedSlots = 100 // nothing runs
	first, stopFirst := f.start("e1")
	defer stopFirst()
	j := work.Job{ID: "a", Host: "h", Target: "/b/1", SubmittedAt: time.Now(), Tokens: 800}
	items := []work.Item{{ID: "a-0", Target: "/b/1", Body: []byte("x"), Tokens: 800}}
	is.NoErr(first.Submit(t.Context(), &testRoute, j, items))
	other := j
	other.ID = "b"
	err := first.Submit(t.Context(), &testRoute, other, items)
	is.Equal(fault.CodeOf(err), fault.CodeOverloaded)
	is.NoErr(first.Submit(t.Context(), &testRoute, j, items))
	is.NoErr(first.End(t.Context(), "a", ""))
	is.NoErr(first.Submit(t.Context(), &testRoute, other, items))
}

// Guards against a holder that was replaced while it was cut off and then returns fewer results than another instance did.
func TestReplacedHolderShowsAllResults(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	f.usedSlots = 100 // nothing runs at first
	l := logs.New(f.objects)
	first, stopFirst := f.start("e1")
	defer stopFirst()
	is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
	is.NoErr(l.Append(t.Context(), "j", 0, []work.Result{{Item: "j-1", State: work.StateDead}}, "e2"))
	f.maybeReplaced = true
	page, err := first.Read(t.Context(), "j", "", 0, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
}

// Guards against a replaced holder that finds no further results at its first check and never checks again, so that its
// responses miss what the new holder lists later.
func TestReplacedHolderGivesJobUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	f.usedSlots = 100 // nothing runs
	l := logs.New(f.objects)
	first, stopFirst := f.start("e1")
	defer stopFirst()
	is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
	record, revision, err := l.Job(t.Context(), "j")
	is.NoErr(err)
	record.Holder = "e2"
	_, err = l.Update(t.Context(), *record, revision)
	is.NoErr(err)
	f.maybeReplaced = true
	page, err := first.Read(t.Context(), "j", "", 0, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 0)
	f.maybeReplaced = false // all instances receive each other's heartbeats again
	is.NoErr(l.Append(t.Context(), "j", 0, []work.Result{{Item: "j-1", State: work.StateDead}}, "e2"))
	page, err = first.Read(t.Context(), "j", "", 0, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
}

// Guards against a result that is listed twice in memory: by a read that found it in the store and by the write that put it
// there and returns later.
func TestReadDuringWriteListsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	f.usedSlots = 100 // nothing runs
	l := logs.New(f.objects)
	first, stopFirst := f.start("e1")
	defer stopFirst()
	is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
	results := []work.Result{{Item: "j-1", State: work.StateDead}}
	is.NoErr(l.Append(t.Context(), "j", 0, results, "e1"))
	f.maybeReplaced = true
	first.lock.Lock()
	j := first.jobs["j"]
	first.lock.Unlock()
	page, err := first.Read(t.Context(), "j", "", 0, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	first.write(t.Context(), j, 0, results)
	page, err = first.Read(t.Context(), "j", "", 0, time.Now())
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
}

// Guards against a store write for each result of a job that is due much later, and against results that wait too long
// although their job is due soon or the instance stops.
func TestResultsAreCollected(t *testing.T) {
	is := is.New(t)
	r, stop := newFleet(1, 0).start("e1")
	defer stop()
	at := time.Now()
	for _, c := range []struct {
		name string
		age  time.Duration
		host string
		stop bool
		few  time.Duration
		many time.Duration
	}{
		{"due later", time.Second, "h", false, slowListDelay, longListDelay},
		{"due soon", 15 * time.Second, "h", false, shortListDelay, shortListDelay},
		{"just late", 18500 * time.Millisecond, "h", false, shortListDelay, shortListDelay},
		{"late", 30 * time.Second, "h", false, longListDelay, longListDelay},
		{"stopping", time.Second, "h", true, shortListDelay, shortListDelay},
		{"without a route", time.Second, "other", false, shortListDelay, shortListDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			r.lock.Lock()
			defer r.lock.Unlock()
			r.stopping = c.stop
			j := newJob(work.Job{ID: "j", Host: c.host, Target: "/b/1", SubmittedAt: at.Add(-c.age)}, nil)
			j.pending = make([]work.Result, batchResults-1)
			is.Equal(r.listDelay(j, at), c.few)
			j.pending = make([]work.Result, batchResults)
			is.Equal(r.listDelay(j, at), c.many)
		})
	}
}

// Guards against a store write for each result of a job that is due much later, and against a crash that loses more results than a few
// because they wait for others.
func TestWritesOfResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items, pause = 12, 700 * time.Millisecond
		is := is.New(t)
		f := newFleet(1, 0)
		r, stop := f.start("e1")
		defer stop()
		j := newJob(work.Job{ID: "j", Host: "h", Target: "/b/1", Items: items, SubmittedAt: time.Now()}, newItems("j", items))
		_, err := r.log.Accept(t.Context(), &j.Job, newItems("j", items), map[int]bool{})
		is.NoErr(err)
		r.lock.Lock()
		for _, it := range j.items {
			it.notBefore = time.Now().Add(time.Hour)
		}
		r.hold("j", j)
		r.signal()
		r.lock.Unlock()
		for n := range items {
			time.Sleep(pause)
			r.lock.Lock()
			is.True(len(j.pending) <= int(longListDelay/pause)+batchResults)
			if len(j.pending) > 0 {
				is.True(time.Since(j.pendingSince) <= slowListDelay+stepInterval)
			}
			j.finish(j.items[n], work.StateCompleted, time.Now())
			r.lock.Unlock()
		}
		time.Sleep(time.Second)
		r.lock.Lock()
		is.Equal(len(j.results), items)
		r.lock.Unlock()
		t.Log("writes of results:", f.objects.Writes("job-results"))
		is.True(f.objects.Writes("job-results") <= items/batchResults+1)
	})
}

// Guards against an item that holds a slot forever because its server sends a few bytes without data now and then.
func TestStalledItemEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, stop := newFleet(1, 0).start("e1")
		defer stop()
		pipe, w := io.Pipe()
		done := make(chan struct{})
		defer func() { <-done }()
		go func() {
			defer close(done)
			for {
				time.Sleep(100 * time.Millisecond)
				if _, err := io.WriteString(w, ": wait\n\n"); err != nil {
					return
				}
			}
		}()
		silence := time.AfterFunc(eventTimeout, func() { _ = w.CloseWithError(errSilent) })
		defer silence.Stop()
		began := time.Now()
		err := r.collect(&item{}, backend.Server{ID: "w"}, pipe, silence, func() {})
		is.True(errors.Is(err, errSilent))
		is.True(time.Since(began) < 2*eventTimeout)
	})
}

// answers is a sender that gives one answer after the other.
type answers []*response.Response

func (a *answers) Send(context.Context, backend.Server, *call.Call, int64) (*response.Response, error) {
	next := (*a)[0]
	*a = (*a)[1:]

	return next, nil
}

// Guards against the error of a server, or a whole response of it, in the text of an item, and against an item that counts as completed
// because of it.
func TestItemTextHoldsNoError(t *testing.T) {
	const events, plain = "text/event-stream", "text/plain; charset=utf-8"
	const head = "HTTP/1.1 503 Full\r\nContent-Type: text/plain\r\n\r\ndata: no\n\n"
	type answer struct {
		status     int
		kind, body string
	}
	begun := answer{200, events, "id: 1\ndata: a\n\nid: 2\nda"}
	rest := answer{200, events, "id: 2\ndata: b\n\n"}
	for _, c := range []struct {
		name    string
		answers []answer
		// codes are those of the attempts.
		codes []fault.Code
		text  string
	}{
		{"resumed", []answer{begun, rest}, []fault.Code{fault.CodeStreamLost, ""}, "a\nb"},
		{"status 500", []answer{begun, {500, events, "id: 2\ndata: no\n\n"}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeBackendFailed, ""}, "a\nb"},
		{"status 206", []answer{begun, {206, events, "id: 2\ndata: no\n\n"}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeOverloaded, ""}, "a\nb"},
		{"error event", []answer{begun, {200, events, "event: error\ndata: no\n\n"}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeStreamLost, ""}, "a\nb"},
		{"error event first", []answer{{200, events, "event: error\ndata: no\n\n"}, begun, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeStreamLost, ""}, "a\nb"},
		{"response in the stream", []answer{{200, events, "id: 1\ndata: a\n\n" + head}, rest}, []fault.Code{fault.CodeStreamLost, ""}, "a\nb"},
		{"text", []answer{begun, {200, plain, "no\n\n"}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeStreamLost, ""}, "a\nb"},
		{"nothing", []answer{begun, {200, plain, ""}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeStreamLost, ""}, "a\nb"},
		{"ids that begin again", []answer{begun, {200, events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeStreamLost, ""}, "a\nb"},
		{"ids that do not follow", []answer{begun, {200, events, "id: 3\ndata: c\n\n"}, rest}, []fault.Code{fault.CodeStreamLost, fault.CodeStreamLost, ""}, "a\nb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, stop := newFleet(1, 0).start("e1")
			stop()
			var list answers
			for _, a := range c.answers {
				list = append(list, &response.Response{Status: a.status, Header: http.Header{"Content-Type": {a.kind}}, Body: io.NopCloser(strings.NewReader(a.body))})
			}
			r.sender = &list
			it := &item{}
			for _, code := range c.codes {
				is.Equal(fault.CodeOf(r.attempt(t.Context(), &job{}, it, backend.Server{})), code)
			}
			is.Equal(string(it.text), c.text)
		})
	}
}

// endlessEvents is a stream of sound events that does not end.
type endlessEvents struct{ last int }

func (e *endlessEvents) Read(p []byte) (int, error) {
	e.last++

	return copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", e.last, strings.Repeat("x", 4<<10))), nil
}

// Guards against an item whose output never ends and fills the memory, and against going on after what was received of it.
func TestItemWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget int
		want   error
	}{
		{"longer than any result", math.MaxInt, errTooLong},
		{"no memory left", maxTextBytes / 2, bytebudget.ErrDropped},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 0)
			r, stop := f.start("e")
			defer stop()
			r.budget = bytebudget.New(c.budget)
			it := &item{}
			silence := time.AfterFunc(testLimit, func() {})
			defer silence.Stop()
			err := r.collect(it, backend.Server{ID: "w"}, &endlessEvents{}, silence, func() {})
			is.True(errors.Is(err, c.want))
			is.True(len(it.text) <= maxTextBytes+readBytes)
			it.restart()
			is.Equal(it.last, int64(0))
			is.Equal(len(it.text), 0)
		})
	}
}
