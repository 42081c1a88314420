package jobrun

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	clusters "tarragonwalk/core/cluster"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/jobread"
	"tarragonwalk/core/load"
	"tarragonwalk/core/placement"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
	"tarragonwalk/internal/fakeobjects"
)

const (
	// eventInterval is the time between two events of a stream at any load of its server.
	eventInterval = 70 * time.Millisecond
	itemEvents    = 78
	onlineEvents  = 11
	serverSlots   = 7
	itemsPerJob   = 10
	// slowAfter is the wait for a slot after which the first event of an online request comes late.
	slowAfter = 230 * time.Millisecond
	// zoneDelay and fleetDelay are the times in which counts reach the own and other availability zones.
	zoneDelay  = 25 * time.Millisecond
	fleetDelay = 150 * time.Millisecond
)

// loadPattern is a load on a simulated fleet.
type loadPattern struct {
	instances, zones, servers int
	// online is the mean number of slots that online requests use; in bursts it is peak times as many, between them rest times.
	online, peak, rest float64
	// jobs is the number of jobs a second, each of itemsPerJob items.
	jobs float64
	// traffic is how long requests and jobs arrive.
	traffic time.Duration
	// acceptAll says that instances do not know the progress of the fleet, so that they accept every job.
	acceptAll bool
	seed      uint64
}

// burst reports whether a burst lasts at a time since the start: 2.4 s in each 5.8 s.
func (p loadPattern) burst(since time.Duration) bool {
	return (since+2400*time.Millisecond)%(5800*time.Millisecond) < 2400*time.Millisecond
}

// loadResult is what became of the load.
type loadResult struct {
	jobs, refused                 int
	items, inTime, late, unlisted int
	requests, slow                int
	// preempted counts runs, events those that items received.
	preempted, events int64
	// slot times of runs by outcome, and of idle slots while requests arrived.
	slotsInTime, slotsLate, slotsPreempted, idle time.Duration
}

func (r loadResult) String() string {
	return fmt.Sprintf("%d jobs, %d refused; %d items, %d in time, %d late, %d not listed; %d requests, %d slow; %d runs preempted; slot seconds: "+
		"in time %.0f, late %.0f, preempted %.0f, idle %.0f", r.jobs, r.refused, r.items, r.inTime, r.late, r.unlisted, r.requests, r.slow,
		r.preempted, r.slotsInTime.Seconds(), r.slotsLate.Seconds(), r.slotsPreempted.Seconds(), r.idle.Seconds())
}

// engine is a backend server with a queue without priorities.
type engine struct {
	slots chan struct{}
}

// loadFleet is a simulated fleet: its instances run the real runner, placer, cluster and load table, and their counts reach the
// others with a delay.
type loadFleet struct {
	pattern   loadPattern
	servers   []backend.Server
	engines   map[string]*engine
	instances []*loadInstance
	regions   map[string]string
}

type loadInstance struct {
	fleet   *loadFleet
	cluster *clusters.Cluster
	loads   *load.Table
	placer  *placement.Placer
	runner  *Runner
	member  gossip.Member
	// sequence is that of the last heartbeat; lock guards it.
	sequence int
	lock     sync.Mutex
}

func (i *loadInstance) Live() []string {
	names := make([]string, 0, len(i.fleet.instances))
	for _, o := range i.fleet.instances {
		names = append(names, o.member.Name)
	}

	return names
}

func (i *loadInstance) Alive(string, string, time.Time) bool     { return true }
func (i *loadInstance) SuspectedSince(time.Time, time.Time) bool { return false }
func (i *loadInstance) Paused(time.Time) bool                    { return false }
func (i *loadInstance) Unheard() bool                            { return false }
func (i *loadInstance) Isolated() bool                           { return false }
func (i *loadInstance) Waiting(r string, at time.Time) int       { return i.cluster.Waiting(r, at) }

func (i *loadInstance) RecordTakeover(incarnation, rt string, tokens int, at time.Time) {
	i.cluster.RecordTakeover(incarnation, rt, tokens, at)
}

func (i *loadInstance) Takeovers(at time.Time) []gossip.TakenOver { return i.cluster.Takeovers(at) }

func (i *loadInstance) Progress(at time.Time) (sum map[string]gossip.BatchProgress, complete bool) {
	sum, complete = i.cluster.Progress(at)

	return sum, complete && !i.fleet.pattern.acceptAll
}

