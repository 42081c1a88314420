package jobs

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/job"
)

const (
	chunkItems = 500
	manySlots  = 1000
	endTime    = 500 * time.Millisecond
)

// Measurement runs batch jobs against an in-memory store that counts calls.
type Measurement struct {
	meter *usage.Meter
}

// New returns a measurement that uses the meter.
func New(m *usage.Meter) *Measurement {
	return &Measurement{
		meter: m,
	}
}

// calls holds the number of store calls in each phase of a job.
type calls struct {
	submitReads, submitWrites, runReads, runWrites, status float64
}

// Run measures all slopes of batch jobs.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	var all []slope.Slope
	for _, measure := range []func(context.Context) ([]slope.Slope, error){m.items, m.claimants, m.openJobs, m.heldChunks} {
		s, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, s...)
	}

	return all, nil
}

// job submits a job, runs it to completion, reads its status and returns the store calls of each phase.
func (m *Measurement) job(ctx context.Context, items, runners int) (calls, error) {
	b := newBench(runners, manySlots, chunkItems)
	close(b.release)
	defer b.stop()
	s, err := b.submit(ctx, "sheets", items)
	if err != nil {
		return calls{}, err
	}
	c := calls{}
	c.submitReads, c.submitWrites = b.store.calls()
	b.start([]job.OpenJob{open(s)})
	// A job has ended when its entry in the open-job index is deleted. The check bypasses the counters.
	if err := await("the end of the job", func() bool {
		_, _, err := b.store.Store.Get(ctx, job.OpenKey(s.Job.ID))

		return err != nil
	}); err != nil {
		return calls{}, err
	}
	// The other runners still read the job's record after the first one has ended the job; stopping them deletes their
	// sessions.
	time.Sleep(endTime)
	b.stop()
	reads, writes := b.store.calls()
	c.runReads, c.runWrites = reads-c.submitReads, writes-c.submitWrites
	if _, err := b.jobs.GetJob(ctx, workspace, s.Job.ID); err != nil {
		return calls{}, err
	}
	after, _ := b.store.calls()
	c.status = after - reads

	return c, nil
}

func (m *Measurement) items(ctx context.Context) ([]slope.Slope, error) {
	var points [5][]slope.Point
	for _, chunks := range []int{1, 2, 4, 8} {
		c, err := m.job(ctx, chunks*chunkItems, 1)
		if err != nil {
			return nil, err
		}
		for i, v := range []float64{c.submitReads, c.submitWrites, c.runReads, c.runWrites, c.status} {
			points[i] = append(points[i], point(chunks, v))
		}
	}
	const size = "chunks of 500 items"

	return []slope.Slope{
		slope.Fit("file and submission of a job", size, "reads", points[0]),
		slope.Fit("file and submission of a job", size, "writes", points[1]),
		slope.Fit("run of a job by one runner, with its session", size, "reads", points[2]),
		slope.Fit("run of a job by one runner, with its session", size, "writes", points[3]),
		slope.Fit("status of a finished job", size, "reads", points[4]),
	}, nil
}

func (m *Measurement) claimants(ctx context.Context) ([]slope.Slope, error) {
	var reads, writes []slope.Point
	for _, runners := range []int{1, 2, 4, 8} {
		c, err := m.job(ctx, 2*chunkItems, runners)
		if err != nil {
			return nil, err
		}
		reads = append(reads, point(runners, c.runReads))
		writes = append(writes, point(runners, c.runWrites))
	}

	return []slope.Slope{
		slope.Fit("run of a job of 1,000 items, with the sessions", "runners that work on it", "reads", reads),
		slope.Fit("run of a job of 1,000 items, with the sessions", "runners that work on it", "writes", writes),
	}, nil
}

// openJobs varies the number of open jobs that a runner knows but does not work on.
func (m *Measurement) openJobs(ctx context.Context) ([]slope.Slope, error) {
	var points []slope.Point
	for _, n := range []int{500, 1000, 2000, 4000} {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		b := newBench(1, 0, chunkItems)
		before := m.meter.Memory()
		b.runners[0].ObserveOpen(fixture.OpenJobs(n), 1, time.Now())
		points = append(points, point(n, m.meter.Memory()-before))
		runtime.KeepAlive(b)
	}

	return []slope.Slope{
		slope.Fit("batch.Runner", "open jobs", "bytes", points),
	}, nil
}

// heldChunks varies the number of chunks that a runner has claimed, with all of their items in flight.
func (m *Measurement) heldChunks(ctx context.Context) ([]slope.Slope, error) {
	const size = 100
	var points []slope.Point
	for _, n := range []int{2, 4, 8, 16} {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		b := newBench(1, n*size, size)
		s, err := b.submit(ctx, fmt.Sprint("sheets-", n), n*size)
		if err != nil {
			return nil, err
		}
		before := m.meter.Memory()
		b.start([]job.OpenJob{open(s)})
		err = await("the start of all items", func() bool { return b.started.Load() == int64(n*size) })
		points = append(points, point(n, m.meter.Memory()-before))
		close(b.release)
		b.stop()
		if err != nil {
			return nil, err
		}
	}

	return []slope.Slope{
		slope.Fit("batch.Runner with its store in memory", "held chunks of 100 items, all in flight", "bytes", points),
	}, nil
}

func point(size int, value float64) slope.Point {
	return slope.Point{
		Size:  float64(size),
		Value: value,
	}
}
