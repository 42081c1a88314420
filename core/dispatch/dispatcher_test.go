package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/message"
	"tarragonwalk/internal/subprocess"
)

func answer(id string, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&b, "%s:%d ", id, n)
	}

	return b.String()
}

func run(d *Dispatcher, r *inference.Request) (string, error) {
	var b strings.Builder
	err := d.Run(context.Background(), r, func(e inference.Event) error {
		b.WriteString(e.Text)

		return nil
	})

	return b.String(), err
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("not reached: " + what)
}

// Guards against an online request that waits for batch work, and against lost or repeated tokens of preempted batch
// streams.
func TestOnlinePreemptsBatch(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{step: 5 * time.Millisecond, tokens: 20}
	d := newDispatcher(e, fleet(1, 4), 8)
	is.Equal(d.BatchSlots("d"), 3)
	var group sync.WaitGroup
	texts, errs := make([]string, 3), make([]error, 3)
	for n := range 3 {
		group.Go(func() {
			texts[n], errs[n] = run(d, request(fmt.Sprintf("b%d", n), inference.ClassBatch))
		})
	}
	waitFor(t, "three batch streams", func() bool { return e.count() == 3 })
	time.Sleep(20 * time.Millisecond)
	for n := range 4 {
		group.Go(func() {
			id := fmt.Sprintf("o%d", n)
			text, err := run(d, request(id, inference.ClassOnline))
			if err != nil || text != answer(id, 20) {
				t.Errorf("online request: %q, %v", text, err)
			}
		})
	}
	waitFor(t, "online starts at once", func() bool { online, _, _ := d.Snapshot(); return online["w1"] == 4 })
	_, batch, queued := d.Snapshot()
	is.Equal(batch["w1"], 0)
	is.Equal(queued, 0)
	group.Wait()
	for n := range 3 {
		is.NoErr(errs[n])
		is.Equal(texts[n], answer(fmt.Sprintf("b%d", n), 20))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	resumed := 0
	for n, id := range e.started {
		if id[0] == 'b' && e.offsets[n] > 0 {
			resumed++
		}
	}
	is.True(resumed >= 3) // preempted batch streams continue after the tokens they have
}

// Guards against tokens that are lost, repeated or mixed up when backend servers fail, leave or stay silent.
func TestContinuesElsewhere(t *testing.T) {
	for _, code := range []fault.Code{
		fault.CodeStreamLost, fault.CodeBackendSilent, fault.CodeBackendFailed, fault.CodeBackendUnreachable,
		fault.CodeBackendLeaving,
	} {
		for _, class := range []inference.Class{inference.ClassOnline, inference.ClassBatch} {
			t.Run(string(code)+" "+string(class), func(t *testing.T) {
				is := is.New(t)
				at := 4
				if fault.NotRun(fault.New(code, "")) {
					at = 0
				}
				e := &fakeEngine{
					step: time.Millisecond, tokens: 10,
					dieAt: map[uint16]int{1: at, 2: at},
					code:  map[uint16]fault.Code{1: code, 2: code},
				}
				d := newDispatcher(e, fleet(3, 16), 8)
				var group sync.WaitGroup
				for n := range 12 {
					group.Go(func() {
						id := fmt.Sprintf("q%d", n)
						text, err := run(d, request(id, class))
						if err != nil || text != answer(id, 10) {
							t.Errorf("%q, %v", text, err)
						}
					})
				}
				group.Wait()
				online, batch, queued := d.Snapshot()
				is.Equal(len(online)+len(batch)+queued, 0)
			})
		}
	}
}

// Guards against new work on a leaving backend server.
func TestLeavingServerGetsNoWork(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{tokens: 1}
	f := fleet(3, 4)
	f.leaving["w2"] = true
	d := newDispatcher(e, f, 8)
	for n := range 40 {
		class := inference.ClassOnline
		if n%2 == 0 {
			class = inference.ClassBatch
		}
		_, err := run(d, request("x", class))
		is.NoErr(err)
	}
	for _, p := range e.ports {
		is.True(p != 2)
	}
}

// Guards against a refusal of a full queue that is delayed, lacks RetryAt, or promises that the request has not run although
// an earlier attempt may have.
func TestOverloadIsNotRun(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{tokens: 1, hang: map[uint16]bool{1: true}}
	d := newDispatcher(e, fleet(1, 1), 1)
	start := func() (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			err := d.Run(ctx, request("a", inference.ClassOnline), nil)
			if fault.CodeOf(err) != fault.CodeCancelled {
				t.Errorf("canceled request: %v", err)
			}
		}()

		return func() {
			cancel()
			<-ended
		}
	}
	stopRunning := start()
	waitFor(t, "running request", func() bool { return e.count() == 1 })
	stopQueued := start()
	waitFor(t, "full queue", func() bool { _, _, queued := d.Snapshot(); return queued == 1 })
	_, err := run(d, request("b", inference.ClassOnline))
	is.Equal(fault.CodeOf(err), fault.CodeOverloaded)
	is.True(fault.NotRun(err))
	var f *fault.Error
	is.True(errors.As(err, &f) && f.RetryAt.After(time.Now()))
	// The queued request is canceled first. With one context for both, the running one can end first, and the queued one is
	// granted its slot before it sees that the context has ended.
	stopQueued()
	stopRunning()
	is.Equal(e.count(), 1)

	s := newRequestState(request("c", inference.ClassOnline), nil)
	s.recordFailure("w1", fault.New(fault.CodeStreamLost, ""))
	is.Equal(fault.NotRun(s.correctNotRun(err)), false) // an earlier attempt ran
}

