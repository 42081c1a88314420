package virtualfleet

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"tarragonwalk/core/addresses"
	"tarragonwalk/core/backend"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/cluster"
	"tarragonwalk/core/duties"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/heartbeat"
	"tarragonwalk/core/isolation"
	"tarragonwalk/core/joblog"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/jobread"
	"tarragonwalk/core/jobrun"
	"tarragonwalk/core/load"
	"tarragonwalk/core/placement"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/core/quota"
	"tarragonwalk/core/response"
	"tarragonwalk/core/roster"
	"tarragonwalk/core/route"
)

const (
	// beat is the time between two beats of a process, and seeds the number of instances that each knows from the start.
	beat  = 100 * time.Millisecond
	seeds = 2
	// maxTransit is the longest delay of a message, and inboxSize the number of heartbeats that wait for a process.
	maxTransit = 12 * time.Millisecond
	inboxSize  = 512
	// dialTimeout and callTimeout are those of io/peersync.
	dialTimeout = 500 * time.Millisecond
	callTimeout = time.Second
	// eventInterval is the time between two events of an item, and maxEvents the largest number of events.
	eventInterval = 600 * time.Millisecond
	maxEvents     = 8
	// keepFor is how long jobs stay readable.
	keepFor = time.Hour
)

// instance is an entry instance; the fleet's lock guards the fields after peer.
type instance struct {
	fleet   *Fleet
	index   int
	name    string
	zone    string
	peer    netip.AddrPort
	process *process
	// frozenUntil is until when the process does nothing, freeze for how long it will do nothing at its next write of a kind.
	frozenUntil time.Time
	freeze      map[string]time.Duration
	// withoutStore counts the faults that keep the instance from the store.
	withoutStore int
}

// process is one incarnation of an instance. Its methods are the dependencies of the core packages.
type process struct {
	instance   *instance
	ctx        context.Context
	cancel     context.CancelFunc
	cluster    *cluster.Cluster
	runner     *jobrun.Runner
	addresses  *addresses.Exchanger
	duties     *duties.Duties
	heartbeats *heartbeat.Exchanger
	isolation  *isolation.Checker
	inbox      chan *gossip.Heartbeat
	storeLost  atomic.Bool
	tasks      *sync.WaitGroup
	beats      []beats
}

// beats are the ticks of a task.
type beats struct {
	every int
	ticks chan time.Time
}

