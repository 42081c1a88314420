package jobrun

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/answer"
	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

const (
	// tick is how often waiting items are offered places and results are listed.
	tick = 25 * time.Millisecond
	// acceptTimeout bounds the writes that accept a job.
	acceptTimeout = 3500 * time.Millisecond
	// newsLife is how long ended and released jobs are repeated to other instances.
	newsLife = 4 * time.Second
	// verifyInterval is how often the store is asked for results of one job that another instance may have listed.
	verifyInterval = 400 * time.Millisecond
	// lateWrites is how long after a takeover a write of the holder before may still take effect.
	lateWrites = 8 * time.Second
	// clockSkew is added before an item is given up by the time of another instance's clock.
	clockSkew = 2 * time.Second
)

type joblog interface {
	Accept(ctx context.Context, j *work.Job, items []work.Item) (revision int64, err error)
	Job(ctx context.Context, id string) (*work.Job, int64, error)
	Jobs(ctx context.Context) ([]work.Job, []int64, error)
	Update(ctx context.Context, j work.Job, revision int64) (newRevision int64, err error)
	Items(ctx context.Context, j *work.Job) ([]work.Item, error)
	Segment(ctx context.Context, id string, position int) ([]work.Result, error)
	Append(ctx context.Context, id string, position int, results []work.Result, writer string) error
	End(ctx context.Context, id string, at time.Time) error
	Ended(ctx context.Context, id string) (bool, error)
	Remove(ctx context.Context, j *work.Job, segments []int) error
}

type sender interface {
	Send(ctx context.Context, s backend.Server, q *call.Call, after int64) (*answer.Answer, error)
}

type placer interface {
	Point() float64
	Batch(service string, excluded map[string]bool, urgent bool, at time.Time) (s backend.Server, release func(), ok bool)
}

type roster interface {
	Failed(id, reason string, at time.Time)
	Succeeded(id string)
	Replaced(id string)
}

type routes interface {
	Current() (*route.Table, int64)
}

type cluster interface {
	Live() []string
	Alive(name, incarnation string, at time.Time) bool
	Doubted(since time.Time) bool
	Isolated() bool
	Waiting(route string) int
}

type reader interface {
	Read(ctx context.Context, id string, after int, until time.Time) (jobpage.Page, error)
	Body(ctx context.Context, id, item string) ([]byte, bool, error)
}

// Runner is safe for concurrent use.
type Runner struct {
	log         joblog
	sender      sender
	placer      placer
	roster      roster
	routes      routes
	cluster     cluster
	reader      reader
	name        string
	incarnation string
	keepFor     time.Duration
	now         func() time.Time
	logger      *slog.Logger
	tasks       conc.WaitGroup

	// lock guards all fields below; it is not held during calls to the store or to backend servers.
	lock      sync.Mutex
	jobs      map[string]*job
	unsettled map[string]*job
	// submitting counts submissions whose objects are being written.
	submitting map[string]int
	ended      map[string]time.Time
	released   map[string]time.Time
	orphans    map[string]time.Time
	stopping   bool
	pace       estimate
	wake       chan struct{}
}

// New returns a runner for the instance name; jobs stay readable for keepFor after their submission.
func New(l joblog, s sender, p placer, ro roster, rt routes, c cluster, rd reader, name, incarnation string,
	keepFor time.Duration, now func() time.Time, logger *slog.Logger,
) *Runner {
	return &Runner{
		log:         l,
		sender:      s,
		placer:      p,
		roster:      ro,
		routes:      rt,
		cluster:     c,
		reader:      rd,
		name:        name,
		incarnation: incarnation,
		keepFor:     keepFor,
		now:         now,
		logger:      logger,
		jobs:        map[string]*job{},
		unsettled:   map[string]*job{},
		submitting:  map[string]int{},
		ended:       map[string]time.Time{},
		released:    map[string]time.Time{},
		orphans:     map[string]time.Time{},
		wake:        make(chan struct{}, 1),
	}
}

// Run offers places to waiting items and lists results until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-r.wake:
		case <-ctx.Done():
			r.tasks.Wait()

			return
		}
		r.step(ctx)
	}
}

