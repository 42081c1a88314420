package batch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonwalk/core/job"
	"tarragonwalk/internal/rapidseed"
	"tarragonwalk/io/jobstore"
)

// fixedSeed is used unless -rapid.seed gives another one, so that each CI run draws the same faults.
const fixedSeed = "20260701"

// The faults of a randomised run.
const (
	faultCrash = iota
	faultPause
	faultOutage
	faultLost
	faultDelay
	faultDuplicate
	faultCancel
	faultPeerCancel
	faultPeerConfirm
	faultPartition
	faultKinds
)

type step struct {
	kind, node, job int
	// wait is the time to the next fault in milliseconds, 0 if both happen at once; length is the fault's duration in
	// milliseconds.
	wait, length int
}

type scenario struct {
	count       int
	lost        uint64
	submissions []submission
	steps       []step
}

type submission struct {
	items, deadline      int
	workspace, deploy    string
	special, idempotency string
}

func drawScenario(rt *rapid.T) scenario {
	s := scenario{
		count: rapid.IntRange(2, 3).Draw(rt, "runners"),
		lost:  rapid.Uint64().Draw(rt, "lost"),
	}
	for i := range rapid.IntRange(1, 4).Draw(rt, "jobs") {
		s.submissions = append(s.submissions, submission{
			items:       rapid.IntRange(1, 60).Draw(rt, "items"),
			deadline:    rapid.SampledFrom([]int{45, 3600, 3600}).Draw(rt, "deadline"),
			workspace:   rapid.SampledFrom([]string{"w", "v"}).Draw(rt, "workspace"),
			deploy:      rapid.SampledFrom([]string{"d", "e"}).Draw(rt, "deployment"),
			special:     rapid.SampledFrom([]string{"broken", "invalid", "x"}).Draw(rt, "special"),
			idempotency: fmt.Sprint("k", i),
		})
	}
	for range rapid.IntRange(0, 12).Draw(rt, "faults") {
		s.steps = append(s.steps, step{
			kind:   rapid.IntRange(0, faultKinds-1).Draw(rt, "kind"),
			node:   rapid.IntRange(0, s.count-1).Draw(rt, "node"),
			job:    rapid.IntRange(0, len(s.submissions)-1).Draw(rt, "job"),
			wait:   rapid.SampledFrom([]int{0, 30, 700, 2500, 6000}).Draw(rt, "wait"),
			length: rapid.SampledFrom([]int{500, 3500, 9000, 17000, 40000}).Draw(rt, "length"),
		})
	}

	return s
}

// scenarioRun is one randomised run.
type scenarioRun struct {
	fleet   *fleet
	checker *checker
	nodes   []*node
	jobs    map[int]job.Job
	files   []job.Submission
	store   *jobstore.Store
	lost    *rand.Rand
}

