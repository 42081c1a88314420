package decisions

import (
	"context"
	"fmt"
	"time"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/latency"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/routing"
)

const (
	slots        = 8
	eventTimeout = time.Minute
	picks        = 300
	polls        = 100
	changes      = 3
)

// Measurement runs routing, the choice of batch owners and job selection on tables of several sizes.
type Measurement struct {
	meter *usage.Meter
}

// New returns a measurement that uses the meter.
func New(m *usage.Meter) *Measurement {
	return &Measurement{
		meter: m,
	}
}

// Run measures the processor time of each decision.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	workers := []int{50, 150, 300, 600}
	instances := []int{8, 64, 128, 420}
	jobs := []int{100, 500, 2000}
	var all []slope.Slope
	for _, t := range []struct {
		name, size string
		sizes      []int
		calls      int
		build      func(n int) func() error
	}{
		{
			name:  "routing.Router.Pick",
			size:  "workers of the deployment",
			sizes: workers,
			calls: picks,
			build: pick,
		},
		{
			name:  "dispatch.Dispatcher.Run, engine answers at once",
			size:  "workers of the deployment",
			sizes: workers,
			calls: picks,
			build: run,
		},
		{
			name:  "dispatch.Dispatcher.BatchSlots",
			size:  "workers of the deployment",
			sizes: workers,
			calls: polls,
			build: batchSlots,
		},
		{
			name:  "new feeders of 600 workers after a change of the list",
			size:  "live instances",
			sizes: instances,
			calls: changes,
			build: batchOwners,
		},
		{
			name:  "membership.Table.Live",
			size:  "live instances",
			sizes: instances,
			calls: polls,
			build: live,
		},
		{
			name:  "batch.Runner.ObserveOpen",
			size:  "open jobs",
			sizes: jobs,
			calls: changes,
			build: observe,
		},
	} {
		var points []slope.Point
		for _, n := range t.sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			call := t.build(n)
			if err := call(); err != nil { // fills caches
				return nil, err
			}
			seconds, err := m.meter.Processor(func() error { return repeat(t.calls, call) })
			if err != nil {
				return nil, err
			}
			points = append(points, slope.Point{
				Size:  float64(n),
				Value: seconds / float64(t.calls) * 1e6,
			})
		}
		all = append(all, slope.Fit(t.name, t.size, "us", points))
	}
	steps, err := m.steps(ctx)

	return append(all, steps...), err
}

func repeat(n int, f func() error) error {
	for range n {
		if err := f(); err != nil {
			return err
		}
	}

	return nil
}

func pick(n int) func() error {
	c := fixture.Configuration(1, n, slots)
	t := membership.New()
	t.Observe(fixture.Entries(1), time.Now())
	p := latency.New(eventTimeout)
	at := time.Now()
	for i := range n {
		p.StartStream(fixture.Deployment, fixture.Worker(i), 1, at)
		p.Token(fixture.Worker(i), 1, at.Add(time.Duration(i)*time.Microsecond))
	}
	ro := routing.New(fixture.Zone, fixture.Region, t.Usable, p, func(string) int { return 1 }, func(string) int { return 1 }, func(time.Time) int { return 1 }, fixture.Random())
	r := fixture.Request("request", inference.ClassOnline, 1)

	return func() error {
		ro.Pick(c, r, nil, time.Now())

		return nil
	}
}

func run(n int) func() error {
	self := fixture.Entries(1)[0]
	t := membership.New()
	t.Observe([]membership.Instance{self}, time.Now())
	d := fixture.Dispatcher(fixture.NewEngine(false), fixture.Configuration(1, n, slots), t, self)
	id := 0

	return func() error {
		id++
		r := fixture.Request(fmt.Sprint("request-", id), inference.ClassOnline, 1)

		return d.Run(context.Background(), r, func(inference.Event) error { return nil })
	}
}

func batchSlots(n int) func() error {
	self := fixture.Entries(1)[0]
	t := membership.New()
	t.Observe([]membership.Instance{self}, time.Now())
	d := fixture.Dispatcher(fixture.NewEngine(false), fixture.Configuration(1, n, slots), t, self)

	return func() error {
		d.BatchSlots(fixture.Deployment)

		return nil
	}
}

// batchOwners removes another instance from the list in each call. The pause is longer than the 100 ms for which the
// dispatcher caches its batch owners.
func batchOwners(n int) func() error {
	const workers, refreshTime = 600, 110 * time.Millisecond
	list := fixture.Entries(n)
	t := membership.New()
	t.Observe(list, time.Now())
	d := fixture.Dispatcher(fixture.NewEngine(false), fixture.Configuration(1, workers, slots), t, list[0])
	removed := 0

	return func() error {
		removed = 1 + removed%(n-1)
		t.Observe(append(append([]membership.Instance{}, list[:removed]...), list[removed+1:]...), time.Now())
		time.Sleep(refreshTime)
		d.BatchSlots(fixture.Deployment)

		return nil
	}
}

func live(n int) func() error {
	t := membership.New()
	t.Observe(fixture.Entries(n), time.Now())

	return func() error {
		t.Live(time.Now())

		return nil
	}
}