// Submit accepts a job. Code overloaded: its tokens do not fit the route's limit; store_unavailable: nothing was done;
// outcome_unknown: the job may have been accepted. A job that was accepted before is accepted again.
func (r *Runner) Submit(ctx context.Context, rt *route.Route, j work.Job, items []work.Item) error {
	j.Holder = r.name
	j.Incarnation = r.incarnation
	j.Items = len(items)
	r.lock.Lock()
	held := r.jobs[j.ID] != nil
	_, open := r.unsettled[j.ID]
	tokens := r.waitingTokens(rt.Name)
	stopping := r.stopping
	r.lock.Unlock()
	if held {
		return nil
	}
	if open {
		return fault.New(fault.CodeOutcomeUnknown, "an earlier submission of the job is not settled yet")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	peers := r.cluster.Waiting(rt.Name)
	if rt.MaxTokens > 0 && tokens+peers+j.Tokens > rt.MaxTokens || stopping {
		return r.refuse(ctx, rt, &j, tokens+peers, stopping)
	}
	r.countSubmission(j.ID, 1)
	defer r.countSubmission(j.ID, -1)
	revision, err := r.log.Accept(ctx, &j, items)
	r.logger.Info("job submitted", "job", j.ID, "route", rt.Name, "items", j.Items, "tokens", j.Tokens, "waiting_own", tokens,
		"waiting_peers", peers, "parts", j.Parts, "error", text(err))
	n := newJob(j, items)
	n.revision = revision
	settled := n.changed
	switch fault.CodeOf(err) {
	case "":
		r.lock.Lock()
		r.jobs[j.ID] = n
		r.signal()
		r.lock.Unlock()

		return nil
	case fault.CodeConflict:
		return nil
	case fault.CodeOutcomeUnknown:
		r.lock.Lock()
		r.unsettled[j.ID] = n
		r.signal()
		r.lock.Unlock()
		select {
		case <-settled:
			return nil
		case <-ctx.Done():
			return err
		}
	default:
		return err
	}
}

func (r *Runner) countSubmission(id string, n int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.submitting[id] += n
	if r.submitting[id] == 0 {
		delete(r.submitting, id)
	}
}

// refuse answers a job that does not fit, unless it was accepted before.
func (r *Runner) refuse(ctx context.Context, rt *route.Route, j *work.Job, tokens int, stopping bool) error {
	_, _, err := r.log.Job(ctx, j.ID)
	if err == nil {
		return nil
	}
	if fault.CodeOf(err) != fault.CodeNotFound {
		return err
	}
	r.logger.Info("job refused", "job", j.ID, "route", rt.Name, "tokens", j.Tokens, "waiting", tokens, "limit", rt.MaxTokens,
		"stopping", stopping)
	if stopping {
		return fault.New(fault.CodeNotRun, "the instance is stopping")
	}

	return fault.New(fault.CodeOverloaded, "the job does not fit the tokens that may wait on its route")
}

// Read returns results of a job from a position on and waits for one until the given time; code not_found if there is no
// such job, store_unavailable if that is not sure.
func (r *Runner) Read(ctx context.Context, id string, after int, until time.Time) (jobpage.Page, error) {
	page, held := r.ReadHeld(ctx, id, after, until)
	if held {
		return page, nil
	}
	if ctx.Err() != nil {
		return jobpage.Page{}, ctx.Err()
	}

	return r.reader.Read(ctx, id, after, until)
}

// ReadHeld is Read for a job that this instance holds; false if it does not, or if ctx has ended.
func (r *Runner) ReadHeld(ctx context.Context, id string, after int, until time.Time) (jobpage.Page, bool) {
	for {
		r.lock.Lock()
		j := r.jobs[id]
		if j == nil {
			r.lock.Unlock()

			return jobpage.Page{}, false
		}
		total, results, changed := j.Items, j.results, j.changed
		r.lock.Unlock()
		wait := until.Sub(r.now())
		if len(results) > after || len(results) >= total {
			return jobpage.Cut(total, results, after), true
		}
		if wait <= 0 {
			return r.readDoubted(ctx, j, after)
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return jobpage.Page{}, false
		}
	}
}

// readDoubted answers a read for which there is no result in memory. If another instance may have listed results of the job, it
// looks at the store first; false if that fails.
func (r *Runner) readDoubted(ctx context.Context, j *job, after int) (jobpage.Page, bool) {
	at := r.now()
	r.lock.Lock()
	position := len(j.results)
	doubted := r.cluster.Doubted(j.verifiedAt) || at.Before(j.doubtedUntil)
	recent := at.Sub(j.verifiedAt) < verifyInterval
	r.lock.Unlock()
	if doubted && !recent {
		found, err := r.log.Segment(ctx, j.ID, position)
		if err != nil {
			return jobpage.Page{}, false
		}
		if len(found) > 0 {
			r.logger.Warn("results of another instance found", "job", j.ID, "position", position, "results", len(found))
			r.checkHolder(ctx, j)
		}
		r.lock.Lock()
		if len(j.results) == position {
			j.list(found)
		}
		j.verifiedAt = at
		r.lock.Unlock()
	}
	r.lock.Lock()
	defer r.lock.Unlock()

	return jobpage.Cut(j.Items, j.results, after), true
}

// Body returns the body of an item that is not listed yet; false if there is no such item.
func (r *Runner) Body(ctx context.Context, id, name string) ([]byte, bool, error) {
	r.lock.Lock()
	if j := r.jobs[id]; j != nil {
		for _, it := range j.items {
			if it.ID == name && it.Body != nil {
				body := it.Body
				r.lock.Unlock()

				return body, true, nil
			}
		}
	}
	r.lock.Unlock()

	return r.reader.Body(ctx, id, name)
}

// End ends a job for good; it fails if the store does not record that.
func (r *Runner) End(ctx context.Context, id string) error {
	err := r.log.End(ctx, id, r.now())
	r.logger.Info("job end requested", "job", id, "error", text(err))
	if err != nil {
		return err
	}
	r.Ended(id)

	return nil
}

// Ended stops a job that its caller has ended.
func (r *Runner) Ended(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if _, known := r.ended[id]; !known {
		r.ended[id] = r.now().Add(newsLife)
	}
	j := r.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	n := 0
	for _, it := range j.items {
		if it.cancel != nil {
			it.cancel(errEnded)
			n++
		}
	}
	j.notify()
	r.logger.Info("job ended", "job", id, "listed", len(j.results), "items", j.Items, "stopped", n)
}

// News returns the jobs that were ended or released a short while ago, and the waiting tokens by route.
func (r *Runner) News() (ended, released []string, tokens map[string]int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	at := r.now()
	tokens = map[string]int{}
	for _, j := range r.jobs {
		if rt := r.routeOf(&j.Job); rt != nil {
			tokens[rt.Name] += j.waitingTokens()
		}
	}

	return current(r.ended, at), current(r.released, at), tokens
}

// Backlog returns how many jobs this instance holds, and their waiting and running items.
func (r *Runner) Backlog() (jobs, waitingItems, runningItems int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		for _, it := range j.items {
			switch it.state {
			case waiting:
				waitingItems++
			case running:
				runningItems++
			case done:
			}
		}
	}

	return len(r.jobs), waitingItems, runningItems
}

