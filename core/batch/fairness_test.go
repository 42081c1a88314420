package batch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/io/jobstore"
)

// Guards against a workspace with many jobs that starves another one, and against a job with less slack that is served after
// one with more.
func TestFairnessAndSlack(t *testing.T) {
	bubble(t, "two workspaces", func(is *is.I) {
		f := newFleet("a")
		s := jobstore.New(f.store, limits, time.Now)
		ids := make(map[string]string)
		submit := func(workspace, key string, items int, deadline time.Duration) {
			file, err := s.PutFile(context.Background(), workspace, "f", input(items, "x"))
			is.NoErr(err)
			st, err := s.Submit(context.Background(), job.Submission{Workspace: workspace, File: file.ID, Deployment: "d", Deadline: time.Now().Add(deadline), IdempotencyKey: key})
			is.NoErr(err)
			ids[st.Job.ID] = workspace + key
		}
		for i := range 4 {
			submit("large", fmt.Sprint(i), 60, time.Hour)
		}
		submit("small", "late", 12, 2*time.Hour)
		submit("small", "soon", 12, 30*time.Minute)
		var order []string
		f.started = func(_ *node, item string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			order = append(order, ids[item[:strings.LastIndex(item, "-")]])
		}
		a := f.launch("a", "1", 1)
		time.Sleep(30 * time.Second)
		a.stop()
		<-a.ended
		small, firstLate, lastSoon := 0, -1, -1
		for i, o := range order {
			switch {
			case o == "smalllate" && firstLate < 0:
				firstLate = i
			case o == "smallsoon":
				lastSoon = i
			}
			if i < 40 && strings.HasPrefix(o, "small") {
				small++
			}
		}
		// 40 items are 13 chunks; half of them may be one more or less.
		is.True(small >= 18 && small <= 24)
		is.True(firstLate >= 0 && lastSoon >= 0)
		is.True(lastSoon-firstLate <= 2) // the jobs overlap only at the end of the one with less slack
	})
}

// Guards against a workspace that gets no chunk while others with less slack have work, because it loses each tie.
func TestNoWorkspaceStarves(t *testing.T) {
	bubble(t, "more workspaces than chunks at a time", func(is *is.I) {
		f := newFleet("a")
		s := jobstore.New(f.store, limits, time.Now)
		workspaces := make(map[string]string)
		for i, w := range []string{"soon", "later", "last"} {
			file, err := s.PutFile(context.Background(), w, "f", input(60, "x"))
			is.NoErr(err)
			st, err := s.Submit(context.Background(), job.Submission{Workspace: w, File: file.ID, Deployment: "d", Deadline: time.Now().Add(time.Duration(i+1) * time.Hour)})
			is.NoErr(err)
			workspaces[st.Job.ID] = w
		}
		counts := make(map[string]int)
		f.answer = func(r *inference.Request) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			counts[workspaces[r.ID[:strings.LastIndex(r.ID, "-")]]]++

			return nil
		}
		a := f.launch("a", "1", 1)
		time.Sleep(10 * time.Second)
		a.stop()
		<-a.ended
		least, most := 60, 0
		for _, w := range workspaces {
			least, most = min(least, counts[w]), max(most, counts[w])
		}
		is.True(most-least <= 2*limits().ChunkItems) // a chunk more, and one that has not run yet
	})
}

// Guards against a chunk whose items wait while those of chunks that were claimed later take the free slots.
func TestSlotsInOrder(t *testing.T) {
	bubble(t, "20 items for one slot", func(is *is.I) {
		const items = 20
		f := newFleet("a")
		slots := 0
		f.slots = func(string, string) int {
			f.mu.Lock()
			defer f.mu.Unlock()

			return slots
		}
		n := &node{self: "a", fleet: f, link: &link{Store: f.store}}
		r := New(n.link, n, f, f, "a", "1", time.Now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		open := job.OpenJob{ID: "j", Workspace: "w", Deployment: "d", Chunks: 1, Deadline: time.Now().Add(time.Hour)}
		r.ObserveOpen([]job.OpenJob{open}, 1, time.Now())
		var order []int
		var group sync.WaitGroup
		for i := range items {
			group.Go(func() {
				if r.admit(context.Background(), r.jobs["j"]) != nil {
					return
				}
				order = append(order, i)
				time.Sleep(time.Millisecond)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.running["d"]--
				r.notify()
			})
			synctest.Wait()
		}
		f.mu.Lock()
		slots = 1
		f.mu.Unlock()
		group.Wait()
		is.Equal(len(order), items)
		is.True(slices.IsSorted(order))
	})
}
