package tables

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tarragonwalk/core/admission"
	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/latency"
	"tarragonwalk/core/membership"
)

const (
	eventTimeout = time.Minute
	// ringTokens fills the ring of samples of each backend server.
	ringTokens = 64
	slots      = 64
	inFlight   = 1000 // large enough to exceed the noise of heap measurements
)

// Measurement fills tables of several sizes and measures their memory.
type Measurement struct {
	meter *usage.Meter
}

// New returns a measurement that uses the meter.
func New(m *usage.Meter) *Measurement {
	return &Measurement{
		meter: m,
	}
}

// Run measures the memory of each table.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	workers := []int{100, 300, 600}
	requests := []int{inFlight, 2 * inFlight, 4 * inFlight}
	var all []slope.Slope
	for _, t := range []struct {
		name, size string
		sizes      []int
		fill       func(n int) (filled any, release func(), err error)
	}{
		{
			name:  "core/membership",
			size:  "instances in the list",
			sizes: []int{100, 300, 600, 1020},
			fill:  fillMembership,
		},
		{
			name:  "core/admission, online counts of one peer",
			size:  "workers",
			sizes: workers,
			fill:  fillPeerCounts(1),
		},
		{
			name:  "core/admission, online counts of 20 peers",
			size:  "workers",
			sizes: workers,
			fill:  fillPeerCounts(20),
		},
		{
			name:  "core/admission",
			size:  "online requests in flight",
			sizes: requests,
			fill:  fillAdmission,
		},
		{
			name:  "core/pace",
			size:  "workers",
			sizes: workers,
			fill:  fillLatencyWorkers,
		},
		{
			name:  "core/pace",
			size:  "streams in flight",
			sizes: requests,
			fill:  fillLatencyStreams,
		},
		{
			name:  "core/dispatch, all tables and goroutines",
			size:  "online requests in flight",
			sizes: requests,
			fill:  fillDispatcher,
		},
	} {
		var points []slope.Point
		for _, n := range t.sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			before := m.meter.Memory()
			filled, release, err := t.fill(n)
			if err != nil {
				return nil, err
			}
			points = append(points, slope.Point{
				Size:  float64(n),
				Value: m.meter.Memory() - before,
			})
			runtime.KeepAlive(filled)
			if release != nil {
				release()
			}
		}
		all = append(all, slope.Fit(t.name, t.size, "bytes", points))
	}

	return all, nil
}

func fillMembership(n int) (any, func(), error) {
	t := membership.New()
	t.Observe(fixture.Entries(n), time.Now())

	return t, nil, nil
}

func fillPeerCounts(peers int) func(int) (any, func(), error) {
	return func(n int) (any, func(), error) {
		c := admission.New(1, 1)
		at := time.Now()
		for p := range peers {
			for i := range n {
				c.ObservePeer(fmt.Sprint("entry-", p), fixture.Worker(i), 1, at)
			}
		}

		return c, nil, nil
	}
}

func fillAdmission(n int) (any, func(), error) {
	c := admission.New(1, 1)
	r := fixture.Request("request", inference.ClassOnline, 1)
	names := workerNames(n)
	for i := range n {
		c.Start(uint64(i), r, names[i%len(names)]) //nolint:gosec // never negative
	}

	return c, nil, nil
}

func fillLatencyWorkers(n int) (any, func(), error) {
	t := latency.New(eventTimeout)
	for i := range n {
		at := time.Now()
		t.StartStream(fixture.Deployment, fixture.Worker(i), 1, at)
		for range ringTokens {
			at = at.Add(time.Millisecond)
			t.Token(fixture.Worker(i), 1, at)
		}
		t.EndStream(fixture.Worker(i), 1, at)
	}

	return t, nil, nil
}

func fillLatencyStreams(n int) (any, func(), error) {
	t := latency.New(eventTimeout)
	names := workerNames(n)
	for i := range n {
		t.StartStream(fixture.Deployment, names[i%len(names)], uint64(i+1), time.Now()) //nolint:gosec // never negative
	}

	return t, nil, nil
}

func fillDispatcher(n int) (any, func(), error) {
	self := fixture.Entries(1)[0]
	t := membership.New()
	t.Observe([]membership.Instance{self}, time.Now())
	e := fixture.NewEngine(true)
	d := fixture.Dispatcher(e, fixture.Configuration(1, n/slots+1, 2*slots), t, self)
	release, err := fixture.Hold(d, e, n)

	return d, release, err
}

func workerNames(n int) []string {
	var names []string
	for i := range n/slots + 1 {
		names = append(names, fixture.Worker(i))
	}

	return names
}
