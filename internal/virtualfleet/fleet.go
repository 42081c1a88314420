package virtualfleet

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
	"tarragonwalk/io/messagecodec"
)

const (
	// Target is the path of the only route.
	Target = "/b/1"
	// Host is the host of the only route.
	Host = "h"

	// maxMessageBytes bounds a heartbeat, peerPort is the port of all instances, and serverSlots the slots of each backend server.
	maxMessageBytes = 1 << 20
	peerPort        = 7000
	serverSlots     = 8
)

// Fleet is a number of instances with the same store and backend servers. It is safe for concurrent use.
type Fleet struct {
	log     *slog.Logger
	codec   *messagecodec.Codec
	servers []backend.Server
	table   *route.Table
	store   *memory
	tasks   sync.WaitGroup
	// lock guards all fields below; it is not held during calls.
	lock      sync.Mutex
	random    *rand.Rand
	instances []*instance
	// processes counts the processes that were started.
	processes int
	// cuts counts the faults that cut a link, by sender and receiver; lossShare is the share of messages lost on all others.
	cuts      map[[2]int]int
	lossShare float64
	// heartbeatBytes is the number of encoded bytes of all heartbeats that were sent.
	heartbeatBytes int
	// repeated counts the runs of items that were listed before.
	repeated int
}

// New returns a fleet of instances in a number of zones, none of which is started, with one backend server a zone.
func New(size, zones int, random *rand.Rand, log *slog.Logger) *Fleet {
	f := &Fleet{
		log:    log,
		codec:  messagecodec.New(maxMessageBytes),
		random: random,
		cuts:   map[[2]int]int{},
		store:  newMemory(),
		table: &route.Table{
			Version: 1,
			Routes: []route.Route{{
				Name:             "jobs",
				Host:             Host,
				Prefix:           "/b/",
				Kind:             route.KindBatch,
				MaxAttempts:      10,
				CompletionMillis: 600_000,
				Shares: []route.Share{{
					Service: "s",
					Weight:  1,
				}},
			}},
		},
	}
	for z := range zones {
		f.servers = append(f.servers, backend.Server{
			ID:      fmt.Sprint("w", z),
			Service: "s",
			Zone:    zone(z, zones),
			Slots:   serverSlots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(z)}), peerPort), //nolint:gosec // a few zones
		})
	}
	for n := range size {
		f.instances = append(f.instances, &instance{
			fleet:  f,
			index:  n,
			name:   fmt.Sprintf("e%02d", n),
			zone:   zone(n, zones),
			peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), peerPort), //nolint:gosec // a few instances
			freeze: map[string]time.Duration{},
		})
	}

	return f
}

func zone(n, zones int) string { return fmt.Sprint("z", n%zones) }

// Start starts a process of an instance that has none.
func (f *Fleet) Start(n int) {
	i := f.instances[n]
	f.lock.Lock()
	defer f.lock.Unlock()
	if i.process != nil {
		return
	}
	f.processes++
	i.process = newProcess(i, fmt.Sprint("p", f.processes), rand.New(rand.NewPCG(f.random.Uint64(), 1))) //nolint:gosec // a simulation
	i.process.start()
}

// Kill ends the process of an instance.
func (f *Fleet) Kill(n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if p := f.instances[n].process; p != nil {
		p.cancel()
		f.instances[n].process = nil
	}
}

// Stop ends the process of an instance gracefully.
func (f *Fleet) Stop(n int) {
	p := f.running(n)
	if p == nil {
		return
	}
	p.cluster.Update(true, true)
	p.runner.Stop(p.ctx, time.Now().Add(5*time.Second))
	ctx, cancel := context.WithTimeout(p.ctx, 2*time.Second)
	p.addresses.Leave(ctx)
	cancel()
	time.Sleep(2 * time.Second)
	f.lock.Lock()
	defer f.lock.Unlock()
	p.cancel()
	if p.instance.process == p {
		p.instance.process = nil
	}
}

// Freeze stops a process for a time. Bytes that arrive meanwhile wait.
func (f *Fleet) Freeze(n int, d time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.instances[n].frozenUntil = time.Now().Add(d)
}

// FreezeAtWrite stops a process for a time when it is about to send its next write of a kind to the store.
func (f *Fleet) FreezeAtWrite(n int, kind string, d time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.instances[n].freeze[kind] = d
}

// Cut cuts the link from an instance to another one until the returned function is called.
func (f *Fleet) Cut(from, to int) (restore func()) {
	add := func(n int) {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.cuts[[2]int{from, to}] += n
	}
	add(1)

	return func() { add(-1) }
}

// SetLoss sets the share of messages between instances that are lost.
func (f *Fleet) SetLoss(share float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lossShare = share
}

// SetStore sets the shares of writes whose answers are lost and that take effect within lateLimit only, and the longest delay of a call.
func (f *Fleet) SetStore(lost, late float64, delay time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.store.lost, f.store.late, f.store.delay = lost, late, delay
}

