package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

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
