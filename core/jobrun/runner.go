package jobrun

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/background"
	"tarragonwalk/core/batchroom"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/feasibility"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/highmark"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
	"tarragonwalk/core/throughput"
	"tarragonwalk/core/work"
)

const (
	// stepInterval is how often slots are looked for and results are listed.
	stepInterval = 25 * time.Millisecond
	// IdleInterval is the time between two steps while this instance has no work.
	IdleInterval = 200 * time.Millisecond
	// acceptTimeout bounds the writes that accept a job.
	acceptTimeout = 3500 * time.Millisecond
	// verifyInterval is how often the store is read for results of one job that another instance may have listed. A result that
	// a caller has read must be visible at all instances within a second.
	verifyInterval = 700 * time.Millisecond
	// lateWriteWindow is how long after a takeover a write of the previous holder may still take effect.
	lateWriteWindow = 8 * time.Second
	// maxClockSkew is the allowed difference between the clocks of instances when ages are computed from another one's timestamp.
	maxClockSkew = 2 * time.Second
)

type joblog interface {
	Accept(ctx context.Context, j *work.Job, items []work.Item, written map[int]bool) (revision int64, err error)
	Job(ctx context.Context, id string) (*work.Job, int64, error)
	Accepted(ctx context.Context, id string) (bool, error)
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
	Send(ctx context.Context, s backend.Server, q *call.Call, after int64) (*response.Response, error)
}

type placer interface {
	RandomPoint() float64
	Batch(service string, urgent, late bool, at time.Time) (s backend.Server, release func(), ok bool)
	// BatchRoom returns what Batch would find.
	BatchRoom(service string, urgent, late bool, at time.Time) batchroom.Room
	// BatchOn is like Batch for one server, whether its slots are free or not.
	BatchOn(s backend.Server) (release func())
}

type roster interface {
	RecordAttempt(s backend.Server, err error, progressAt, at time.Time)
}

type promptParts interface {
	Quarantined(parts []string) (part string, until time.Time, ok bool)
	TrialDue(parts []string) bool
	RecordTrial(parts []string) (withdraw func())
	RecordWaiting(counts map[string]int)
	// MayRetry reports whether none of some parts is suspected of crashing servers.
	MayRetry(parts []string) bool
	RecordRefusal(kind string)
	RecordLoss(s backend.Server, prompt string, parts []string, at time.Time)
	RecordProgress(s backend.Server, sentAt, at time.Time)
	RecordAnswer(s backend.Server, parts []string, sentAt, at time.Time)
}

type routes interface {
	Current() (*route.Table, int64)
}

type cluster interface {
	Live() []string
	Alive(name, incarnation string, at time.Time) bool
	SuspectedSince(since, at time.Time) bool
	Paused(at time.Time) bool
	Isolated() bool
	// Unheard reports whether a live instance does not hear this one.
	Unheard() bool
	Waiting(route string, at time.Time) int
	RecordTakeover(incarnation, route string, tokens int, at time.Time)
	Takeovers(at time.Time) []gossip.TakenOver
	Progress(at time.Time) (sum map[string]gossip.BatchProgress, complete bool)
	// BatchContenders returns the numbers of other instances with queued items, and when the first of them was last heard from.
	BatchContenders(at time.Time) (onTime, late int, heardAt time.Time)
}

type reader interface {
	SetHolder(id, holder, incarnation string)
	Announced(id string) bool
	Read(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, error)
	ReadStore(ctx context.Context, id string, after int) (jobpage.Page, error)
	Body(ctx context.Context, id, workspace, item string) ([]byte, bool, error)
	// Check fails with code not_found if there is no such job or it is another workspace's.
	Check(ctx context.Context, id, workspace string) error
}

