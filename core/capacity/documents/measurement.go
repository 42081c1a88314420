package documents

import (
	"context"
	"encoding/json"
	"runtime"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
)

const (
	// fewWorkspaces and fewWorkers are the constant sizes while the other size varies.
	fewWorkspaces = 100
	fewWorkers    = 50
	slots         = 8
	repeats       = 5
	copies        = 5
)

// Measurement measures configuration documents of several sizes.
type Measurement struct {
	meter *usage.Meter
}

// New returns a measurement that uses the meter.
func New(m *usage.Meter) *Measurement {
	return &Measurement{
		meter: m,
	}
}

// Run varies the number of workspaces and the number of backend servers.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	workspaces, err := m.vary(ctx, "workspaces", []int{100, 500, 1000, 2100}, func(n int) *configuration.Configuration {
		return fixture.Configuration(n, fewWorkers, slots)
	})
	if err != nil {
		return nil, err
	}
	workers, err := m.vary(ctx, "backend servers", []int{50, 150, 300, 600}, func(n int) *configuration.Configuration {
		return fixture.Configuration(fewWorkspaces, n, slots)
	})

	return append(workspaces, workers...), err
}

// series holds the measured points for one varied size.
type series struct {
	bytes, decode, validate, patch, encode, memory []slope.Point
}

func (m *Measurement) vary(
	ctx context.Context, size string, sizes []int, build func(int) *configuration.Configuration,
) ([]slope.Slope, error) {
	s := &series{}
	for _, n := range sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := m.point(s, float64(n), build(n)); err != nil {
			return nil, err
		}
	}

	return []slope.Slope{
		slope.Fit("configuration document", size, "bytes", s.bytes),
		slope.Fit("configuration.Decode", size, "us", s.decode),
		slope.Fit("configuration.Validate", size, "us", s.validate),
		slope.Fit("configuration.ApplyPatch", size, "us", s.patch),
		slope.Fit("encode the configuration for a peer", size, "us", s.encode),
		slope.Fit("decoded configuration in memory", size, "bytes", s.memory),
	}, nil
}

func (m *Measurement) point(s *series, size float64, c *configuration.Configuration) error {
	document, err := json.Marshal(c)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the configuration")
	}
	s.bytes = add(s.bytes, size, float64(len(document)))
	patch := configuration.Patch{
		BaseVersion: c.Version,
		Patch:       []byte(`{"Workspaces":{"workspace-0001":{"Weight":2}}}`),
	}
	for _, t := range []struct {
		into *[]slope.Point
		run  func() error
	}{
		{
			into: &s.decode,
			run:  func() error { _, err := configuration.Decode(document); return err },
		},
		{
			into: &s.validate,
			run:  func() error { return configuration.Validate(c) },
		},
		{
			into: &s.patch,
			run:  func() error { _, err := configuration.ApplyPatch(c, patch); return err },
		},
		{
			into: &s.encode,
			run:  func() error { _, err := json.Marshal(c); return err },
		},
	} {
		seconds, err := m.meter.Processor(func() error {
			for range repeats {
				if err := t.run(); err != nil {
					return err
				}
			}

			return nil
		})
		if err != nil {
			return err
		}
		*t.into = add(*t.into, size, seconds/repeats*1e6)
	}
	held := make([]*configuration.Configuration, copies)
	before := m.meter.Memory()
	for i := range held {
		if held[i], err = configuration.Decode(document); err != nil {
			return err
		}
	}
	s.memory = add(s.memory, size, (m.meter.Memory()-before)/copies)
	runtime.KeepAlive(held)

	return nil
}

func add(points []slope.Point, size, value float64) []slope.Point {
	return append(points, slope.Point{
		Size:  size,
		Value: value,
	})
}
