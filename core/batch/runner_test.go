package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/core/membership"
	"tarragonwalk/internal/fakestore"
	"tarragonwalk/io/jobstore"
	"tarragonwalk/io/objectstore"
)

// link is one instance's connection to the store; it can be cut or paused.
type link struct {
	*fakestore.Store
	mu     sync.Mutex
	cut    bool
	paused chan struct{}
	// refuse names the writes that fail with not_found, nil for none.
	refuse func(key string, version int64) bool
}

func (l *link) pass(ctx context.Context) error {
	l.mu.Lock()
	p := l.paused
	l.mu.Unlock()
	if p != nil {
		select {
		case <-p:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return fault.New(fault.CodeStoreUnavailable, "cut off")
	}

	return nil
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// pause reports false if the link is paused already.
func (l *link) pause() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		return false
	}
	l.paused = make(chan struct{})

	return true
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.paused)
	l.paused = nil
}

func (l *link) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := l.pass(ctx); err != nil {
		return nil, 0, err
	}

	return l.Store.Get(ctx, key)
}

func (l *link) Put(ctx context.Context, key string, value []byte, v int64) (int64, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	if l.refuse != nil && l.refuse(key, v) {
		return 0, fault.New(fault.CodeNotFound, "no object "+key)
	}

	return l.Store.Put(ctx, key, value, v)
}

func (l *link) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Entry, int64, error) {
	if err := l.pass(ctx); err != nil {
		return nil, 0, err
	}

	return l.Store.List(ctx, prefix, after, limit)
}

func (l *link) Watch(ctx context.Context, prefix string, since int64, until time.Time) ([]objectstore.Change, int64, error) {
	if err := l.pass(ctx); err != nil {
		return nil, 0, err
	}
	changes, revision, err := l.Store.Watch(ctx, prefix, since, until)
	if e := l.pass(ctx); e != nil {
		return nil, 0, e
	}

	return changes, revision, err
}

// fleet is a set of runners over one store.
type fleet struct {
	store *fakestore.Store
	names []string
	took  time.Duration
	mu    sync.Mutex
	runs  map[string]int
	// published counts the items that runners reported as published.
	published int
	nodes     []*node
	// lateStarts counts the items that started after their runner knew of the job's cancellation.
	lateStarts int
	// slots and batchOwners replace the dispatcher's methods, answer the answer of a backend server.
	slots       func(name, deployment string) int
	batchOwners func(deployment string) []string
	answer      func(r *inference.Request) error
	started     func(n *node, item string)
	// refuse names the writes that fail with not_found, nil for none.
	refuse func(key string, version int64) bool
}

type node struct {
	*Runner
	self        string
	link        *link
	jobs        *jobstore.Store
	stop        context.CancelFunc
	ended       chan struct{}
	fleet       *fleet
	knowsCancel bool
	digest      int64
	seenAt      time.Time
	starts      []time.Time
	runs        map[string]int
	// disturbed is set if a crash, pause or stop of this node accounts for a second run of its items on another one.
	disturbed bool
	crashed   atomic.Bool
}

func (f *fleet) Live(time.Time) []membership.Instance {
	var is []membership.Instance
	for _, n := range f.names {
		is = append(is, membership.Instance{Name: n, Role: membership.RoleEntry, State: membership.StateLive})
	}

	return is
}

func (f *fleet) CountPublished(_ string, items int, _, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published += items
}

// crash simulates the loss of the node's process: no further write of it reaches the store.
func (n *node) crash() {
	n.fleet.mu.Lock()
	n.disturbed = true
	n.fleet.mu.Unlock()
	n.crashed.Store(true)
	n.link.setCut(true)
	n.stop()
}

// checkRuns asserts that each item of the job ran, at most attempts times on each disturbed node and at most attempts times on
// all others together.
func (f *fleet) checkRuns(is *is.I, items, attempts int, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range items {
		item := job.RequestID(id, i)
		is.True(f.runs[item] > 0)
		undisturbed := 0
		for _, n := range f.nodes {
			if !n.disturbed {
				undisturbed += n.runs[item]
			} else {
				is.True(n.runs[item] <= attempts)
			}
		}
		is.True(undisturbed <= attempts)
	}
}

func (n *node) BatchSlots(deployment string) int {
	_ = n.link.pass(context.Background()) // a paused process does not read its slots

	return n.fleet.slots(n.self, deployment)
}

func (n *node) BatchOwners(deployment string) []string { return n.fleet.batchOwners(deployment) }

