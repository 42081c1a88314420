package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/job"
	"tarragonwalk/internal/subprocess"
)

// holders returns how many chunks without a result each holder has, by the claims in the store.
func (f *fleet) holders(is *is.I, id string) map[string]int {
	held := make(map[string]int)
	entries, _, err := f.store.List(context.Background(), job.ClaimsPrefix(id), "", 1000)
	is.NoErr(err)
	for _, e := range entries {
		value, _, err := f.store.Get(context.Background(), e.Key)
		if fault.CodeOf(err) == fault.CodeNotFound {
			// Claims are deleted once the job has left the index, maybe since the listing; before that, none may disappear.
			_, _, err = f.store.Get(context.Background(), job.OpenKey(id))
			is.Equal(fault.CodeOf(err), fault.CodeNotFound)

			continue
		}
		is.NoErr(err)
		var c job.Claim
		is.NoErr(json.Unmarshal(value, &c))
		key := job.ResultsPrefix(id) + e.Key[len(job.ClaimsPrefix(id)):]
		if _, _, err := f.store.Get(context.Background(), key); fault.CodeOf(err) == fault.CodeNotFound && !c.Released {
			held[c.Holder]++
		}
	}

	return held
}

// Guards against an instance that claims more chunks than its batch slots can run, so that other batch owners find no work.
func TestCapacity(t *testing.T) {
	cases := []struct {
		name    string
		slots   func(name string, since time.Duration) int
		refused bool
		// most is how many chunks of 3 items an instance may hold: 2 chunks with a running item each and 1 chunk in advance.
		most map[string]int
	}{
		{name: "both own", slots: func(string, time.Duration) int { return 2 }, most: map[string]int{"a": 3, "b": 3}},
		{name: "one owns", slots: func(n string, _ time.Duration) int { return map[string]int{"a": 2}[n] }, most: map[string]int{"a": 3}},
		{name: "batch owner changes", slots: func(n string, d time.Duration) int {
			if n == "b" && d > 3*time.Second {
				return 0
			}

			return 2
		}, most: map[string]int{"a": 3, "b": 3}},
		{name: "items refused as not run", slots: func(string, time.Duration) int { return 2 }, refused: true, most: map[string]int{"a": 3, "b": 3}},
	}
	for _, c := range cases {
		bubble(t, c.name, func(is *is.I) {
			f := newFleet("a", "b")
			begin := time.Now()
			f.slots = func(n, _ string) int { return c.slots(n, time.Since(begin)) }
			f.answer = func(*inference.Request) error {
				if c.refused {
					return fault.New(fault.CodeBackendUnreachable, "no connection")
				}

				return nil
			}
			_, st := f.submit(is, 60, "x")
			a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
			atChange := 0
			problem := "" // asserted at the end, since the goroutines of a bubble must end first
			for i := range 100 {
				time.Sleep(100 * time.Millisecond)
				held := f.holders(is, st.Job.ID)
				for n, k := range held {
					if k > c.most[n] {
						problem = fmt.Sprintf("after %v %s holds %d chunks", time.Since(begin), n, k)
					}
				}
				if c.name == "batch owner changes" && i == 31 {
					atChange = held["b"]
				}
				if c.name == "batch owner changes" && i > 31 && held["b"] > atChange {
					problem = fmt.Sprintf("b claims without slots: %d, before %d", held["b"], atChange)
				}
			}
			a.stop()
			b.stop()
			<-a.ended
			<-b.ended
			is.Equal(problem, "")
		})
	}
}

// Guards against jobs that are never run because no batch owner of their deployment ranks high enough among the live instances.
func TestBatchOwnersFindJobs(t *testing.T) {
	bubble(t, "2 batch owners among 40", func(is *is.I) {
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprint("n", i))
		}
		f := newFleet(names...)
		f.slots = func(n, _ string) int { return map[string]int{"n3": 2, "n17": 2}[n] }
		f.batchOwners = func(string) []string { return []string{"n17", "n3"} }
		var ids []string
		for i := range 4 {
			_, st := f.submitKey(is, 2, "x", fmt.Sprint("k", i))
			ids = append(ids, st.Job.ID)
		}
		var all []*node
		for i, n := range names {
			all = append(all, f.launch(n, "1", uint64(i)))
		}
		time.Sleep(30 * time.Second)
		for _, n := range all {
			n.stop()
		}
		for _, n := range all {
			<-n.ended
		}
		for _, id := range ids {
			got, err := all[0].jobs.GetJob(context.Background(), "w", id)
			is.NoErr(err)
			is.Equal(got.Job.State, job.JobStateCompleted)
		}
	})
}

