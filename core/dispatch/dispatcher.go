package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/admission"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/latency"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
	"tarragonwalk/core/retry"
	"tarragonwalk/core/routing"
)

const (
	retryRatio = 0.10
	hedgeRatio = 0.02
	// retryBurst lets all streams of one lost backend server continue at once.
	retryBurst = 64
	hedgeBurst = 8
	// maxAttempts keeps one request that fails on every server from spending the whole retry budget.
	maxAttempts = 8
	// avoidLeaving is how long a backend server gets no work after it has refused a request because it is leaving; the instance
	// list shows that only later.
	avoidLeaving = 5 * time.Second
	// cancelTimeout bounds the message that ends a stream on a backend server.
	cancelTimeout = time.Second
	cancelLimit   = 256
	// pollInterval is the time between checks for slots that became free by a change of configuration or membership.
	pollInterval = 250 * time.Millisecond
)

type engine interface {
	Stream(ctx context.Context, a netip.AddrPort, r *inference.Request, on func(inference.Event) error) error
	Cancel(ctx context.Context, a netip.AddrPort, stream string) error
}

type configurations interface {
	Current() *configuration.Configuration
}

type members interface {
	Usable(name string, at time.Time) bool
	Live(at time.Time) []membership.Instance
}

type picker interface {
	Pick(
		c *configuration.Configuration, r *inference.Request, excluded map[string]bool, at time.Time,
	) (string, bool)
}

// Dispatcher runs online and batch requests on the backend servers of their deployments.
type Dispatcher struct {
	engine          engine
	configuration   configurations
	members         members
	self            membership.Instance
	notify          func(batchOwner string, count message.OnlineCount)
	now             func() time.Time
	queueWait       time.Duration
	cancelSlots     chan struct{}
	hedgingDisabled bool

	// mu guards all fields below.
	mu         sync.Mutex
	admission  *admission.Controller
	latency    *latency.Tracker
	router     picker
	retries    *retry.Budget
	hedges     *retry.Budget
	lastID     uint64
	waiting    map[uint64]*ticket
	batch      []*ticket
	running    map[uint64]context.CancelCauseFunc
	avoidUntil map[string]time.Time
	reportedAt map[string]time.Time
	// heard are the online requests of this instance that the batch owner of each backend server has answered to know, and startedAt
	// is when the last one was started.
	heard           map[string]heardCount
	startedAt       map[string]time.Time
	batchOwnerCache batchOwnerCache
	polledAt        time.Time
	outbox          []notice
	// batchCondition is set before use and keeps batch streams waiting while it is false.
	batchCondition func(at time.Time) bool
}

type notice struct {
	batchOwner string
	count      message.OnlineCount
}

// New returns a dispatcher for the entry instance self. notify must not block; queueWait bounds the time in the queue; a
// backend server becomes a straggler if one of its streams has no event for longer than eventTimeout.
func New(
	e engine,
	c configurations,
	m members,
	self membership.Instance,
	notify func(batchOwner string, count message.OnlineCount),
	now func() time.Time,
	random *rand.Rand,
	queueRequests, queueBytes int,
	queueWait, eventTimeout time.Duration,
	options ...func(*Dispatcher),
) *Dispatcher {
	d := &Dispatcher{
		engine:        e,
		configuration: c,
		members:       m,
		self:          self,
		notify:        notify,
		now:           now,
		queueWait:     queueWait,
		cancelSlots:   make(chan struct{}, cancelLimit),
		admission:     admission.New(queueRequests, queueBytes),
		latency:       latency.New(eventTimeout),
		retries:       retry.New(retryRatio, retryBurst, random),
		hedges:        retry.New(hedgeRatio, hedgeBurst, random),
		waiting:       map[uint64]*ticket{},
		running:       map[uint64]context.CancelCauseFunc{},
		avoidUntil:    map[string]time.Time{},
		reportedAt:    map[string]time.Time{},
		heard:         map[string]heardCount{},
		startedAt:     map[string]time.Time{},
	}
	d.router = routing.New(self.Zone, self.Region, d.usable, d.latency, d.onlineOn, d.admission.Online, d.instances, random)
	for _, o := range options {
		o(d)
	}

	return d
}

// SetBatchCondition sets a condition that is checked right before a batch stream starts or resumes. It must be called before any
// request runs, and the condition must not take a lock that is held during calls to the dispatcher.
func (d *Dispatcher) SetBatchCondition(condition func(at time.Time) bool) {
	d.batchCondition = condition
}

// Run streams a request to its end; on receives each event once and in order, and an error from it ends the request.
func (d *Dispatcher) Run(ctx context.Context, r *inference.Request, on func(inference.Event) error) error {
	ctx, cancel := withDeadline(ctx, r)
	defer cancel()
	s := newRequestState(r, on)
	d.countRequest()
	for {
		done, err := d.runOnce(ctx, s)
		if done {
			return err
		}
	}
}

func (d *Dispatcher) runOnce(ctx context.Context, s *requestState) (done bool, err error) {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t, err := d.acquire(attempt, cancel, s)
	if err != nil {
		return true, s.correctNotRun(err)
	}
	err = d.attempt(attempt, s, t)
	switch {
	case s.finished():
		return true, nil
	case s.callerError() != nil:
		return true, s.callerError()
	case ctx.Err() != nil:
		return true, s.correctNotRun(contextError(ctx))
	case context.Cause(attempt) == errPreempted: //nolint:errorlint // The cause is set by this package only.
		counters.Add("Preempted", 1)

		return false, nil
	}
	if err := d.awaitRetry(ctx, s, err, retryable(fault.CodeOf(err))); err != nil {
		return true, s.correctNotRun(err)
	}

	return false, nil
}