// submit submits a job and gives up after a few attempts, like a caller that gets the code not_run.
func (p *scenarioRun) submit(i int) {
	for range 5 {
		st, err := p.store.Submit(context.Background(), p.files[i])
		if err == nil {
			p.jobs[i] = st.Job

			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (p *scenarioRun) apply(s step, number int) {
	n := p.nodes[s.node]
	length := time.Duration(s.length) * time.Millisecond
	j, accepted := p.jobs[s.job]
	switch s.kind {
	case faultCrash:
		n.crash()
		p.nodes[s.node] = p.fleet.launch(n.self, fmt.Sprint(number+1), uint64(number))
	case faultPause:
		p.fleet.mu.Lock()
		n.disturbed = true
		p.fleet.mu.Unlock()
		if n.link.pause() {
			time.AfterFunc(length, n.link.resume)
		}
	case faultPartition:
		p.fleet.mu.Lock()
		n.disturbed = true
		p.fleet.mu.Unlock()
		n.link.setCut(true)
		time.AfterFunc(length, func() {
			if !n.crashed.Load() {
				n.link.setCut(false)
			}
		})
	case faultOutage:
		p.fleet.store.SetDown(true)
		time.AfterFunc(length, func() { p.fleet.store.SetDown(false) })
	case faultLost:
		p.fleet.store.SetLose(func(string, string) bool { return p.lost.IntN(3) == 0 })
		time.AfterFunc(length, func() { p.fleet.store.SetLose(nil) })
	case faultDelay:
		p.fleet.store.SetDelay(time.Duration(s.length/20) * time.Millisecond)
		time.AfterFunc(length, func() { p.fleet.store.SetDelay(0) })
	case faultDuplicate:
		p.submit(s.job)
	case faultCancel:
		if !accepted {
			return
		}
		for range 5 {
			if st, err := p.store.Cancel(context.Background(), j.Workspace, j.ID); err == nil {
				if st.Job.State == job.JobStateCancelled {
					p.checker.acknowledge(j.ID)
				}

				break
			}
		}
	case faultPeerCancel:
		p.checker.mu.Lock()
		_, known := p.checker.canceled[j.ID]
		p.checker.mu.Unlock()
		if known {
			n.CancelJobs([]string{j.ID})
		}
	case faultPeerConfirm:
		o := p.nodes[(s.node+1)%len(p.nodes)]
		p.fleet.mu.Lock()
		digest, at := o.digest, o.seenAt
		p.fleet.mu.Unlock()
		if !at.IsZero() {
			n.ConfirmOpen(digest, at)
		}
	}
}

// run executes a scenario in virtual time and returns the violated invariants.
func (s scenario) run() []string {
	f := newFleet([]string{"a", "b", "c"}[:s.count]...)
	f.took = time.Second // so that jobs last longer than the faults
	c := newChecker()
	f.store.SetObserve(c.write)
	f.started = c.start
	p := &scenarioRun{
		fleet:   f,
		checker: c,
		jobs:    make(map[int]job.Job),
		store:   jobstore.New(f.store, limits, time.Now),
		lost:    rand.New(rand.NewPCG(s.lost, 1)),
	}
	for i, n := range f.names {
		p.nodes = append(p.nodes, f.launch(n, "0", uint64(i)))
	}
	for _, u := range s.submissions {
		file, err := p.store.PutFile(context.Background(), u.workspace, "f", input(u.items, u.special))
		if err != nil {
			c.fail("file: %v", err)
		}
		p.files = append(p.files, job.Submission{
			Workspace: u.workspace, File: file.ID, Deployment: u.deploy, IdempotencyKey: u.idempotency,
			Deadline: time.Now().Add(time.Duration(u.deadline) * time.Second),
		})
	}
	for i := range s.submissions {
		p.submit(i)
	}
	for i, t := range s.steps {
		p.apply(t, i)
		time.Sleep(time.Duration(t.wait) * time.Millisecond)
	}
	time.Sleep(time.Minute) // all faults have ended
	f.store.SetDown(false)
	f.store.SetLose(nil)
	f.store.SetDelay(0)
	time.Sleep(6 * time.Minute)
	for _, j := range p.jobs {
		c.end(p.store, j)
	}
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.ended
	}
	for i, j := range p.jobs {
		c.end(p.store, j)
		c.repeats(f, j, s.submissions[i].special == "broken")
	}
	time.Sleep(time.Minute)

	return c.problems
}

// Guards against combinations of faults that lose an item, give it two results, change a result, run an item of a
// canceled or unaccepted job, or end a job twice. The seed does not determine the order in which goroutines are scheduled, so
// it may take several runs with a seed to reproduce a failure. The fixed seed makes 100 runs with 455 faults; scripts/soak.sh
// runs the test for longer with fresh seeds.
func TestRandomFaults(t *testing.T) {
	rapidseed.Fix(t, fixedSeed)
	runs, faults := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		runs++
		faults += len(s.steps)
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = s.run() })
		if len(problems) > 0 {
			rt.Fatalf("%d violations, first: %s", len(problems), problems[0])
		}
	})
	t.Logf("%d runs, %d faults, seed %s", runs, faults, flag.Lookup("rapid.seed").Value)
}