func (i *loadInstance) BatchContenders(at time.Time) (onTime, late int, heardAt time.Time) {
	return i.cluster.BatchContenders(at)
}

func (i *loadInstance) Holder(string, string) (a netip.AddrPort, ok bool) {
	return a, false
}

func (i *loadInstance) Usable(string, time.Time) []backend.Server { return i.fleet.servers }
func (i *loadInstance) UsableForItems(string, time.Time) []backend.Server {
	return i.fleet.servers
}
func (i *loadInstance) Probes(string, time.Time) []backend.Server { return nil }
func (i *loadInstance) BeginProbe(backend.Server, time.Time)      {}
func (i *loadInstance) RecordAttempt(backend.Server, error, time.Time, time.Time) {
}

func (i *loadInstance) MayStartBatch(server, zone string, late bool, at time.Time) bool {
	return i.cluster.MayStartBatch(server, zone, late, at)
}
func (i *loadInstance) UsesDigests() bool { return false }

func (i *loadInstance) Current() (*route.Table, int64) { return loadTable, 1 }

func (i *loadInstance) ReadResults(context.Context, netip.AddrPort, string, string, int, time.Time) (p jobpage.Page, held bool, err error) {
	return p, false, nil
}

func (i *loadInstance) ReadBody(context.Context, netip.AddrPort, string, string, string) (body []byte, held bool, err error) {
	return nil, false, nil
}

func (*loadInstance) CheckJob(context.Context, netip.AddrPort, string, string) (bool, error) {
	return false, nil
}

var loadTable = &route.Table{Version: 1, Routes: []route.Route{{
	Name: "jobs", Host: "h", Prefix: "/b/", Kind: route.KindBatch, MaxAttempts: 3, CompletionMillis: 18000,
	Shares: []route.Share{{Service: "s", Weight: 1}},
}}}

// Send runs an item on a server once it has a free slot.
func (i *loadInstance) Send(ctx context.Context, s backend.Server, q *call.Call, after int64) (*response.Response, error) {
	e := i.fleet.engines[s.ID]
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r, w := io.Pipe()
	go func() {
		defer func() { <-e.slots }()
		for n := after + 1; n <= itemEvents; n++ {
			select {
			case <-time.After(eventInterval):
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())

				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		}
		_ = w.Close()
	}()

	return &response.Response{Status: http.StatusOK, Body: r}, nil
}

// heartbeat returns the instance's state.
func (i *loadInstance) heartbeat() *gossip.Heartbeat {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.sequence++
	b := &gossip.Heartbeat{Sender: i.member, Sequence: i.sequence, Counts: i.loads.OwnCounts()}
	i.runner.FillHeartbeat(b)

	return b
}

// observe applies a heartbeat as an exchanger does.
func (i *loadInstance) observe(b *gossip.Heartbeat, at time.Time) {
	if !i.cluster.Observe(b, at) {
		return
	}
	zone := b.Sender.Zone
	if zone == i.member.Zone {
		zone = ""
	}
	i.loads.Observe(b.Sender.Name, zone, b.Counts, at)
}

// preemptExcess preempts own items on servers with more requests than slots.
func (i *loadInstance) preemptExcess(at time.Time) {
	for _, c := range i.loads.OwnCounts() {
		if c.Batch == 0 {
			continue
		}
		s := backend.Server{ID: c.Server, Slots: serverSlots}
		if n := i.placer.Excess(s, at); n > 0 {
			i.runner.Preempt(s.ID, n)
		}
	}
}

// online runs an online request and reports whether its first event came in time.
func (i *loadInstance) online(ctx context.Context) bool {
	at := time.Now()
	s, release, ok := i.placer.Online("s", nil, 2, at)
	if !ok {
		return false
	}
	defer release()
	if n := i.placer.Excess(s, at); n > 0 {
		i.runner.Preempt(s.ID, n)
	}
	e := i.fleet.engines[s.ID]
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	waited := time.Since(at)
	time.Sleep(onlineEvents * eventInterval)
	<-e.slots

	return waited < slowAfter
}

