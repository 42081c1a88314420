package once

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonwalk/core/fault"
	"tarragonwalk/internal/fakestore"
	"tarragonwalk/internal/rapidseed"
)

// fixedSeed is used unless -rapid.seed gives another one.
const fixedSeed = "20260702"

// link is one instance's connection to the store; it fails once the instance's process has ended.
type link struct {
	*fakestore.Store
	mu   sync.Mutex
	dead bool
	// kill is the number of store calls until the process ends, 0 for never.
	kill int
}

func (l *link) pass() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kill > 0 {
		l.kill--
		l.dead = l.dead || l.kill == 0
	}
	if l.dead {
		return fault.New(fault.CodeStoreUnavailable, "process ended")
	}

	return nil
}

func (l *link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.dead
}

func (l *link) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := l.pass(); err != nil {
		return nil, 0, err
	}

	return l.Store.Get(ctx, key)
}

func (l *link) Put(ctx context.Context, key string, value []byte, v int64) (int64, error) {
	if err := l.pass(); err != nil {
		return 0, err
	}

	return l.Store.Put(ctx, key, value, v)
}

type send struct {
	guard, kill, wait, took int
	digest, kind            string
	lose, down              bool
}

// service counts the requests that reached it and collects violations.
type service struct {
	mu       sync.Mutex
	ran      int
	problems []string
}

func (s *service) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// do sends one request through a guard and checks its answer against what the service received.
func (s *service) do(g *Guard, l *link, q send) {
	reached := false
	status, kind, body, err := g.Do(context.Background(), "w", "k", q.digest, func(context.Context) (int, string, []byte, error) {
		if l.ended() || q.kind == "unreachable" {
			return 0, "", nil, fault.New(fault.CodeBackendUnreachable, "no connection")
		}
		time.Sleep(time.Duration(q.took) * time.Millisecond)
		s.mu.Lock()
		s.ran++
		s.mu.Unlock()
		reached = true
		if q.kind == "lost" {
			return 0, "", nil, fault.New(fault.CodeBackendSilent, "no answer")
		}

		return 201, "text/x-" + q.digest, []byte(q.digest), nil
	})
	s.mu.Lock()
	ran := s.ran
	s.mu.Unlock()
	switch {
	case ran > 1:
		s.problem("the request ran %d times", ran)
	case fault.NotRun(err) && reached:
		s.problem("not_run for a request that ran: %v", err)
	case err == nil && (status != 201 || kind != "text/x-"+q.digest || string(body) != q.digest):
		s.problem("digest %s got %d %s %q", q.digest, status, kind, body)
	case err == nil && ran == 0:
		s.problem("an outcome of a request that did not run")
	}
}

// Guards against a second run, not_run for a request that ran, and an outcome of another request, with resends through two
// guards, lost answers, store outages and the loss of a process at each of its store calls. The fixed seed makes 100 runs with
// 430 sends; scripts/soak.sh runs the test for longer.
func TestRandomResends(t *testing.T) {
	rapidseed.Fix(t, fixedSeed)
	runs, sends := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		var qs []send
		for range rapid.IntRange(1, 8).Draw(rt, "sends") {
			qs = append(qs, send{
				guard:  rapid.IntRange(0, 1).Draw(rt, "guard"),
				kill:   rapid.SampledFrom([]int{0, 0, 1, 2, 3}).Draw(rt, "kill"),
				wait:   rapid.SampledFrom([]int{0, 50, 8000}).Draw(rt, "wait"),
				took:   rapid.SampledFrom([]int{0, 30, 3000}).Draw(rt, "took"),
				digest: rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(rt, "digest"),
				kind:   rapid.SampledFrom([]string{"ok", "lost", "unreachable"}).Draw(rt, "kind"),
				lose:   rapid.Bool().Draw(rt, "lose"),
				down:   rapid.IntRange(0, 5).Draw(rt, "down") == 0,
			})
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		runs++
		sends += len(qs)
		s := &service{}
		synctest.Test(t, func(*testing.T) {
			store := fakestore.New()
			random := rand.New(rand.NewPCG(seed, 1))
			links := []*link{{Store: store}, {Store: store}}
			guards := []*Guard{New(links[0], time.Now), New(links[1], time.Now)}
			var group sync.WaitGroup
			for _, q := range qs {
				store.SetLose(func(string, string) bool { return q.lose && random.IntN(2) == 0 })
				if q.down {
					store.SetDown(true)
					time.AfterFunc(2*time.Second, func() { store.SetDown(false) })
				}
				if links[q.guard].ended() { // a new process
					links[q.guard] = &link{Store: store}
					guards[q.guard] = New(links[q.guard], time.Now)
				}
				l, g := links[q.guard], guards[q.guard]
				l.mu.Lock()
				l.kill = q.kill
				l.mu.Unlock()
				group.Go(func() { s.do(g, l, q) })
				time.Sleep(time.Duration(q.wait) * time.Millisecond)
			}
			group.Wait()
			time.Sleep(10 * time.Second)
		})
		if len(s.problems) > 0 {
			rt.Fatalf("%d violations, first: %s", len(s.problems), s.problems[0])
		}
	})
	t.Logf("%d runs, %d sends, seed %s", runs, sends, flag.Lookup("rapid.seed").Value)
}

// unreadableStore is a store whose reads fail, as in an outage right after a conflict.
type unreadableStore struct{ *fakestore.Store }

func (unreadableStore) Get(context.Context, string) ([]byte, int64, error) {
	return nil, 0, fault.New(fault.CodeStoreUnavailable, "down")
}

// Guards against not_run for a resend of a request that may have run.
func TestConflictThenOutage(t *testing.T) {
	s := fakestore.New()
	call := func(context.Context) (int, string, []byte, error) { return 201, "text/plain", []byte("ok"), nil }
	if _, _, _, err := New(s, time.Now).Do(t.Context(), "w", "k", "d", call); err != nil {
		t.Fatal(err)
	}
	_, _, _, err := New(unreadableStore{s}, time.Now).Do(t.Context(), "w", "k", "d", call)
	if fault.CodeOf(err) != fault.CodeOutcomeUnknown {
		t.Fatalf("got %v", err)
	}
}
