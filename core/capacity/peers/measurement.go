package peers

import (
	"context"
	"net/netip"
	"time"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/message"
)

const (
	// warmRounds opens the connections of a full mesh before the measurement.
	warmRounds = 2
	meshRounds = 30
	// sampledRounds is large enough for most peers of the full size to be selected at least once.
	sampledRounds = 420
	pairRounds    = 100
	// closeTime lets the other side of a closed connection detect the close.
	closeTime = 20 * time.Millisecond
)

// Measurement exchanges messages between instances of this process over loopback.
type Measurement struct {
	meter *usage.Meter
}

// New returns a measurement that uses the meter.
func New(m *usage.Meter) *Measurement {
	return &Measurement{
		meter: m,
	}
}

// Run measures all slopes of messages between entry instances and of the instance list.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	var all []slope.Slope
	for _, measure := range []func(context.Context) ([]slope.Slope, error){
		m.mesh, m.sampled, m.workers, m.cancelled, m.notices, m.list,
	} {
		s, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, s...)
	}

	return all, nil
}

// cost holds the costs of one round of the initiator, for both sides together; processor is in microseconds.
type cost struct {
	bytes     float64
	processor float64
	opened    float64
	open      float64
	memory    float64
}

func (m *Measurement) cost(live, workers, cancelled, warm, rounds int) (cost, error) {
	memory := m.meter.Memory()
	p, err := newPair(live, workers)
	if err != nil {
		return cost{}, err
	}
	defer p.close()
	p.cancelled(cancelled)
	p.rounds(warm)
	bytes, opened := p.counter.Bytes(), p.counter.Accepted()
	spent := usage.Seconds()
	p.rounds(rounds)
	spent = usage.Seconds() - spent
	n := float64(rounds)
	time.Sleep(closeTime)

	return cost{
		bytes:     (p.counter.Bytes() - bytes) / n,
		processor: spent / n * 1e6,
		opened:    (p.counter.Accepted() - opened) / n,
		open:      p.counter.Open(),
		memory:    m.meter.Memory() - memory,
	}, nil
}

// series measures the cost at each size twice and returns the minimum of the two processor times.
func (m *Measurement) series(ctx context.Context, sizes []int, measure func(size int) (cost, error)) ([]cost, error) {
	const runs = 2
	costs := make([]cost, len(sizes))
	for i, size := range sizes {
		for run := range runs {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			c, err := measure(size)
			if err != nil {
				return nil, err
			}
			if run > 0 {
				c.processor = min(c.processor, costs[i].processor)
			}
			costs[i] = c
		}
	}

	return costs, nil
}

func points(sizes []int, costs []cost, value func(cost) float64) []slope.Point {
	out := make([]slope.Point, 0, len(sizes))
	for i, size := range sizes {
		out = append(out, slope.Point{
			Size:  float64(size),
			Value: value(costs[i]),
		})
	}

	return out
}

func bytesOf(c cost) float64 { return c.bytes }

func processorOf(c cost) float64 { return c.processor }

// mesh varies the number of live instances up to the limit of the full mesh, with all connections already open.
func (m *Measurement) mesh(ctx context.Context) ([]slope.Slope, error) {
	sizes := []int{2, 4, 8, 16}
	costs, err := m.series(ctx, sizes, func(size int) (cost, error) {
		return m.cost(size, 0, 0, warmRounds, meshRounds)
	})
	if err != nil {
		return nil, err
	}
	const size = "live instances, full mesh"

	return []slope.Slope{
		slope.Fit("exchange round", size, "bytes", points(sizes, costs, bytesOf)),
		slope.Fit("exchange round, processor of both sides", size, "us", points(sizes, costs, processorOf)),
	}, nil
}

