package peers

import (
	"context"
	"time"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/capacity/wire"
	"tarragonwalk/core/membership"
	client "tarragonwalk/io/instancelist"
	"tarragonwalk/io/standin/instancelist"
)

// list varies the number of instances in the platform's list, which each entry instance polls every second.
func (m *Measurement) list(ctx context.Context) ([]slope.Slope, error) {
	sizes := []int{100, 300, 600, 1020}
	costs, err := m.series(ctx, sizes, func(size int) (cost, error) { return m.poll(ctx, size) })
	if err != nil {
		return nil, err
	}
	const size = "instances in the list"

	return []slope.Slope{
		slope.Fit("one poll of the instance list", size, "bytes", points(sizes, costs, bytesOf)),
		slope.Fit("one poll of the instance list, processor of both sides", size, "us", points(sizes, costs, processorOf)),
	}, nil
}

func (m *Measurement) poll(ctx context.Context, size int) (cost, error) {
	const polls = 20
	counter := wire.New()
	l, address, err := counter.Listen()
	if err != nil {
		return cost{}, err
	}
	s := instancelist.New(0)
	for _, i := range fixture.Entries(size) {
		s.Set(i)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c := client.New(address)
	defer c.Close()
	table := membership.New()
	var bytes, spent float64
	// The first poll opens the connection and is not measured.
	for n := range polls + 1 {
		if n == 1 {
			bytes, spent = counter.Bytes(), usage.Seconds()
		}
		list, err := c.Fetch(ctx)
		if err != nil {
			return cost{}, err
		}
		table.Observe(list, time.Now())
	}

	return cost{
		bytes:     (counter.Bytes() - bytes) / polls,
		processor: (usage.Seconds() - spent) / polls * 1e6,
	}, nil
}
