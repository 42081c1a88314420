package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/job"
	"tarragonwalk/io/jobstore"
)

// cancelTime is how long after the acknowledgment of a cancellation an item of the job may still start.
const cancelTime = 4 * time.Second

// checker asserts the invariants of accepted items at each write to the store and at each start of an item.
type checker struct {
	mu       sync.Mutex
	problems []string
	values   map[string]string
	states   map[string]job.JobState
	canceled map[string]time.Time
}

func newChecker() *checker {
	return &checker{
		values:   make(map[string]string),
		states:   make(map[string]job.JobState),
		canceled: make(map[string]time.Time),
	}
}

func (c *checker) fail(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// write checks that a result and the parts that it names never change and that a job ends once.
func (c *checker) write(op, key string, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind, rest, _ := strings.Cut(key, "/")
	switch kind {
	case "result":
		if old, ok := c.values[key]; ok {
			c.fail("%s of the visible result %s, it was %s", op, key, old)
		}
		c.values[key] = string(value)
	case "part":
		if old, ok := c.values[key]; ok && op == "put" && old != string(value) {
			c.fail("part %s was replaced", key)
		}
		if op == "put" {
			c.values[key] = string(value)
		}
	case "job":
		_, id, _ := strings.Cut(rest, "/")
		var j job.Job
		if op != "put" || json.Unmarshal(value, &j) != nil {
			c.fail("%s of the job record %s", op, key)

			return
		}
		if old := c.states[id]; old != "" && old != job.JobStateOpen {
			c.fail("job %.8s became %s after %s", id, j.State, old)
		}
		c.states[id] = j.State
	}
}

// start checks that an item's job is accepted and was not canceled more than cancelTime ago.
func (c *checker) start(n *node, item string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := item[:strings.LastIndex(item, "-")]
	if c.states[id] == "" {
		c.fail("item %.12s of an unaccepted job started on %s", item, n.self)
	}
	if at, ok := c.canceled[id]; ok && time.Since(at) > cancelTime {
		c.fail("item of job %.8s started on %s %v after its cancellation", id, n.self, time.Since(at))
	}
}

func (c *checker) acknowledge(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.canceled[id]; !ok {
		c.canceled[id] = time.Now()
	}
}

// end checks that an accepted job has ended and that its results are complete and readable.
func (c *checker) end(s *jobstore.Store, j job.Job) {
	got, err := s.GetJob(context.Background(), j.Workspace, j.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || got.Job.State == job.JobStateOpen {
		c.fail("job %.8s with %d chunks has not ended: %v, %d chunks done, error %v", j.ID, j.Chunks, got.Job.State, got.ChunksDone, err)

		return
	}
	var b bytes.Buffer
	if err := s.ReadResults(context.Background(), j.Workspace, j.ID, &b); err != nil {
		c.fail("results of job %.8s: %v", j.ID, err)

		return
	}
	seen := make(map[string]bool)
	for l := range bytes.Lines(b.Bytes()) {
		var e job.ItemResult
		if json.Unmarshal(l, &e) != nil || seen[e.ID] {
			c.fail("job %.8s: second or undecodable result of item %s", j.ID, e.ID)
		}
		seen[e.ID] = true
	}
	if got.Job.State != job.JobStateCancelled && len(seen) != j.Items {
		c.fail("job %.8s is %s with %d results for %d items", j.ID, got.Job.State, len(seen), j.Items)
	}
}

// repeats checks that items run again only after a retryable error or a crash or pause of a node that ran them.
func (c *checker) repeats(f *fleet, j job.Job, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range j.Items {
		limit := 1
		if broken && i == 1 {
			limit = j.Attempts
		}
		runs := 0
		for _, n := range f.nodes {
			if !n.disturbed {
				runs += n.runs[job.RequestID(j.ID, i)]
			}
		}
		if runs > limit {
			c.fail("item %d of job %.8s ran %d times on undisturbed nodes", i, j.ID, runs)
		}
	}
}
