package dispatch

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/inference"
	"tarragonwalk/core/message"
)

// Guards against instances that each fill all slots of a backend server, so that requests queue inside the engine, and against a
// request that keeps waiting after another instance's requests have ended.
func TestInstancesShareSlots(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{tokens: 1, hang: map[uint16]bool{1: true}}
	f := fleet(1, 3)
	d := newDispatcher(e, f, 8)
	observeTotal := func(n int) {
		d.ObserveOthers([]message.OnlineCount{
			{
				BackendServer: "w1",
				InFlight:      n,
			},
		}, d.now())
	}
	observeTotal(2)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { _ = d.Run(ctx, request("a", inference.ClassOnline), nil) })
	}
	waitFor(t, "one started and one queued", func() bool {
		online, _, queued := d.Snapshot()

		return online["w1"] == 1 && queued == 1
	})
	observeTotal(0)
	waitFor(t, "both started", func() bool {
		online, _, queued := d.Snapshot()

		return online["w1"] == 2 && queued == 0 && e.count() == 2
	})
	stop()
	group.Wait()
	is.Equal(e.count(), 2)
}

// Guards against a batch owner that includes the receiver's own requests in the total that it returns.
func TestOthersOnline(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(&fakeEngine{tokens: 1}, fleet(1, 8), 8)
	report := func(sender string, n int) {
		d.ObserveOnline(sender, []message.OnlineCount{
			{
				BackendServer: "w1",
				InFlight:      n,
			},
		}, d.now())
	}
	report("x", 2)
	report("y", 3)
	for receiver, want := range map[string]int{"x": 3, "y": 2, "z": 5} {
		counts := d.OthersOnline(receiver, nil, d.now())
		is.Equal(len(counts), 1)
		is.Equal(counts[0].InFlight, want)
	}
}
