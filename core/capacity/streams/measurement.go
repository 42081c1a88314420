package streams

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/engine"
)

const (
	requests      = 64
	parallel      = 32
	engineTimeout = 5 * time.Second
	rounds        = 6
)

// Measurement streams requests from a stand-in engine and subtracts the cost of the stand-in.
type Measurement struct {
	meter *usage.Meter
}

// New returns a measurement that uses the meter.
func New(m *usage.Meter) *Measurement {
	return &Measurement{
		meter: m,
	}
}

// Run measures processor time and allocations for several numbers of tokens in a request.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	var base, net, allocations []slope.Point
	for _, tokens := range []int{16, 64, 128, 192} {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		b, w, a, err := m.point(tokens)
		if err != nil {
			return nil, err
		}
		base = append(base, slope.Point{
			Size:  float64(tokens),
			Value: b,
		})
		net = append(net, slope.Point{
			Size:  float64(tokens),
			Value: w - b,
		})
		allocations = append(allocations, slope.Point{
			Size:  float64(tokens),
			Value: a,
		})
	}
	const size = "tokens of the request"

	return []slope.Slope{
		slope.Fit("streamed request, stand-in and plain reader", size, "us", base),
		slope.Fit("streamed request, dispatcher and engine client without the stand-in", size, "us", net),
		slope.Fit("streamed request, dispatcher and engine client", size, "allocations", allocations),
	}, nil
}

// point returns costs of one request: the processor time of the stand-in with a plain reader, the processor time of the
// stand-in with dispatcher and engine client, both in microseconds, and the allocations of the latter.
func (m *Measurement) point(tokens int) (base, whole, allocations float64, err error) {
	s, err := newSource(tokens)
	if err != nil {
		return 0, 0, 0, err
	}
	defer s.close()
	plain := []byte(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nContent-Length: 2\r\n\r\n{}", s.address))
	client := engine.New(engineTimeout, engineTimeout)
	defer client.Close()
	c := fixture.Configuration(1, 1, 2*parallel)
	worker := c.BackendServers[fixture.Worker(0)]
	worker.Address = s.address
	c.BackendServers[fixture.Worker(0)] = worker
	run := m.viaDispatcher(client, c)
	readPlain := func() error {
		return each(func(int) error { return s.read(plain) })
	}
	// The two measurements alternate, so that changes in the load of the machine affect both equally.
	for round := range rounds {
		b, err := m.meter.Processor(readPlain)
		if err != nil {
			return 0, 0, 0, err
		}
		w, err := m.meter.Processor(run)
		if err != nil {
			return 0, 0, 0, err
		}
		if round == 0 {
			base, whole = b, w
		}
		base, whole = min(base, b), min(whole, w)
	}
	allocations, err = m.meter.Allocations(run)

	return base / requests * 1e6, whole / requests * 1e6, allocations / requests, err
}

// viaDispatcher returns a function that runs all requests through a dispatcher.
func (m *Measurement) viaDispatcher(client *engine.Client, c *configuration.Configuration) func() error {
	self := fixture.Entries(1)[0]
	t := membership.New()
	t.Observe([]membership.Instance{self}, time.Now())
	d := fixture.Dispatcher(client, c, t, self)

	return func() error {
		return each(func(n int) error {
			r := fixture.Request(fmt.Sprint("stream-", n), inference.ClassOnline, 0)

			return d.Run(context.Background(), r, func(inference.Event) error { return nil })
		})
	}
}

func each(f func(n int) error) error {
	p := pool.New().WithErrors().WithMaxGoroutines(parallel)
	for n := range requests {
		p.Go(func() error { return f(n) })
	}

	return p.Wait()
}