// CutStore makes the store unavailable to an instance until the returned function is called.
func (f *Fleet) CutStore(n int) (restore func()) {
	add := func(k int) {
		f.lock.Lock()
		defer f.lock.Unlock()
		f.instances[n].withoutStore += k
	}
	add(1)

	return func() { add(-1) }
}

// Running reports whether an instance has a process.
func (f *Fleet) Running(n int) bool { return f.running(n) != nil }

func (f *Fleet) running(n int) *process {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.instances[n].process
}

// StoreCalls returns the number of calls to the store by purpose.
func (f *Fleet) StoreCalls() map[string]int {
	f.store.lock.Lock()
	defer f.store.lock.Unlock()

	return maps.Clone(f.store.calls)
}

// Submit submits a job of some items at an instance, as a caller that waits until ctx ends.
func (f *Fleet) Submit(ctx context.Context, n int, id string, items int) error {
	j := work.Job{
		ID:          id,
		Host:        Host,
		Target:      Target,
		SubmittedAt: time.Now().UTC(),
		Tokens:      items,
	}
	list := make([]work.Item, 0, items)
	for k := range items {
		list = append(list, work.Item{
			ID:     fmt.Sprintf("%s-%d", id, k),
			Target: Target,
			Body:   []byte("x"),
			Tokens: 1,
		})
	}
	_, err := request(ctx, f, n, func(ctx context.Context, p *process) (struct{}, error) {
		return struct{}{}, p.runner.Submit(ctx, &f.table.Routes[0], j, list)
	})

	return err
}

// Read reads results of a job at an instance, as a caller that waits until ctx ends.
func (f *Fleet) Read(ctx context.Context, n int, id string, after int, wait time.Duration) (jobpage.Page, error) {
	return request(ctx, f, n, func(ctx context.Context, p *process) (jobpage.Page, error) {
		return p.runner.Read(ctx, id, "", after, time.Now().Add(wait))
	})
}

// request makes a call of a caller to an instance. The instance goes on when the caller gives up.
func request[T any](ctx context.Context, f *Fleet, n int, do func(ctx context.Context, p *process) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var none T
	p := f.running(n)
	if p == nil {
		return none, fault.New(fault.CodeUnavailable, "no process")
	}
	answer := make(chan outcome, 1)
	p.tasks.Go(func() {
		p.pass()
		serve, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		defer cancel()
		value, err := do(serve, p)
		p.pass()
		answer <- outcome{
			value: value,
			err:   err,
		}
	})
	select {
	case o := <-answer:
		return o.value, o.err
	case <-p.ctx.Done():
	case <-ctx.Done():
	}

	return none, fault.New(fault.CodeOutcomeUnknown, "no answer")
}

// Listed returns the results of a job in the store.
func (f *Fleet) Listed(id string) []work.Result { return f.store.listed(id) }

// Repeated returns the number of runs of items that were listed before.
func (f *Fleet) Repeated() int {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.repeated
}

// HeartbeatBytes returns the number of bytes of the heartbeats that were sent.
func (f *Fleet) HeartbeatBytes() int {
	f.lock.Lock()
	defer f.lock.Unlock()

	return f.heartbeatBytes
}

// Close ends all processes and waits for everything that is on its way.
func (f *Fleet) Close() {
	for n := range f.instances {
		f.Kill(n)
	}
	f.tasks.Wait()
}

// delay returns a random time up to a limit.
func (f *Fleet) delay(limit time.Duration) time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()

	return time.Duration(f.random.Int64N(int64(limit) + 1))
}

// send passes a heartbeat on to the process at an address unless it gets lost.
func (f *Fleet) send(from *instance, message []byte, to netip.AddrPort) {
	f.lock.Lock()
	f.heartbeatBytes += len(message)
	q := f.at(to)
	lost := q == nil || f.cuts[[2]int{from.index, q.instance.index}] > 0 || f.random.Float64() < f.lossShare
	f.lock.Unlock()
	if lost {
		return
	}
	b := &gossip.Heartbeat{}
	if err := f.codec.Decode(message, b); err != nil {
		panic(err)
	}
	f.tasks.Go(func() {
		time.Sleep(time.Millisecond + f.delay(maxTransit))
		select {
		case q.inbox <- b:
		default:
		}
	})
}

// at returns the process at an address, nil if there is none; it needs the lock.
func (f *Fleet) at(a netip.AddrPort) *process {
	if !a.IsValid() {
		return nil
	}
	n := int(a.Addr().As4()[3]) - 1
	if n < 0 || n >= len(f.instances) {
		return nil
	}

	return f.instances[n].process
}

// connected returns the process at an address if calls from an instance reach it and answers come back.
func (f *Fleet) connected(from *instance, to netip.AddrPort) *process {
	f.lock.Lock()
	defer f.lock.Unlock()
	q := f.at(to)
	if q == nil || f.cuts[[2]int{from.index, q.instance.index}] > 0 || f.cuts[[2]int{q.instance.index, from.index}] > 0 {
		return nil
	}

	return q
}