func (n *node) Run(ctx context.Context, r *inference.Request, on func(inference.Event) error) error {
	f := n.fleet
	if f.started != nil {
		f.started(n, r.ID)
	}
	f.mu.Lock()
	f.runs[r.ID]++
	n.runs[r.ID]++
	n.starts = append(n.starts, time.Now())
	if n.knowsCancel {
		f.lateStarts++
	}
	f.mu.Unlock()
	took := f.took
	if len(r.ID) > 0 && r.ID[0] < '3' && strings.HasSuffix(r.ID, "0") {
		took *= 20 // a few items run much longer than the others
	}
	if f.started == nil {
		took = f.took
	}
	if !sleep(ctx, took) {
		return fault.Wrap(ctx.Err(), fault.CodeCancelled, "run ended")
	}
	if f.answer != nil {
		if err := f.answer(r); err != nil {
			return err
		}
	}
	switch {
	case strings.Contains(string(r.Body), "invalid"):
		return fault.New(fault.CodeInvalid, "cannot be done")
	case strings.Contains(string(r.Body), "broken"):
		return fault.New(fault.CodeBackendFailed, "fails each time")
	}

	return on(inference.Event{Offset: 1, Text: "ok", Finish: "stop"})
}

func (n *node) lastStart() time.Time {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if len(n.starts) == 0 {
		return time.Time{}
	}

	return n.starts[len(n.starts)-1]
}

func limits() configuration.BatchDefaults {
	return configuration.BatchDefaults{Attempts: 3, ChunkItems: 3, ChunkBytes: 10000, MaxItems: 100}
}

func newFleet(names ...string) *fleet {
	return &fleet{
		store:       fakestore.New(),
		names:       names,
		took:        400 * time.Millisecond,
		runs:        make(map[string]int),
		slots:       func(string, string) int { return 2 },
		batchOwners: func(string) []string { return names },
	}
}

func (f *fleet) launch(name, incarnation string, seed uint64) *node {
	l := &link{Store: f.store, refuse: f.refuse}
	n := &node{self: name, link: l, fleet: f, ended: make(chan struct{}), runs: make(map[string]int), jobs: jobstore.New(l, limits, time.Now)}
	n.Runner = New(l, n, f, f, name, incarnation, time.Now, rand.New(rand.NewPCG(seed, 1)), slog.New(slog.DiscardHandler))
	f.nodes = append(f.nodes, n)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go n.jobs.FollowOpen(ctx, func(jobs []job.OpenJob, revision int64, at time.Time) {
		n.ObserveOpen(jobs, revision, at)
		f.mu.Lock()
		defer f.mu.Unlock()
		n.digest, n.seenAt = job.Digest(jobs), at
		n.knowsCancel = len(jobs) > 0 && jobs[0].Cancelled
	})
	go func() {
		n.Runner.Run(ctx)
		close(n.ended)
	}()

	return n
}

func (f *fleet) submit(is *is.I, items int, special string) (*jobstore.Store, job.Status) {
	return f.submitKey(is, items, special, "")
}