// Runner runs the jobs of one instance. It is safe for concurrent use.
type Runner struct {
	log     joblog
	sender  sender
	placer  placer
	roster  roster
	routes  routes
	cluster cluster
	reader  reader
	parts   promptParts
	// sharedParts returns the prompt parts that an item with the given headers may share with others.
	sharedParts func(headers map[string]string) []string
	budget      *bytebudget.Budget
	name        string
	incarnation string
	keepFor     time.Duration
	// pendingRoom is the fraction of a route's limit by which jobs that are being written may exceed it.
	pendingRoom float64
	now         func() time.Time
	logger      *slog.Logger
	tasks       background.Tasks
	// returned is how far results were returned to callers.
	returned *highmark.Table

	// lock guards all fields below; it is not held during calls to the store or to backend servers.
	lock sync.Mutex
	// jobs are those that this instance holds, unresolved those whose submission has an unknown outcome.
	jobs       map[string]*job
	unresolved map[string]*job
	// submitting are the jobs whose objects are being written.
	submitting map[string]*submission
	// completed are jobs whose tokens count here until an instance announces that it holds them.
	completed map[string]completedJob
	// ended are the ended jobs that this instance announces, peerEnds those that other instances announce; each is kept until
	// the given time. A takeover checks both, since a job may end after the takeover has read the store.
	ended    map[string]time.Time
	peerEnds map[string]time.Time
	// held are the jobs that this instance announces as its own, claimed those whose record names it and whose items it has not read.
	held    map[string]time.Time
	claimed map[string]time.Time
	// heartbeats counts the heartbeats that were filled in.
	heartbeats int
	// queued counts the items that found no free slot at the last attempt and may still be in time, queuedLate the others.
	queued     int
	queuedLate int
	// queuedOf counts the items of queued by route.
	queuedOf map[string]int
	// trials are the trials of quarantined parts that are in progress; this instance begins no other one meanwhile.
	trials map[trialKey]*trialRun
	// received counts the events of items, and estimator observes the progress of the fleet.
	received  *throughput.Meter
	estimator *feasibility.Estimator
	// refused are the times at which jobs that were refused as infeasible were first submitted, here or to another instance; refusedHere
	// are those that this instance announces.
	refused     map[string]time.Time
	refusedHere map[string]time.Time
	// observedAt is when the fleet's progress was last observed.
	observedAt time.Time
	// released are the jobs without a holder that this instance announces, orphans all those that it knows of.
	released map[string]time.Time
	orphans  map[string]*orphan
	stopping bool
	runTime  estimate
	waits    waitLog
	wake     chan struct{}
}

// New returns a runner for the instance name; sharedParts returns the prompt parts that an item may share with others, budget bounds the output of items that is being received; jobs stay readable for keepFor after their submission, and
// pendingRoom is the fraction of a route's limit of waiting tokens by which jobs that are being written may exceed it.
func New(l joblog, s sender, p placer, ro roster, rt routes, c cluster, rd reader, parts promptParts,
	sharedParts func(headers map[string]string) []string, budget *bytebudget.Budget, name, incarnation string,
	keepFor time.Duration, pendingRoom float64, now func() time.Time, logger *slog.Logger,
) *Runner {
	return &Runner{
		log:         l,
		sender:      s,
		placer:      p,
		roster:      ro,
		routes:      rt,
		cluster:     c,
		reader:      rd,
		parts:       parts,
		sharedParts: sharedParts,
		budget:      budget,
		name:        name,
		incarnation: incarnation,
		keepFor:     keepFor,
		pendingRoom: pendingRoom,
		now:         now,
		logger:      logger,
		returned:    highmark.New(now),
		jobs:        map[string]*job{},
		unresolved:  map[string]*job{},
		submitting:  map[string]*submission{},
		completed:   map[string]completedJob{},
		ended:       map[string]time.Time{},
		peerEnds:    map[string]time.Time{},
		held:        map[string]time.Time{},
		claimed:     map[string]time.Time{},
		released:    map[string]time.Time{},
		orphans:     map[string]*orphan{},
		wake:        make(chan struct{}, 1),
		queuedOf:    map[string]int{},
		received:    throughput.New(),
		refused:     map[string]time.Time{},
		refusedHere: map[string]time.Time{},
		trials:      map[trialKey]*trialRun{},
		estimator:   feasibility.New(),
		waits: waitLog{
			grantedAt: map[string]time.Time{},
		},
	}
}

// Run starts waiting items on free slots and lists results until ctx ends. While there is no work it waits for idle ticks, which are to
// come every IdleInterval.
func (r *Runner) Run(ctx context.Context, idleTicks <-chan time.Time) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	ticks, idle := t.C, false
	for {
		select {
		case <-ticks:
		case <-r.wake:
		case <-ctx.Done():
			r.tasks.Wait()

			return
		}
		r.step(ctx)
		if r.idle() != idle {
			idle = !idle
			if idle {
				t.Stop()
				ticks = idleTicks
			} else {
				t.Reset(stepInterval)
				ticks = t.C
			}
		}
	}
}

// idle reports whether this instance has no job to run, to take over or to finish.
func (r *Runner) idle() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.stopping || len(r.unresolved)+len(r.orphans) > 0 {
		return false
	}
	for _, j := range r.jobs {
		if !j.Finished || j.doubtedBy != "" {
			return false
		}
	}

	return true
}

// End ends a job at the caller's request; it fails if the end is not recorded in the store, and with code not_found for a job of another
// workspace or, if the caller has one, for one that does not exist.
func (r *Runner) End(ctx context.Context, id, workspace string) error {
	err := r.check(ctx, id, workspace)
	if err == nil {
		err = r.log.End(ctx, id, r.now())
	}
	r.logger.Info("job end requested", "job", id, "workspace", workspace, "error", errorText(err))
	if err != nil {
		return err
	}
	r.StopEnded(id)

	return nil
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

// Preempt stops up to count items on a server: late ones first, then those with the most time left. A stopped item resumes
// later after its last event.
func (r *Runner) Preempt(server string, count int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	at := r.now()
	var list []candidate
	for _, j := range r.jobs {
		rt := r.routeOf(j)
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

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}

	return err.Error()
}
