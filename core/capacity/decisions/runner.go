package decisions

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"tarragonwalk/core/batch"
	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/core/membership"
	"tarragonwalk/internal/fakestore"
)

const (
	// nonMember is not a live instance, so its runner ranks every job and works on none.
	nonMember       = "entry-outside"
	measureDuration = 500 * time.Millisecond
	wakeTime        = 10 * time.Millisecond
)

// stubDispatcher is a dispatcher and recorder with a free batch slot that receives no items.
type stubDispatcher struct{}

// Run is never called.
func (stubDispatcher) Run(context.Context, *inference.Request, func(inference.Event) error) error {
	return nil
}

// BatchSlots returns one free slot.
func (stubDispatcher) BatchSlots(string) int {
	return 1
}

// countingMembers is a fixed list of live instances. It counts the steps of a runner, which reads the list once a step.
type countingMembers struct {
	list  []membership.Instance
	steps atomic.Int64
}

// Live returns the list and counts a step.
func (c *countingMembers) Live(time.Time) []membership.Instance {
	c.steps.Add(1)

	return c.list
}

func newRunner(instances int) (*batch.Runner, *countingMembers) {
	c := &countingMembers{
		list: fixture.Entries(instances),
	}

	return batch.New(fakestore.New(), stubDispatcher{}, c, stubDispatcher{}, nonMember, "1", time.Now, fixture.Random(),
		slog.New(slog.DiscardHandler)), c
}

// observe returns a function that reports the same n open jobs to a runner under a new revision.
func observe(n int) func() error {
	r, _ := newRunner(1)
	jobs := fixture.OpenJobs(n)
	revision := int64(0)

	return func() error {
		revision++
		r.ObserveOpen(jobs, revision, time.Now())

		return nil
	}
}

// steps varies the numbers of open jobs and of live instances that a runner with free slots ranks in each step.
func (m *Measurement) steps(ctx context.Context) ([]slope.Slope, error) {
	const fewInstances, fewJobs = 100, 200
	var byJobs, byInstances []slope.Point
	for _, n := range []int{100, 400, 1600} {
		v, err := m.step(ctx, n, fewInstances)
		if err != nil {
			return nil, err
		}
		byJobs = append(byJobs, slope.Point{
			Size:  float64(n),
			Value: v,
		})
	}
	for _, n := range []int{16, 128, 420} {
		v, err := m.step(ctx, fewJobs, n)
		if err != nil {
			return nil, err
		}
		byInstances = append(byInstances, slope.Point{
			Size:  float64(n),
			Value: v,
		})
	}

	return []slope.Slope{
		slope.Fit("batch.Runner step with free slots, 100 instances", "open jobs", "us", byJobs),
		slope.Fit("batch.Runner step with free slots, 200 open jobs", "live instances", "us", byInstances),
	}, nil
}

// step returns the processor time of one step in microseconds. It wakes the runner repeatedly to get more steps in a
// short time.
func (m *Measurement) step(ctx context.Context, jobs, instances int) (float64, error) {
	r, members := newRunner(instances)
	open := fixture.OpenJobs(jobs)
	digest := job.Digest(open)
	r.ObserveOpen(open, 1, time.Now())
	ctx, cancel := context.WithTimeout(ctx, measureDuration)
	defer cancel()
	ended := make(chan struct{})
	before := usage.Seconds()
	go func() {
		r.Run(ctx)
		close(ended)
	}()
	for ctx.Err() == nil {
		r.ConfirmOpen(digest, time.Now())
		time.Sleep(wakeTime)
	}
	<-ended

	return (usage.Seconds() - before) / float64(max(1, members.steps.Load())) * 1e6, nil
}

// BatchOwners returns the runner itself.
func (stubDispatcher) BatchOwners(string) []string {
	return []string{nonMember}
}

// CountPublished ignores the published results.
func (stubDispatcher) CountPublished(string, int, time.Time, time.Time) {}