func newProcess(i *instance, incarnation string, random *rand.Rand) *process {
	f, at := i.fleet, time.Now()
	p := &process{
		instance: i,
		inbox:    make(chan *gossip.Heartbeat, inboxSize),
		tasks:    &f.tasks,
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	log := f.log.With("instance", i.name, "incarnation", incarnation)
	p.cluster = cluster.New(gossip.Member{
		Name:        i.name,
		Incarnation: incarnation,
		Zone:        i.zone,
		Region:      "r",
		Caller:      i.peer,
		Peer:        i.peer,
		Ready:       true,
		Millicores:  1000,
	}, at, log)
	loads := load.New()
	servers := roster.New(i.name, i.zone, loads, log)
	servers.Observe(f.servers, 1, false, at)
	regions := map[string]string{}
	for _, s := range f.servers {
		regions[s.Zone] = "r"
	}
	placer := placement.New(i.name, i.zone, regions, servers, loads, p.cluster, random)
	parts := quarantine.New(p, time.Now, log)
	jobs := joblog.New(p)
	p.runner = jobrun.New(jobs, sender{process: p}, placer, servers, p, p.cluster, jobread.New(jobs, p.cluster, p, log, time.Now), parts,
		func(map[string]string) []string { return nil }, bytebudget.New(math.MaxInt), i.name, incarnation, keepFor, 0, time.Now, log)
	p.duties = duties.New(p.cluster, p.runner, p.storeLost.Load, time.Now, log)
	p.addresses = addresses.New(p, "entry-instances", p.cluster, p, log)
	quotas := quota.New(i.zone, p.cluster, random, at, log)
	p.heartbeats = heartbeat.New(p.cluster, loads, p.runner, parts, quotas, servers, p, placer, p,
		func() time.Time { return time.Time{} }, time.Now, p.storeLost.Load, time.Now)
	p.isolation = isolation.New(p.cluster, p, p.addresses, time.Now, log)

	return p
}

// start runs the tasks of the process until it is killed.
func (p *process) start() {
	p.IntroduceSeeds()
	for _, run := range []func(){
		func() { p.receive() },
		func() { p.heartbeats.Run(p.ctx, p.every(heartbeat.RelayInterval)) },
		func() { p.addresses.Run(p.ctx, p.every(beat)) },
		func() { p.runner.Run(p.ctx, p.every(jobrun.IdleInterval)) },
		func() { p.duties.Expire(p.ctx, p.every(duties.Interval)) },
		func() { p.duties.SearchOrphans(p.ctx, p.every(duties.Interval)) },
		func() { p.isolation.Run(p.ctx) },
	} {
		p.tasks.Go(run)
	}
	p.tasks.Go(p.run)
}

// every returns the ticks of a task; it is called before the first beat.
func (p *process) every(period time.Duration) <-chan time.Time {
	ticks := make(chan time.Time, 1)
	p.instance.fleet.lock.Lock()
	defer p.instance.fleet.lock.Unlock()
	p.beats = append(p.beats, beats{
		every: int(period / beat),
		ticks: ticks,
	})

	return ticks
}

// run beats until the process is killed, except while it is frozen.
func (p *process) run() {
	f := p.instance.fleet
	time.Sleep(f.delay(beat))
	for n := 0; p.ctx.Err() == nil; n++ {
		p.pass()
		f.lock.Lock()
		for _, b := range p.beats {
			if n%b.every == 0 {
				select {
				case b.ticks <- time.Now():
				default:
				}
			}
		}
		f.lock.Unlock()
		time.Sleep(beat)
	}
}

// pass returns once the process is not frozen.
func (p *process) pass() {
	for {
		f := p.instance.fleet
		f.lock.Lock()
		wait := time.Until(p.instance.frozenUntil)
		f.lock.Unlock()
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *process) freezeAtWrite(kind string) {
	p.instance.fleet.lock.Lock()
	defer p.instance.fleet.lock.Unlock()
	if d, ok := p.instance.freeze[kind]; ok {
		delete(p.instance.freeze, kind)
		p.instance.frozenUntil = time.Now().Add(d)
	}
}

func (p *process) receive() {
	for {
		select {
		case b := <-p.inbox:
			p.pass()
			p.heartbeats.HandleHeartbeat(b)
		case <-p.ctx.Done():
			return
		}
	}
}

// Send implements the transport of heartbeats.
func (p *process) Send(b *gossip.Heartbeat, to []netip.AddrPort) {
	p.pass()
	if p.ctx.Err() != nil || len(to) == 0 {
		return
	}
	message, err := p.instance.fleet.codec.Encode(b)
	if err != nil {
		panic(err)
	}
	for _, a := range to {
		p.instance.fleet.send(p.instance, message, a)
	}
}

// IntroduceSeeds passes the addresses of the first instances to the cluster.
func (p *process) IntroduceSeeds() {
	var list []netip.AddrPort
	for _, i := range p.instance.fleet.instances[:seeds] {
		list = append(list, i.peer)
	}
	p.cluster.Introduce(list, time.Now())
}

// Watching reports whether this instance watches the store for its zone.
func (p *process) Watching() bool { return p.duties.Watching() }

// NoteFleetSize is called with the number of instances in the store.
func (p *process) NoteFleetSize(listed int) { p.duties.NoteFleetSize(listed) }

// Current returns the route table.
func (p *process) Current() (*route.Table, int64) { return p.instance.fleet.table, 1 }

// ReadResults reads results of a job from another instance.
func (p *process) ReadResults(ctx context.Context, from netip.AddrPort, id, workspace string, after int, until time.Time) (jobpage.Page, bool, error) {
	type outcome struct {
		page jobpage.Page
		held bool
		err  error
	}
	unavailable := fault.New(fault.CodeUnavailable, "no answer from the peer")
	ctx, cancel := context.WithDeadline(ctx, until.Add(callTimeout))
	defer cancel()
	p.pass()
	f := p.instance.fleet
	q := f.connected(p.instance, from)
	if q == nil {
		select {
		case <-time.After(dialTimeout):
		case <-ctx.Done():
		}

		return jobpage.Page{}, false, unavailable
	}
	wait := max(0, time.Until(until))
	answer := make(chan outcome, 1)
	p.tasks.Go(func() {
		time.Sleep(f.delay(maxTransit))
		q.pass()
		serve, cancel := context.WithTimeout(q.ctx, wait+callTimeout)
		defer cancel()
		page, held, err := q.runner.ReadHeldResults(serve, id, workspace, after, time.Now().Add(wait))
		q.pass()
		if err != nil {
			err = fault.New(fault.CodeStoreUnavailable, "the holder cannot tell")
		}
		time.Sleep(f.delay(maxTransit))
		if f.connected(p.instance, from) == q {
			answer <- outcome{
				page: page,
				held: held,
				err:  err,
			}
		}
	})
	select {
	case o := <-answer:
		p.pass()
		if !o.held {
			o.err = nil
		}

		return o.page, o.held, o.err
	case <-ctx.Done():
		p.pass()

		return jobpage.Page{}, false, unavailable
	}
}

// ReadBody is not used.
func (*process) ReadBody(context.Context, netip.AddrPort, string, string, string) (body []byte, held bool, err error) {
	return nil, false, nil
}

// CheckJob is not used.
func (*process) CheckJob(context.Context, netip.AddrPort, string, string) (bool, error) {
	return false, nil
}

// Reachable reports whether a process accepts connections at an address.
func (p *process) Reachable(_ context.Context, a netip.AddrPort) bool {
	return p.instance.fleet.connected(p.instance, a) != nil
}

// Send runs an item on a backend server.
func (s sender) Send(ctx context.Context, _ backend.Server, q *call.Call, after int64) (*response.Response, error) {
	f := s.process.instance.fleet
	s.process.pass()
	if f.store.isListed(q.ID) {
		f.lock.Lock()
		f.repeated++
		f.lock.Unlock()
	}
	hash := fnv.New32()
	_, _ = hash.Write([]byte(q.ID))

	return &response.Response{
		Status: http.StatusOK,
		Body: &stream{
			ctx:   ctx,
			item:  q.ID,
			event: after,
			last:  1 + int64(hash.Sum32()%maxEvents),
		},
	}, nil
}

// sender sends the items of a process.
type sender struct {
	process *process
}

// stream is the response to an item.
type stream struct {
	ctx         context.Context
	item        string
	event, last int64
}

// Read returns the next event.
func (s *stream) Read(b []byte) (int, error) {
	if s.event >= s.last {
		return 0, io.EOF
	}
	select {
	case <-time.After(eventInterval):
	case <-s.ctx.Done():
		return 0, s.ctx.Err() //nolint:wrapcheck // like that of a connection
	}
	s.event++

	return copy(b, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", s.event, s.item, s.event)), nil
}

// Close ends the response.
func (*stream) Close() error { return nil }