func input(items int, special string) *bytes.Buffer {
	var b bytes.Buffer
	for i := range items {
		word := "plain"
		if i == 1 {
			word = special
		}
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[],"user":%q}}`+"\n", i, word)
	}

	return &b
}

func (f *fleet) submitKey(is *is.I, items int, special, key string) (*jobstore.Store, job.Status) {
	s := jobstore.New(f.store, limits, time.Now)
	file, err := s.PutFile(context.Background(), "w", "f", input(items, special))
	is.NoErr(err)
	st, err := s.Submit(context.Background(), job.Submission{Workspace: "w", File: file.ID, Deployment: "d", Deadline: time.Now().Add(10 * time.Minute), IdempotencyKey: key})
	is.NoErr(err)

	return s, st
}

// results asserts that each item has exactly one result, in order, and returns the results.
func results(is *is.I, s *jobstore.Store, id string, items int) []job.ItemResult {
	var b bytes.Buffer
	is.NoErr(s.ReadResults(context.Background(), "w", id, &b))
	var out []job.ItemResult
	for l := range bytes.Lines(b.Bytes()) {
		var e job.ItemResult
		is.NoErr(json.Unmarshal(l, &e))
		is.Equal(e.CustomID, fmt.Sprintf("c%d", len(out)))
		out = append(out, e)
	}
	is.Equal(len(out), items)

	return out
}

func bubble(t *testing.T, name string, f func(is *is.I)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { f(is.New(t)) }) })
}

// Guards against results that are lost or repeated in the failure scenarios of section 1.5 of the design.
func TestFailures(t *testing.T) {
	const items = 9
	cases := []struct {
		name     string
		special  string
		failed   int
		within   time.Duration
		attempts int
		disturb  func(f *fleet, a, b *node)
	}{
		{name: "none", special: "x", within: 6 * time.Second, disturb: func(*fleet, *node, *node) {}},
		{name: "item never done", special: "broken", failed: 1, attempts: 3, within: 9 * time.Second, disturb: func(*fleet, *node, *node) {}},
		{name: "invalid item", special: "invalid", failed: 1, within: 6 * time.Second, disturb: func(*fleet, *node, *node) {}},
		{name: "runner dies", special: "x", within: 60 * time.Second, disturb: func(_ *fleet, a, _ *node) {
			a.crash()
		}},
		{name: "runner returns", special: "x", within: 14 * time.Second, disturb: func(f *fleet, a, _ *node) {
			a.crash()
			n := f.launch("a", "2", 9)
			time.AfterFunc(3*time.Minute, n.stop)
		}},
		{name: "paused holder", special: "x", within: 60 * time.Second, disturb: func(_ *fleet, a, _ *node) {
			a.disturbed = true
			a.link.pause()
			time.AfterFunc(time.Minute, a.link.resume)
		}},
		{name: "store outage", special: "x", within: 40 * time.Second, disturb: func(f *fleet, _, _ *node) {
			f.store.SetDown(true)
			time.AfterFunc(20*time.Second, func() { f.store.SetDown(false) })
		}},
		{name: "planned stop", special: "x", within: 14 * time.Second, disturb: func(_ *fleet, a, _ *node) {
			a.disturbed = true
			a.stop()
		}},
	}
	for _, c := range cases {
		bubble(t, c.name, func(is *is.I) {
			f := newFleet("a", "b")
			s, st := f.submit(is, items, c.special)
			a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
			time.Sleep(500 * time.Millisecond)
			c.disturb(f, a, b)
			time.Sleep(c.within)
			got, err := s.GetJob(context.Background(), "w", st.Job.ID)
			is.NoErr(err)
			is.Equal(got.Job.State, job.JobStateCompleted)
			is.Equal(got.Completed, items-c.failed)
			is.Equal(got.Failed, c.failed)
			before := results(is, s, st.Job.ID, items)
			time.Sleep(3 * time.Minute) // a paused holder resumes and publishes late
			is.Equal(results(is, s, st.Job.ID, items), before)
			f.checkRuns(is, items, max(1, c.attempts), st.Job.ID)
			a.stop()
			b.stop()
			<-a.ended
			<-b.ended
			// A chunk whose result another holder published first may be counted twice, but each chunk has to be counted.
			is.True(f.published >= items)
			is.True(f.published == items || c.name != "none")
		})
	}
}

// Guards against a job that is lost with the instance that accepted it, whether or not that has claimed a chunk.
func TestAcceptingInstanceLost(t *testing.T) {
	const items = 9
	for _, after := range []time.Duration{0, time.Millisecond, 500 * time.Millisecond} {
		bubble(t, after.String(), func(is *is.I) {
			f := newFleet("a", "b")
			a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
			time.Sleep(time.Second)
			s := jobstore.New(f.store, limits, time.Now)
			file, err := a.jobs.PutFile(context.Background(), "w", "f", input(items, "x"))
			is.NoErr(err)
			st, err := a.jobs.Submit(context.Background(), job.Submission{Workspace: "w", File: file.ID, Deployment: "d", Deadline: time.Now().Add(10 * time.Minute)})
			is.NoErr(err)
			time.Sleep(after)
			a.crash()
			time.Sleep(time.Minute)
			b.stop()
			<-a.ended
			<-b.ended
			got, err := s.GetJob(context.Background(), "w", st.Job.ID)
			is.NoErr(err)
			is.Equal(got.Job.State, job.JobStateCompleted)
			results(is, s, st.Job.ID, items)
			f.checkRuns(is, items, 1, st.Job.ID)
			if after == 0 {
				is.Equal(len(a.runs), 0)
			}
		})
	}
}

// Guards against taking a chunk from a live holder because of a session that was read before the holder claimed it.
func TestStaleObservation(t *testing.T) {
	for _, c := range []struct {
		name string
		seen job.Session
		now  job.Session
	}{
		{name: "restarted", seen: job.Session{Instance: "a", Incarnation: "1", Counter: 4}, now: job.Session{Instance: "a", Incarnation: "2", Counter: 1}},
		{name: "idle before", seen: job.Session{Instance: "a", Incarnation: "2", Counter: 4}, now: job.Session{Instance: "a", Incarnation: "2", Counter: 5}},
	} {
		bubble(t, c.name, func(is *is.I) {
			f := newFleet("a", "b")
			r := New(f.store, &node{self: "b", fleet: f}, f, f, "b", "1", time.Now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
			put := func(key string, v any) {
				value, err := json.Marshal(v)
				is.NoErr(err)
				_, err = f.store.Put(context.Background(), key, value, 0)
				is.NoErr(err)
			}
			r.tracker.Observe("a", &c.seen, time.Now())
			time.Sleep(16 * time.Second)
			r.tracker.Observe("a", &c.seen, time.Now())
			put(job.SessionKey("a"), c.now)
			put(job.ClaimKey("j", 0), job.Claim{Holder: "a", Incarnation: c.now.Incarnation, Attempt: 1})
			w := newKnownJob(job.OpenJob{ID: "j", Chunks: 1})
			w.file.Chunks = []job.ChunkInfo{{Items: 1}}
			w.stop()
			took, err := r.takeOver(context.Background(), w, 0)
			is.NoErr(err)
			r.chunks.Wait()
			is.True(!took)
		})
	}
}

// endedContext returns an error although its Done channel is not closed, as a context does for a moment while it is canceled.
type endedContext struct{ context.Context }

func (endedContext) Err() error { return context.Canceled }

// Guards against a chunk that is published with empty results of items that were stopped by a cancellation.
func TestStoppedChunkIsNotPublished(t *testing.T) {
	bubble(t, "canceled while items wait", func(is *is.I) {
		f := newFleet("a")
		_, st := f.submit(is, 3, "x")
		r := New(f.store, &node{self: "a", fleet: f, link: &link{Store: f.store}}, f, f, "a", "1", time.Now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		w := newKnownJob(job.OpenJob{ID: st.Job.ID, Workspace: "w", Deployment: "d", File: st.Job.File, Items: 3, Chunks: 1, Attempts: 3, Deadline: st.Job.Deadline})
		w.file.Chunks = []job.ChunkInfo{{Items: 3}}
		w.ctx = endedContext{context.Background()}
		r.confirmedAt = time.Now()
		is.True(!r.runChunk(context.Background(), w, 0, 1))
		_, _, err := f.store.Get(context.Background(), job.ResultKey(st.Job.ID, 0))
		is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	})
}

// Guards against a write that is repeated or abandoned when its answer is lost after it has taken effect.
func TestLostAnswers(t *testing.T) {
	for _, kind := range []string{"file/", "open/", "job/", "claim/", "part/", "result/", "session/", ""} {
		bubble(t, "lost "+kind, func(is *is.I) {
			f := newFleet("a", "b")
			seen := make(map[string]int)
			f.store.SetLose(func(_, key string) bool {
				seen[key]++

				return strings.HasPrefix(key, kind) && seen[key]%2 == 1
			})
			s, st := f.submit(is, 7, "x")
			a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
			time.Sleep(2 * time.Minute)
			got, err := s.GetJob(context.Background(), "w", st.Job.ID)
			is.NoErr(err)
			is.Equal(got.Job.State, job.JobStateCompleted)
			results(is, s, st.Job.ID, 7)
			a.stop()
			b.stop()
			<-a.ended
			<-b.ended
		})
	}
}

// Guards against a canceled job that continues, also on an instance that is cut off from the store.
func TestCancel(t *testing.T) {
	for _, how := range []string{"index", "peer", "cut off"} {
		bubble(t, how, func(is *is.I) {
			f := newFleet("a")
			f.took = 6 * time.Second // an item of the held chunk waits for a slot for longer than the view stays fresh
			s, st := f.submit(is, 60, "x")
			a := f.launch("a", "1", 1)
			time.Sleep(time.Second)
			is.True(!a.lastStart().IsZero())
			allowed := 100 * time.Millisecond
			if how == "cut off" {
				a.link.setCut(true)
				allowed = 4 * time.Second
			}
			at := time.Now()
			if how == "peer" {
				a.CancelJobs([]string{st.Job.ID})
			} else {
				got, err := s.Cancel(context.Background(), "w", st.Job.ID)
				is.NoErr(err)
				is.Equal(got.Job.State, job.JobStateCancelled)
			}
			time.Sleep(30 * time.Second)
			is.True(a.lastStart().Sub(at) <= allowed)
			is.Equal(f.lateStarts, 0)
			a.stop()
			<-a.ended
		})
	}
}

// Guards against an accepted item without a result when the deadline passes.
func TestDeadline(t *testing.T) {
	bubble(t, "expired", func(is *is.I) {
		f := newFleet("a")
		f.took = 4 * time.Minute
		s, st := f.submit(is, 12, "x")
		a := f.launch("a", "1", 1)
		time.Sleep(11 * time.Minute)
		got, err := s.GetJob(context.Background(), "w", st.Job.ID)
		is.NoErr(err)
		is.Equal(got.Job.State, job.JobStateExpired)
		is.Equal(got.Completed+got.Failed, 12)
		expired := 0
		for _, e := range results(is, s, st.Job.ID, 12) {
			if e.Error != nil && e.Error.Code == string(fault.CodeDeadlinePassed) {
				expired++
			}
		}
		is.Equal(expired, 8) // two rounds of two items fit into ten minutes
		a.stop()
		<-a.ended
	})
}