// Guards against two answers of a hedged request, or one made of both streams, and against a late request that is not hedged.
func TestHedgedRequestEmitsOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{step: 60 * time.Millisecond, tokens: 3}
		d := newDispatcher(e, fleet(2, 4), 8)
		at := time.Now().Add(-time.Minute)
		for n := range uint64(100) {
			d.latency.StartStream("d", "w1", n, at)
			d.latency.Token("w1", n, at.Add(58*time.Millisecond))
			d.latency.EndStream("w1", n, at)
		}
		for n := range 4 {
			text, err := run(d, request("h", inference.ClassOnline))
			is.NoErr(err)
			is.Equal(text, answer("h", 3))
			is.Equal(e.count(), 2*(n+1)) // each request is hedged 2 ms before its first token
		}
	})
}

// Guards against streams that stay on a backend server that stalls after their first token, and against tokens that are lost,
// repeated or mixed up when a stream moves to another backend server.
func TestLateStreamMoves(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{step: 2 * time.Millisecond, tokens: 20}
	d := newDispatcher(e, fleet(3, 8), 8)
	for n := range 12 {
		_, err := run(d, request(fmt.Sprintf("warm-%d", n), inference.ClassOnline))
		is.NoErr(err)
	}
	e.mu.Lock()
	e.stallAt = map[uint16]int{1: 5}
	e.mu.Unlock()
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			id := fmt.Sprintf("q%d", n)
			text, err := run(d, request(id, inference.ClassOnline))
			if err != nil || text != answer(id, 20) {
				t.Errorf("%q, %v", text, err)
			}
		})
	}
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	is.True(slices.Max(e.offsets) >= 5) // a stream continued on another backend server
	online, _, _ := d.Snapshot()
	is.Equal(len(online), 0)
}

// Guards against a slow caller whose stream is considered late: it would move, and a healthy backend server would count as failed.
func TestSlowCallerKeepsItsStream(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{step: 2 * time.Millisecond, tokens: 8}
	d := newDispatcher(e, fleet(2, 8), 8)
	for n := range 12 {
		_, err := run(d, request(fmt.Sprintf("warm-%d", n), inference.ClassOnline))
		is.NoErr(err)
	}
	before := e.count()
	err := d.Run(context.Background(), request("slow", inference.ClassOnline), func(inference.Event) error {
		time.Sleep(60 * time.Millisecond)

		return nil
	})
	is.NoErr(err)
	is.Equal(e.count(), before+1)
}

// Guards against a non-idempotent call that is sent twice.
func TestCallRunsOnce(t *testing.T) {
	cases := []struct {
		name       string
		code       fault.Code
		idempotent bool
		calls      int
	}{
		{name: "silent", code: fault.CodeBackendSilent, calls: 1},
		{name: "lost", code: fault.CodeStreamLost, calls: 1},
		{name: "leaving", code: fault.CodeBackendLeaving, calls: 1},
		{name: "unreachable", code: fault.CodeBackendUnreachable, calls: 2},
		{name: "idempotent", code: fault.CodeBackendSilent, idempotent: true, calls: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher(&fakeEngine{}, fleet(2, 2), 4)
			calls := 0
			err := d.Call(context.Background(), request("c", inference.ClassOnline), c.idempotent,
				func(context.Context, netip.AddrPort) error {
					calls++
					if calls == 1 {
						return fault.New(c.code, "first call")
					}

					return nil
				})
			is.Equal(calls, c.calls)
			is.Equal(err == nil, c.calls == 2)
		})
	}
}

// Guards against a batch owner that ignores other instances' online requests when it computes its batch slots.
func TestObserveOnline(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(&fakeEngine{}, fleet(1, 8), 4)
	is.Equal(d.BatchSlots("d"), 7)
	d.ObserveOnline("e2", []message.OnlineCount{{BackendServer: "w1", InFlight: 3}}, time.Now())
	is.Equal(d.BatchSlots("d"), 4)
	d.ObserveOnline("e2", []message.OnlineCount{{BackendServer: "w1"}}, time.Now())
	is.Equal(d.BatchSlots("d"), 7)
}

// Guards against a batch owner that learns only from the next exchange that an online request has ended, and leaves its slot
// unused until then.
func TestBatchOwnerLearnsOfRiseAndFall(t *testing.T) {
	is := is.New(t)
	f := pair{fakeFleet: fleet(6, 4)}
	var lock sync.Mutex
	counts := map[string][]int{}
	d := New(&fakeEngine{tokens: 1}, f, f, f.Live(time.Time{})[0], func(batchOwner string, n message.OnlineCount) {
		lock.Lock()
		defer lock.Unlock()
		is.Equal(batchOwner, "e2")
		counts[n.BackendServer] = append(counts[n.BackendServer], n.InFlight)
	}, time.Now, rand.New(rand.NewPCG(1, 2)), 8, 1<<20, time.Second, time.Second)
	for n := range 30 {
		_, err := run(d, request(fmt.Sprint(n), inference.ClassOnline))
		is.NoErr(err)
	}
	is.True(len(counts) > 0 && len(counts) < 6) // this instance owns some backend servers for batch work
	for _, c := range counts {
		is.Equal(c[0], 1)
		is.Equal(c[len(c)-1], 0)
	}
}

// Guards against a request that waits forever for a stream that has ended in a panic.
func TestPanicInStream(t *testing.T) {
	subprocess.Panics(t, "event not handled", func() {
		d := newDispatcher(&fakeEngine{tokens: 2}, fleet(1, 1), 1)
		_ = d.Run(context.Background(), request("a", inference.ClassOnline), func(inference.Event) error { panic("event not handled") })
	})
}
