package jobs

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/batch"
	"tarragonwalk/core/capacity/fixture"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/jobstore"
)

const (
	workspace = "workspace-0000"
	// bodyBytes keeps a full chunk of 500 items below the chunk limit of 256 KB.
	bodyBytes = 300
	waitTime  = 30 * time.Second
	poll      = 2 * time.Millisecond
)

// bench is a store with batch runners that have a fixed number of slots each. It is also the runners' dispatcher, member
// list and recorder.
type bench struct {
	store   *countingStore
	jobs    *jobstore.Store
	limits  configuration.BatchDefaults
	slots   int
	release chan struct{}
	started atomic.Int64
	members []membership.Instance
	runners []*batch.Runner
	tasks   conc.WaitGroup
	cancel  context.CancelFunc
}

func newBench(runners, slots, chunkItems int) *bench {
	b := &bench{
		store:   newCountingStore(),
		limits:  fixture.Configuration(0, 0, 0).Batch,
		slots:   slots,
		release: make(chan struct{}),
		members: fixture.Entries(runners),
	}
	b.limits.ChunkItems = chunkItems
	b.jobs = jobstore.New(b.store, func() configuration.BatchDefaults { return b.limits }, time.Now)
	for n, i := range b.members {
		b.runners = append(b.runners, batch.New(b.store, b, b, b, i.Name, fmt.Sprint(n), time.Now, fixture.Random(),
			slog.New(slog.DiscardHandler)))
	}

	return b
}

// Live returns the instances of the runners.
func (b *bench) Live(time.Time) []membership.Instance {
	return b.members
}

// BatchSlots returns the fixed number of slots.
func (b *bench) BatchSlots(string) int {
	return b.slots
}

// BatchOwners returns the names of all runners.
func (b *bench) BatchOwners(string) []string {
	names := make([]string, 0, len(b.members))
	for _, i := range b.members {
		names = append(names, i.Name)
	}

	return names
}

// CountPublished ignores the published results.
func (b *bench) CountPublished(string, int, time.Time, time.Time) {}

// Run blocks until release is closed and then completes the item.
func (b *bench) Run(ctx context.Context, _ *inference.Request, on func(inference.Event) error) error {
	b.started.Add(1)
	select {
	case <-b.release:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeCancelled, "run ended")
	}

	return on(inference.Event{
		Finish: "stop",
		Offset: 1,
		Text:   "Cast in bronze.",
	})
}

// submit uploads a file with the given number of items and submits it as a job.
func (b *bench) submit(ctx context.Context, name string, items int) (job.Status, error) {
	text := &bytes.Buffer{}
	content := bytes.Repeat([]byte("x"), bodyBytes)
	for n := range items {
		fmt.Fprintf(text, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"model-0",`+
			`"messages":[{"role":"user","content":"%s"}]}}`+"\n", name, n, content)
	}
	f, err := b.jobs.PutFile(ctx, workspace, name, text)
	if err != nil {
		return job.Status{}, err
	}

	return b.jobs.Submit(ctx, job.Submission{
		Workspace:  workspace,
		File:       f.ID,
		Deployment: fixture.Deployment,
		Deadline:   time.Now().Add(time.Hour),
	})
}

// start gives all runners the open jobs and runs them. It confirms the open-job index in place of the store, so that
// only the runners' own calls are counted.
func (b *bench) start(jobs []job.OpenJob) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	digest := job.Digest(jobs)
	for _, r := range b.runners {
		r.ObserveOpen(jobs, 1, time.Now())
		b.tasks.Go(func() { r.Run(ctx) })
		b.tasks.Go(func() {
			for ctx.Err() == nil {
				r.ConfirmOpen(digest, time.Now())
				time.Sleep(time.Second / 4)
			}
		})
	}
}

func (b *bench) stop() {
	if b.cancel != nil {
		b.cancel()
	}
	b.tasks.Wait()
}

// open returns the entry of a job in the open-job index.
func open(s job.Status) job.OpenJob {
	return job.OpenJob{
		ID:         s.Job.ID,
		Workspace:  s.Job.Workspace,
		Deployment: s.Job.Deployment,
		File:       s.Job.File,
		Items:      s.Job.Items,
		Chunks:     s.Job.Chunks,
		Attempts:   s.Job.Attempts,
		Deadline:   s.Job.Deadline,
	}
}

func await(what string, done func() bool) error {
	for deadline := time.Now().Add(waitTime); !done(); time.Sleep(poll) {
		if time.Now().After(deadline) {
			return fault.New(fault.CodeDeadlinePassed, what+" did not occur in time")
		}
	}

	return nil
}