// play runs a load to its end on a fleet with simulated time.
func play(t *testing.T, p loadPattern) (result loadResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &loadFleet{pattern: p, engines: map[string]*engine{}, regions: map[string]string{}}
		zone := func(n int) string { return fmt.Sprint("z", n%p.zones) }
		for n := range p.servers {
			s := backend.Server{ID: fmt.Sprint("w", n), Zone: zone(n), Slots: serverSlots}
			f.regions[s.Zone] = "r"
			f.servers = append(f.servers, s)
			f.engines[s.ID] = &engine{slots: make(chan struct{}, serverSlots)}
		}
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(p.seed, 1))
		objects := fakeobjects.New()
		logger := slog.New(slog.DiscardHandler)
		var tasks sync.WaitGroup
		for n := range p.instances {
			name := fmt.Sprint("e", n)
			i := &loadInstance{fleet: f, member: gossip.Member{Name: name, Incarnation: "1", Zone: zone(n), Ready: true}, loads: load.New()}
			i.cluster = clusters.New(i.member, time.Now(), logger)
			i.placer = placement.New(name, i.member.Zone, f.regions, i, i.loads, i, rand.New(rand.NewPCG(p.seed, uint64(n)+2)))
			l := logs.New(objects)
			i.runner = New(l, i, i.placer, i, i, i, jobread.New(l, i, i, logger, time.Now), noQuarantine(), noSharedParts, noBudget(), name, "1", time.Hour, 0, time.Now, logger)
			f.instances = append(f.instances, i)
		}
		for _, i := range f.instances {
			tasks.Go(func() { i.runner.Run(ctx, time.Tick(IdleInterval)) })
			tasks.Go(func() { f.gossip(ctx, i) })
		}
		before := accountNow()
		start := time.Now()
		var lock sync.Mutex
		var requests sync.WaitGroup
		var jobs []*work.Job
		arrive := func(rate func(since time.Duration) float64, do func(n int)) {
			const step = 5 * time.Millisecond
			for n, due := 0, 0.0; time.Since(start) < p.traffic; time.Sleep(step) {
				for due += rate(time.Since(start)) * step.Seconds(); due >= 1; due-- {
					number := n
					requests.Go(func() { do(number) })
					n++
				}
			}
		}
		pick := func() *loadInstance {
			lock.Lock()
			defer lock.Unlock()

			return f.instances[random.IntN(len(f.instances))]
		}
		requests.Go(func() {
			arrive(func(since time.Duration) float64 {
				factor := p.rest
				if p.burst(since) {
					factor = p.peak
				}

				return p.online * factor / (onlineEvents * eventInterval).Seconds()
			}, func(int) {
				ok := pick().online(ctx)
				lock.Lock()
				defer lock.Unlock()
				result.requests++
				if !ok {
					result.slow++
				}
			})
		})
		requests.Go(func() {
			arrive(func(time.Duration) float64 { return p.jobs }, func(n int) {
				i, id := pick(), fmt.Sprint("job", n)
				j := work.Job{ID: id, Host: "h", Target: "/b/1", SubmittedAt: time.Now()}
				var items []work.Item
				for k := range itemsPerJob {
					items = append(items, work.Item{ID: fmt.Sprint(id, "-", k), Target: "/b/1", Tokens: 10})
				}
				err := i.runner.Submit(ctx, &loadTable.Routes[0], j, items)
				lock.Lock()
				defer lock.Unlock()
				result.jobs++
				if err != nil {
					result.refused++

					return
				}
				jobs = append(jobs, &j)
			})
		})
		done := make(chan struct{})
		tasks.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				for _, e := range f.engines {
					if time.Since(start) < p.traffic {
						result.idle += time.Duration(serverSlots-len(e.slots)) * 50 * time.Millisecond
					}
				}
			}
		})
		requests.Wait()
		time.Sleep(19 * time.Second)
		close(done)
		after := accountNow()
		l := logs.New(objects)
		result.items = itemsPerJob * len(jobs)
		for _, j := range jobs {
			listed := 0
			for {
				segment, err := l.Segment(ctx, j.ID, listed)
				if err != nil || len(segment) == 0 {
					break
				}
				listed += len(segment)
			}
			result.unlisted += itemsPerJob - listed
		}
		result.inTime = int(after["runs completed"] - before["runs completed"])
		result.late = int(after["runs completed_late"] - before["runs completed_late"])
		for name, n := range after {
			n -= before[name]
			switch outcome := strings.TrimPrefix(name, "slots "); {
			case strings.HasPrefix(name, "events "):
				result.events += n
			case outcome == outcomeInTime:
				result.slotsInTime = time.Duration(n) * time.Millisecond
			case outcome == outcomeLate:
				result.slotsLate = time.Duration(n) * time.Millisecond
			case outcome == string(fault.CodePreempted):
				result.slotsPreempted = time.Duration(n) * time.Millisecond
			}
		}
		result.preempted = after["runs preempted"] - before["runs preempted"]
		cancel()
		tasks.Wait()
	})

	return result
}