// Preempt stops up to count items on a server, those that are late first and then those with the most time left; they are
// continued later after their last event.
func (r *Runner) Preempt(server string, count int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	at := r.now()
	var list []candidate
	for _, j := range r.jobs {
		rt := r.routeOf(&j.Job)
		for _, it := range j.items {
			if rt == nil || it.state != running || it.server != server || it.cancel == nil {
				continue
			}
			due := j.due(rt)
			list = append(list, candidate{
				job:  j,
				item: it,
				due:  due,
				late: r.late(it, due, at),
			})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareCandidates(b, a), b.item.startedAt.Compare(a.item.startedAt))
	})
	for _, c := range list[:min(count, len(list))] {
		r.logger.Info("item preempted", "job", c.job.ID, "item", c.item.ID, "server", server, "last_event", c.item.last, "due", c.due,
			"late", c.late)
		c.item.cancel(errPreempted)
		c.item.cancel = nil
	}
}

func (r *Runner) waitingTokens(name string) int {
	n := 0
	for _, jobs := range []map[string]*job{r.jobs, r.unsettled} {
		for _, j := range jobs {
			if rt := r.routeOf(&j.Job); rt != nil && rt.Name == name {
				n += j.waitingTokens()
			}
		}
	}

	return n
}

func (r *Runner) routeOf(j *work.Job) *route.Route {
	table, _ := r.routes.Current()
	if table == nil {
		return nil
	}
	rt := table.Find(j.Host, j.Target)
	if rt == nil || rt.Kind != route.KindBatch {
		return nil
	}

	return rt
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// current drops what has expired and returns the rest.
func current(m map[string]time.Time, at time.Time) []string {
	var list []string
	for id, until := range m {
		if at.After(until) {
			delete(m, id)
		} else {
			list = append(list, id)
		}
	}
	slices.Sort(list)

	return list
}

func text(err error) string {
	if err == nil {
		return ""
	}

	return err.Error()
}