// Guards against a job that never ends because the instance that claimed its only chunk lost its backend servers for batch work to
// another instance: the one waited for a slot, the other for the chunk.
func TestChunkFollowsBatchOwner(t *testing.T) {
	bubble(t, "owner changes after the claim", func(is *is.I) {
		f := newFleet("a", "b")
		begin := time.Now()
		f.slots = func(n, _ string) int {
			if early := time.Since(begin) < 100*time.Millisecond; (n == "a") == early {
				return 2
			}

			return 0
		}
		f.started = func(n *node, _ string) {
			if n.self == "a" {
				time.Sleep(time.Second) // a's items are still running when b becomes the owner
			}
		}
		_, st := f.submit(is, 20, "x")
		a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
		time.Sleep(20 * time.Second)
		published := 0
		for n := range 20 {
			if _, _, err := f.store.Get(context.Background(), job.ResultKey(st.Job.ID, n)); err == nil {
				published++
			}
		}
		a.stop()
		b.stop()
		<-a.ended
		<-b.ended
		is.Equal(published, st.Job.Chunks)
	})
}

// Guards against a chunk that lies idle for 10 s and more after its holder has given it up, because the owner of the backend
// servers has last looked for it right before that.
func TestGivenUpChunkIsFoundSoon(t *testing.T) {
	bubble(t, "given up after the second poll", func(is *is.I) {
		f := newFleet("a", "b")
		f.took = time.Minute
		begin := time.Now()
		f.slots = func(n, _ string) int {
			// a learns late that b owns its backend servers.
			if n == "a" && time.Since(begin) < 3500*time.Millisecond || n == "b" && time.Since(begin) > 100*time.Millisecond {
				return 2
			}

			return 0
		}
		f.batchOwners = func(string) []string {
			if time.Since(begin) < 100*time.Millisecond {
				return []string{"a"}
			}

			return []string{"b"}
		}
		_, st := f.submit(is, 3, "x")
		a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
		time.Sleep(8 * time.Second)
		held := f.holders(is, st.Job.ID)
		a.stop()
		b.stop()
		<-a.ended
		<-b.ended
		is.Equal(held, map[string]int{"b": 1})
	})
}

// Guards against a chunk that no instance runs because the release of its claim has failed, while its holder, which may not run it
// any more, keeps its session alive with other chunks.
func TestFailedRelease(t *testing.T) {
	bubble(t, "store down at the release", func(is *is.I) {
		f := newFleet("a", "b")
		f.took = time.Second
		begin := time.Now()
		owner := func(deployment string) string {
			if deployment == "d" && time.Since(begin) > 500*time.Millisecond {
				return "b"
			}

			return "a"
		}
		f.slots = func(n, deployment string) int {
			if n == owner(deployment) {
				return 1
			}

			return 0
		}
		f.batchOwners = func(deployment string) []string { return []string{owner(deployment)} }
		s, st := f.submit(is, 3, "x")
		file, err := s.PutFile(context.Background(), "w", "f", input(100, "x"))
		is.NoErr(err)
		_, err = s.Submit(context.Background(), job.Submission{Workspace: "w", File: file.ID, Deployment: "e", Deadline: time.Now().Add(10 * time.Minute)})
		is.NoErr(err)
		a, b := f.launch("a", "1", 1), f.launch("b", "1", 2)
		time.Sleep(time.Second)
		a.link.setCut(true)
		time.Sleep(5 * time.Second)
		a.link.setCut(false)
		time.Sleep(30 * time.Second)
		got, err := s.GetJob(context.Background(), "w", st.Job.ID)
		a.stop()
		b.stop()
		<-a.ended
		<-b.ended
		is.NoErr(err)
		is.Equal(got.Job.State, job.JobStateCompleted)
	})
}

// Guards against a chunk that counts as held until its job ends, because the claim that its holder gives up is gone from the store.
func TestReleaseOfMissingClaim(t *testing.T) {
	bubble(t, "claim gone at the release", func(is *is.I) {
		f := newFleet("a")
		f.took = time.Second
		begin := time.Now()
		f.slots = func(string, string) int {
			if time.Since(begin) > 500*time.Millisecond {
				return 0
			}

			return 2
		}
		f.batchOwners = func(string) []string { return []string{"a", "b"} } // b is not running
		_, st := f.submit(is, 3, "x")
		id := st.Job.ID
		f.refuse = func(key string, version int64) bool {
			return version != 0 && strings.HasPrefix(key, job.ClaimsPrefix(id))
		}
		a := f.launch("a", "1", 1)
		time.Sleep(8 * time.Second)
		a.mu.Lock()
		held := a.heldTotal
		a.mu.Unlock()
		a.stop()
		<-a.ended
		is.Equal(held, 0)
	})
}

// Guards against a panic in an item that nobody sees until the other items of its chunk have ended.
func TestPanicInItem(t *testing.T) {
	subprocess.Panics(t, "item failed", func() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("a")
			f.took = time.Hour
			f.slots = func(string, string) int { return 10 }
			var once sync.Once
			f.started = func(*node, string) { once.Do(func() { panic("item failed") }) }
			_, _ = f.submit(is.New(t), 3, "x")
			f.launch("a", "1", 1)
			time.Sleep(30 * time.Second)
			os.Exit(0)
		})
	})
}
