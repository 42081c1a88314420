package batch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tarragonwalk/core/background"
	"tarragonwalk/core/claim"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/objectstore"
)

// objects is the part of the object store's client that Runner uses.
type objects interface {
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error)
	Delete(ctx context.Context, key string, ifVersion int64) error
	List(ctx context.Context, prefix, after string, limit int) (entries []objectstore.Entry, revision int64, err error)
}

// dispatcher runs one item. BatchSlots is the total of batch streams, those in flight included, that this instance may
// have for a deployment; BatchOwners names the live instances that own a backend server of the deployment for batch work.
type dispatcher interface {
	Run(ctx context.Context, r *inference.Request, on func(inference.Event) error) error
	BatchSlots(deployment string) int
	BatchOwners(deployment string) []string
}

// members gives the live entry instances.
type members interface {
	Live(at time.Time) []membership.Instance
}

// recorder counts the items of published chunks.
type recorder interface {
	CountPublished(deployment string, items int, deadline, at time.Time)
}

const (
	// maxViewAge is how old the view of the open-job index may be when an item starts. Together with the 1 s of a peer exchange,
	// a cancellation takes effect within 4 s.
	maxViewAge = 3 * time.Second
	// claimantsPerJob is how many instances work on a job, so that claim attempts do not grow with the fleet. If there are
	// fewer jobs than batch owners, each job has proportionally more, so that all batch owners find work.
	claimantsPerJob = 8
	// maxExpiringChunks bounds the chunks of overdue jobs that are held at the same time; their items need no batch slot.
	maxExpiringChunks = 4
	// idleTime is the pause of the main loop when there is nothing to claim.
	idleTime = 250 * time.Millisecond
	// lingerTime is how long finished items may still be published after the runner's context ends.
	lingerTime = 3 * time.Second
	// releaseTime bounds the release of a claim and the removal of the session after the runner's context ends.
	releaseTime = 2 * time.Second
)

// Runner claims chunks of open jobs, runs their items and publishes the results.
type Runner struct {
	objects     objects
	dispatcher  dispatcher
	members     members
	recorder    recorder
	name        string
	incarnation string
	now         func() time.Time
	log         *slog.Logger
	session     *session
	// tracker decides when claims may be taken over; it is used by the main loop only.
	tracker *claim.SessionTracker
	// sessions are the sessions of all instances by name, listed next at listAt; both are used by the main loop only.
	sessions map[string]sessionState
	listAt   time.Time
	chunks   background.Tasks

	// mu protects the fields below. It is never held during a call to the store or the dispatcher.
	mu          sync.Mutex
	random      *rand.Rand
	jobs        map[string]*knownJob
	canceled    map[string]time.Time
	digest      int64
	revision    int64
	confirmedAt time.Time
	freshUntil  atomic.Int64 // Unix nanoseconds, read without mu
	// running counts the items in flight, unfinished the items of held chunks that have no result, and itemTime is the moving
	// average of an item's duration, each by deployment.
	running    map[string]int
	unfinished map[string]int
	itemTime   map[string]time.Duration
	// waiting holds a ticket for each item that waits for a batch slot, in order and by deployment; tickets counts them.
	waiting map[string][]int
	tickets int
	// held counts the held chunks by workspace, heldTotal all of them.
	held      map[string]int
	heldTotal int
	// lastTurn is the number of the last claim by workspace, turns the number of claims so far.
	lastTurn map[string]int
	turns    int
	// changed is closed and replaced to wake the main loop and the items that wait for a slot.
	changed chan struct{}
}

// New returns a runner with the name and incarnation of its instance.
func New(
	o objects, d dispatcher, m members, c recorder, name, incarnation string, now func() time.Time, random *rand.Rand,
	log *slog.Logger,
) *Runner {
	return &Runner{
		objects:     o,
		dispatcher:  d,
		members:     m,
		recorder:    c,
		name:        name,
		incarnation: incarnation,
		now:         now,
		log:         log,
		session: &session{
			objects:     o,
			name:        name,
			incarnation: incarnation,
			now:         now,
			semaphore:   make(chan struct{}, 1),
		},
		tracker:    claim.New(),
		sessions:   make(map[string]sessionState),
		random:     random,
		jobs:       make(map[string]*knownJob),
		canceled:   make(map[string]time.Time),
		running:    make(map[string]int),
		unfinished: make(map[string]int),
		waiting:    make(map[string][]int),
		itemTime:   make(map[string]time.Duration),
		held:       make(map[string]int),
		lastTurn:   make(map[string]int),
		changed:    make(chan struct{}),
	}
}

// Run works on the observed jobs until ctx ends, then stops items, releases claims and removes the session. It returns
// within a few seconds after that.
func (r *Runner) Run(ctx context.Context) {
	var renewal background.Tasks
	renewal.Go(func() { r.renew(ctx) })
	for ctx.Err() == nil {
		changed := r.changes()
		if r.step(ctx) {
			continue
		}
		t := time.NewTimer(idleTime)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	r.chunks.Wait()
	renewal.Wait()
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTime)
	defer cancel()
	if err := r.session.remove(end); err != nil {
		r.log.Warn("cannot remove the session", "error", err)
	}
}

// renew renews the session while the runner holds claims, also after ctx ends until the last chunk is released.
func (r *Runner) renew(ctx context.Context) {
	t := time.NewTicker(claim.Renewal / 5)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		heldTotal := r.heldTotal
		r.mu.Unlock()
		if heldTotal == 0 {
			continue
		}
		if err := r.session.ensure(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("cannot renew the session", "error", err)
		}
	}
}

// changes returns a channel that is closed at the next notify.
func (r *Runner) changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.changed
}

// notify wakes the main loop and waiting items; the caller holds mu.
func (r *Runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// jitter returns a random duration between half of d and d.
func (r *Runner) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return d/2 + time.Duration(r.random.Int64N(int64(d/2)+1))
}

// sleep waits for d or until ctx ends and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}

	return ctx.Err() == nil
}