// Call sends a request to a plain service; call is repeated only if it is idempotent or no byte reached the service.
func (d *Dispatcher) Call(
	ctx context.Context, r *inference.Request, idempotent bool, call func(context.Context, netip.AddrPort) error,
) error {
	ctx, cancel := withDeadline(ctx, r)
	defer cancel()
	s := newRequestState(r, nil)
	d.countRequest()
	for {
		t, err := d.acquire(ctx, nil, s)
		if err != nil {
			return s.correctNotRun(err)
		}
		err = d.callOnce(ctx, t, call)
		if err == nil {
			return nil
		}
		s.recordFailure(t.server, err)
		if ctx.Err() != nil {
			return s.correctNotRun(err)
		}
		code := fault.CodeOf(err)
		mayRetry := code == fault.CodeBackendUnreachable || idempotent && retryable(code)
		if err := d.awaitRetry(ctx, s, err, mayRetry); err != nil {
			return s.correctNotRun(err)
		}
	}
}

func (d *Dispatcher) callOnce(
	ctx context.Context, t *ticket, call func(context.Context, netip.AddrPort) error,
) (err error) {
	st := serverStream{
		id:      t.id,
		server:  t.server,
		address: t.address,
		class:   inference.ClassOnline,
	}
	d.recordStart(t.state.request.Deployment, st)
	defer func() {
		if err == nil {
			d.recordToken(st)
		}
		d.release(st, err, ctx.Err() == nil)
	}()

	if ctx.Err() != nil {
		return contextError(ctx)
	}

	return call(ctx, t.address)
}

// BatchSlots returns how many batch streams, including those in flight, this instance may have on the backend servers
// that it owns for batch work.
func (d *Dispatcher) BatchSlots(deployment string) int {
	d.mu.Lock()
	defer d.unlock()
	at, c := d.now(), d.configuration.Current()
	n := 0
	for _, name := range d.ownedServers(c, deployment, at) {
		if d.usable(name, at) {
			n += d.admission.BatchFree(name, maxBatch(c, name), at) + d.admission.Batch(name)
		}
	}

	return n
}

// ObserveOnline records the online requests that another instance has in flight on backend servers, preempts batch streams
// above the new limits and starts requests that now have a slot.
func (d *Dispatcher) ObserveOnline(sender string, counts []message.OnlineCount, at time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.observeOnline(sender, counts, at)
}

func (d *Dispatcher) observeOnline(sender string, counts []message.OnlineCount, at time.Time) {
	c := d.configuration.Current()
	for _, n := range counts {
		d.admission.ObservePeer(sender, n.BackendServer, n.InFlight, at)
		d.preempt(c, n.BackendServer, at)
	}
	d.schedule(at)
}

// OnlineCounts returns this instance's online requests in flight on the backend servers that the receiver owns for batch work.
func (d *Dispatcher) OnlineCounts(receiver string, at time.Time) []message.OnlineCount {
	d.mu.Lock()
	defer d.unlock()
	batchOwners := d.batchOwners(d.configuration.Current(), at)
	var counts []message.OnlineCount
	for name, last := range d.reportedAt {
		n := d.admission.Online(name)
		if n == 0 && at.Sub(last) > reportZeroFor {
			delete(d.reportedAt, name)
			delete(d.startedAt, name)
			delete(d.heard, name)

			continue
		}
		if batchOwners[name] == receiver {
			counts = append(counts, message.OnlineCount{
				BackendServer: name,
				InFlight:      n,
			})
		}
	}

	return counts
}

// Snapshot returns this instance's streams in flight by backend server, and the number of queued online requests.
func (d *Dispatcher) Snapshot() (online, batch map[string]int, queued int) {
	d.mu.Lock()
	defer d.unlock()
	online, batch = map[string]int{}, map[string]int{}
	for name := range d.configuration.Current().BackendServers {
		if n := d.admission.Online(name); n > 0 {
			online[name] = n
		}
		if n := d.admission.Batch(name); n > 0 {
			batch[name] = n
		}
	}

	return online, batch, d.admission.Queued()
}

func (d *Dispatcher) countRequest() {
	counters.Add("Requests", 1)
	d.mu.Lock()
	defer d.unlock()
	d.retries.Request()
	d.hedges.Request()
}

// unlock releases mu and sends the notices that were collected under it.
func (d *Dispatcher) unlock() {
	out := d.outbox
	d.outbox = nil
	d.mu.Unlock()
	for _, n := range out {
		d.notify(n.batchOwner, n.count)
	}
}

func (d *Dispatcher) usable(name string, at time.Time) bool {
	return !at.Before(d.avoidUntil[name]) && d.members.Usable(name, at)
}

// onlineOn returns the online requests in flight on a backend server. While the batch owner does not know of the last request of this
// instance, the other instances may have filled the server, so that it counts as full.
func (d *Dispatcher) onlineOn(name string) int {
	at := d.now()
	if d.unheard(name, at) {
		return math.MaxInt
	}

	return d.admission.OnlineAll(name, at)
}

// instances returns the number of live entry instances in the own region.
func (d *Dispatcher) instances(at time.Time) int {
	d.batchOwners(d.configuration.Current(), at)

	return d.batchOwnerCache.regionInstances
}