// gossip sends the instance's heartbeats: within its availability zone at once, to others with a delay.
func (f *loadFleet) gossip(ctx context.Context, i *loadInstance) {
	var delayed []*gossip.Heartbeat
	for round := 0; ctx.Err() == nil; round++ {
		b := i.heartbeat()
		at := time.Now()
		delayed = append(delayed, b)
		late := (*gossip.Heartbeat)(nil)
		if len(delayed) > int(fleetDelay/zoneDelay) {
			late, delayed = delayed[0], delayed[1:]
		}
		for _, o := range f.instances {
			switch {
			case o == i:
			case o.member.Zone == i.member.Zone:
				o.observe(b, at)
			case late != nil:
				o.observe(late, at)
			}
		}
		i.preemptExcess(at)
		select {
		case <-ctx.Done():
		case <-time.After(zoneDelay):
		}
	}
}

func accountNow() map[string]int64 {
	values := map[string]int64{}
	for name, m := range map[string]*expvar.Map{"runs": runs, "slots": slotMillis, "events": events} {
		m.Do(func(v expvar.KeyValue) {
			if n, ok := v.Value.(*expvar.Int); ok {
				values[name+" "+v.Key] = n.Value()
			}
		})
	}

	return values
}

// Guards against batch items that are late although they fit, near capacity with bursts: online requests and items need 0.96 of the
// slots, and in bursts online requests alone need nearly all. Jobs are due after 18 s, and an item needs 5.5 s of a slot.
func TestNearCapacityWithBursts(t *testing.T) {
	is := is.New(t)
	r := play(t, loadPattern{
		instances: 18,
		zones:     6,
		servers:   12,
		online:    43,
		peak:      1.87,
		rest:      0.383,
		jobs:      0.695,
		traffic:   34 * time.Second,
		seed:      1,
	})
	t.Log(r)
	is.Equal(r.refused, 0)
	is.Equal(r.unlisted, 0)
	is.True(4*r.inTime >= 3*r.items)
}

// Guards against slots that are spent on items that are not completed, when jobs need four times what fits: events of items in time
// have to be more than half of all.
func TestJobsPastCapacity(t *testing.T) {
	is := is.New(t)
	r := play(t, loadPattern{
		instances: 18,
		zones:     6,
		servers:   12,
		online:    31,
		peak:      1.87,
		rest:      0.383,
		jobs:      5.9,
		traffic:   24 * time.Second,
		seed:      1,
	})
	t.Log(r)
	is.True(2*itemEvents*int64(r.inTime) > r.events)
}

// Guards against refusing jobs that can be completed in time: online requests and items need 0.96 of the slots, and nothing may be
// refused in a minute with ten bursts.
func TestNoRefusalNearCapacity(t *testing.T) {
	is := is.New(t)
	r := play(t, loadPattern{
		instances: 18,
		zones:     6,
		servers:   12,
		online:    43,
		peak:      1.87,
		rest:      0.383,
		jobs:      0.695,
		traffic:   60 * time.Second,
		seed:      2,
	})
	t.Log(r)
	is.Equal(r.refused, 0)
	is.Equal(r.unlisted, 0)
}

// Guards against accepting jobs that cannot be done, when they need four times what fits: a third has to be refused at least, no fewer
// items than without refusals may be in time, and less than half as many accepted ones may be late or never done.
func TestJobsPastCapacityAreRefused(t *testing.T) {
	is := is.New(t)
	p := loadPattern{
		instances: 9,
		zones:     3,
		servers:   6,
		online:    15.5,
		peak:      1.87,
		rest:      0.383,
		jobs:      2.95,
		traffic:   80 * time.Second,
		seed:      1,
	}
	r := play(t, p)
	p.acceptAll = true
	all := play(t, p)
	t.Log(r)
	t.Log(all)
	is.Equal(all.refused, 0)
	is.True(3*r.refused > r.jobs)
	is.True(20*r.inTime >= 19*all.inTime) // plays of one load differ by some items
	is.True(2*(r.items-r.inTime) < all.items-all.inTime)
}