// sampled varies the number of live instances above the limit of the full mesh. The costs include the connections that
// are opened to newly selected peers.
func (m *Measurement) sampled(ctx context.Context) ([]slope.Slope, error) {
	sizes := []int{32, 64, 128, 256, 420}
	costs, err := m.series(ctx, sizes, func(size int) (cost, error) {
		return m.cost(size, 0, 0, 0, sampledRounds)
	})
	if err != nil {
		return nil, err
	}
	const size = "live instances, 3 peers a round"

	return []slope.Slope{
		slope.Fit("exchange round", size, "bytes", points(sizes, costs, bytesOf)),
		slope.Fit("exchange round, processor of both sides", size, "us", points(sizes, costs, processorOf)),
		slope.Fit("connections opened a round", size, "connections", points(sizes, costs, func(c cost) float64 { return c.opened })),
		slope.Fit("outgoing connections open after 420 rounds", size, "connections",
			points(sizes, costs, func(c cost) float64 { return c.open })),
		slope.Fit("memory of both sides after 420 rounds", size, "bytes", points(sizes, costs, func(c cost) float64 { return c.memory })),
	}, nil
}

// workers varies the number of backend servers that the receiver owns for batch work and on which the sender has requests
// in flight.
func (m *Measurement) workers(ctx context.Context) ([]slope.Slope, error) {
	sizes := []int{0, 50, 100, 200}
	costs, err := m.series(ctx, sizes, func(size int) (cost, error) {
		return m.cost(2, size, 0, warmRounds, pairRounds)
	})
	if err != nil {
		return nil, err
	}
	const size = "workers of the receiver in use by the sender"

	return []slope.Slope{
		slope.Fit("one exchange", size, "bytes", points(sizes, costs, bytesOf)),
		slope.Fit("one exchange, processor of both sides", size, "us", points(sizes, costs, processorOf)),
	}, nil
}

// cancelled varies the number of cancelled jobs that the sender reports in each exchange.
func (m *Measurement) cancelled(ctx context.Context) ([]slope.Slope, error) {
	const fewRounds = 20 // less simulated time than a cancellation is repeated for
	sizes := []int{0, 10, 50, 200}
	costs, err := m.series(ctx, sizes, func(size int) (cost, error) {
		return m.cost(2, 0, size, warmRounds, fewRounds)
	})
	if err != nil {
		return nil, err
	}
	const size = "cancelled jobs repeated by the sender"

	return []slope.Slope{
		slope.Fit("one exchange", size, "bytes", points(sizes, costs, bytesOf)),
		slope.Fit("one exchange, processor of both sides", size, "us", points(sizes, costs, processorOf)),
	}, nil
}

// notices varies the number of backend servers in one notice of increased online counts.
func (m *Measurement) notices(ctx context.Context) ([]slope.Slope, error) {
	sizes := []int{1, 4, 16}
	costs, err := m.series(ctx, sizes, func(size int) (cost, error) { return m.notice(ctx, size) })
	if err != nil {
		return nil, err
	}
	const size = "workers in the notice"

	return []slope.Slope{
		slope.Fit("one online notice", size, "bytes", points(sizes, costs, bytesOf)),
		slope.Fit("one online notice, processor of both sides", size, "us", points(sizes, costs, processorOf)),
	}, nil
}

func (m *Measurement) notice(ctx context.Context, workers int) (cost, error) {
	p, err := newPair(2, workers)
	if err != nil {
		return cost{}, err
	}
	defer p.close()
	p.rounds(warmRounds)
	own := p.nodes[len(p.nodes)-1]
	to := netip.MustParseAddrPort(p.listeners[0].Addr().String())
	var counts []message.OnlineCount
	for n := range workers {
		counts = append(counts, message.OnlineCount{
			BackendServer: fixture.Worker(n),
			InFlight:      1,
		})
	}
	bytes, spent := p.counter.Bytes(), usage.Seconds()
	for range pairRounds {
		if _, err := own.Online(ctx, to, counts); err != nil {
			return cost{}, err
		}
	}

	return cost{
		bytes:     (p.counter.Bytes() - bytes) / pairRounds,
		processor: (usage.Seconds() - spent) / pairRounds * 1e6,
	}, nil
}
