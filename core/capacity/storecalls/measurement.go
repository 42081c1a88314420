package storecalls

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/internal/fleet"
	"tarragonwalk/io/jobstore"
)

const (
	// idleTime spans several watches, which last 2 s each.
	idleTime = 6 * time.Second
	// followTime is simulated time. It is many times the interval of 1 minute at which an index entry is checked.
	followTime = 20 * time.Minute
)

// Measurement counts the calls to a stand-in store or an in-memory store.
type Measurement struct{}

// New returns a measurement.
func New() *Measurement {
	return &Measurement{}
}

// Run measures the store calls that instances make without running jobs.
func (m *Measurement) Run(ctx context.Context) ([]slope.Slope, error) {
	idle, err := m.idle(ctx)
	if err != nil {
		return nil, err
	}
	open, err := m.open(ctx)
	if err != nil {
		return nil, err
	}
	changes, err := m.changes(ctx)
	if err != nil {
		return nil, err
	}
	load, err := m.load(ctx)

	return append(append(append(idle, open...), changes...), load...), err
}

// idle varies the number of complete instances, which have no configuration, callers or jobs.
func (m *Measurement) idle(ctx context.Context) ([]slope.Slope, error) {
	f, err := fleet.New(slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var points []slope.Point
	for _, n := range []int{1, 2, 4} {
		for len(f.Instances) < n {
			if err := f.StartInstance(fmt.Sprint("entry-", len(f.Instances)), fixture.Zone, fixture.Region); err != nil {
				return nil, err
			}
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		reads, writes := f.Store.Calls()
		began := time.Now()
		time.Sleep(idleTime)
		r, w := f.Store.Calls()
		points = append(points, slope.Point{
			Size:  float64(n),
			Value: float64(r+w-reads-writes) / time.Since(began).Seconds(),
		})
	}

	return []slope.Slope{
		slope.Fit("store calls of idle instances", "instances", "calls/s", points),
	}, nil
}

// open varies the number of open jobs, which stay unchanged while an instance follows the index.
func (m *Measurement) open(ctx context.Context) ([]slope.Slope, error) {
	var points []slope.Point
	for _, n := range []int{0, 8, 16, 24} {
		w := newSimulatedStore()
		if err := writeIndex(ctx, w, 0, n); err != nil {
			return nil, err
		}
		start := w.clock()
		m.follow(ctx, w, func(int) bool { return w.clock().Sub(start) >= followTime })
		points = append(points, slope.Point{
			Size:  float64(n),
			Value: float64(w.callCount()) / w.clock().Sub(start).Seconds(),
		})
	}

	return []slope.Slope{
		slope.Fit("store calls of one follower of the open-job index", "open jobs", "calls/s", points),
	}, nil
}

// changes varies the number of entries that are added one at a time while an instance follows the index.
func (m *Measurement) changes(ctx context.Context) ([]slope.Slope, error) {
	var points []slope.Point
	for _, n := range []int{10, 20, 40} {
		w := newSimulatedStore()
		added := 0
		var failure error
		m.follow(ctx, w, func(int) bool {
			if added == n || failure != nil {
				return true
			}
			failure = writeIndex(ctx, w, added, added+1)
			added++

			return false
		})
		if failure != nil {
			return nil, failure
		}
		points = append(points, slope.Point{
			Size:  float64(n),
			Value: float64(w.callCount()),
		})
	}

	return []slope.Slope{
		slope.Fit("store calls of one follower of the open-job index", "changes of the index", "calls", points),
	}, nil
}

// load varies the number of open jobs in the index when an instance starts.
func (m *Measurement) load(ctx context.Context) ([]slope.Slope, error) {
	var points []slope.Point
	for _, n := range []int{100, 500, 1500} {
		w := newSimulatedStore()
		if err := writeIndex(ctx, w, 0, n); err != nil {
			return nil, err
		}
		m.follow(ctx, w, func(int) bool { return true })
		points = append(points, slope.Point{
			Size:  float64(n),
			Value: float64(w.callCount()),
		})
	}

	return []slope.Slope{
		slope.Fit("store calls until a started follower knows the open-job index", "open jobs", "calls", points),
	}, nil
}

// follow follows the open-job index until done returns true for one of its updates.
func (m *Measurement) follow(ctx context.Context, w *simulatedStore, done func(seen int) bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := jobstore.New(w, func() configuration.BatchDefaults { return configuration.BatchDefaults{} }, w.clock)
	s.FollowOpen(ctx, func(jobs []job.OpenJob, _ int64, _ time.Time) {
		if done(len(jobs)) {
			cancel()
		}
	})
}

// writeIndex writes the index entries and records of open jobs; these calls are not counted.
func writeIndex(ctx context.Context, w *simulatedStore, from, to int) error {
	for _, o := range fixture.OpenJobs(to)[from:] {
		value, err := json.Marshal(o)
		if err != nil {
			return fault.Wrap(err, fault.CodeInternal, "cannot encode an index entry")
		}
		record, err := json.Marshal(job.Job{
			ID:         o.ID,
			Workspace:  o.Workspace,
			File:       o.File,
			Deployment: o.Deployment,
			Items:      o.Items,
			Chunks:     o.Chunks,
			Attempts:   o.Attempts,
			Deadline:   o.Deadline,
			State:      job.JobStateOpen,
		})
		if err != nil {
			return fault.Wrap(err, fault.CodeInternal, "cannot encode a job")
		}
		if _, err := w.Put(ctx, job.RecordKey(o.Workspace, o.ID), record, 0); err != nil {
			return err
		}
		if _, err := w.Put(ctx, job.OpenKey(o.ID), value, 0); err != nil {
			return err
		}
	}

	return nil
}
