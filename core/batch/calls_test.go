package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/job"
)

// Guards against a fleet at full size that uses up the store's read limit by looking for free chunks. 420 instances with free
// slots and 1,400 open jobs, whose chunks are all claimed by live holders, may make at most 5% of 2,000 reads per second.
func TestStoreCalls(t *testing.T) {
	bubble(t, "full size", func(is *is.I) {
		const instances, jobs, chunks, allowed = 420, 1400, 8, 100
		var names []string
		for i := range instances {
			names = append(names, fmt.Sprint("n", i))
		}
		f := newFleet(names...)
		put := func(key string, v any, version int64) int64 {
			value, err := json.Marshal(v)
			is.NoErr(err)
			version, err = f.store.Put(context.Background(), key, value, version)
			is.NoErr(err)

			return version
		}
		infos := make([]job.ChunkInfo, chunks)
		for n := range infos {
			infos[n] = job.ChunkInfo{FirstItem: n, Items: 1, Bytes: 10}
		}
		put(job.FileKey("w", "f"), job.File{ID: "f", Workspace: "w", Bytes: 10 * chunks, Items: chunks, Model: "m", Chunks: infos}, 0)
		var open []job.OpenJob
		for i := range jobs {
			o := job.OpenJob{ID: fmt.Sprint("j", i), Workspace: "w", Deployment: "d", File: "f", Items: chunks, Chunks: chunks, Attempts: 3, Deadline: time.Now().Add(10 * time.Hour)}
			open = append(open, o)
			put(job.RecordKey("w", o.ID), job.Job{ID: o.ID, Workspace: "w", File: "f", Deployment: "d", Model: "m", Items: chunks, Chunks: chunks, Attempts: 3, State: job.JobStateOpen, Deadline: o.Deadline}, 0)
			for n := range chunks {
				put(job.ClaimKey(o.ID, n), job.Claim{Holder: names[1+(i+n)%10], Incarnation: "1", Attempt: 1}, 0)
			}
		}
		n := &node{self: "n0", fleet: f, link: &link{Store: f.store}}
		r := New(n.link, n, f, f, "n0", "1", time.Now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.Run(ctx)
		}()
		versions := make(map[string]int64)
		before, own := 0, 0
		const warm, total = 800, 2000
		for second := range total {
			r.ObserveOpen(open, int64(second), time.Now())
			if second%5 == 0 {
				for _, h := range names[1:11] {
					versions[h] = put(job.SessionKey(h), job.Session{Instance: h, Incarnation: "1", Counter: second}, versions[h])
					own++
				}
			}
			if second == warm {
				before, own = f.store.Calls(), 0
			}
			time.Sleep(time.Second)
		}
		calls := float64(f.store.Calls()-before-own) / (total - warm) * instances
		cancel()
		<-ended
		t.Logf("%.0f calls a second by %d instances", calls, instances)
		is.True(calls <= allowed)
	})
}

// Guards against a lost holder that is found only at the next poll of its job, which is rare with many open jobs, and against
// a holder that is considered lost although it renews its session.
func TestLostHolderAmongManyJobs(t *testing.T) {
	bubble(t, "1000 open jobs", func(is *is.I) {
		f := newFleet("a", "b")
		f.slots = func(_, deployment string) int { return map[string]int{"d": 2}[deployment] }
		_, st := f.submit(is, 3, "x")
		j := st.Job
		open := []job.OpenJob{{ID: j.ID, Workspace: "w", Deployment: "d", File: j.File, Items: 3, Chunks: 1, Attempts: 3, Deadline: time.Now().Add(time.Hour)}}
		for i := range 1000 {
			open = append(open, job.OpenJob{ID: fmt.Sprint("other", i), Workspace: "w", Deployment: "e", File: "f", Items: 1, Chunks: 1, Attempts: 3, Deadline: time.Now().Add(time.Hour)})
		}
		put := func(key string, v any, version int64) int64 {
			value, err := json.Marshal(v)
			is.NoErr(err)
			version, err = f.store.Put(context.Background(), key, value, version)
			is.NoErr(err)

			return version
		}
		version := put(job.SessionKey("b"), job.Session{Instance: "b", Incarnation: "1", Counter: 1}, 0)
		put(job.ClaimKey(j.ID, 0), job.Claim{Holder: "b", Incarnation: "1", Attempt: 1}, 0)
		n := &node{self: "a", fleet: f, link: &link{Store: f.store}, runs: make(map[string]int)}
		r := New(n.link, n, f, f, "a", "1", time.Now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.Run(ctx)
		}()
		const lost, within = 1300, 60 // seconds
		early := 0
		for second := range lost + within {
			r.ObserveOpen(open, int64(second), time.Now())
			if second < lost && second%5 == 0 {
				version = put(job.SessionKey("b"), job.Session{Instance: "b", Incarnation: "1", Counter: second}, version)
			}
			time.Sleep(time.Second)
			if second < lost {
				f.mu.Lock()
				early += len(f.runs)
				f.mu.Unlock()
			}
		}
		cancel()
		<-ended
		is.Equal(early, 0)
		is.Equal(len(f.runs), 3)
	})
}
