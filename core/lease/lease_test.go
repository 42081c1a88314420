package lease

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonwalk/core/fault"
	"tarragonwalk/internal/fakestore"
	"tarragonwalk/internal/rapidseed"
)

type fakeClock struct {
	now time.Time
}

func (c *fakeClock) read() time.Time { return c.now }

// Guards against two holders at once, also after a holder was paused and resumes.
func TestLease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, clock := fakestore.New(), &fakeClock{now: time.Unix(1000, 0)}
	a := New(store, "lease/x", "a", "a1", clock.read)
	b := New(store, "lease/x", "b", "b1", clock.read)
	is.NoErr(a.Step(ctx))
	is.NoErr(b.Step(ctx))
	token, ok := a.Held(clock.now)
	is.True(ok)
	is.Equal(token, 1)
	_, ok = b.Held(clock.now)
	is.True(!ok)
	clock.now = clock.now.Add(Term) // a is paused
	is.NoErr(b.Step(ctx))
	token, ok = b.Held(clock.now)
	is.True(ok)
	is.Equal(token, 2)
	is.Equal(b.ExclusiveAt(), clock.now.Add(Term)) // engines that ignore tokens get no orders until the term is over
	_, ok = a.Held(clock.now)
	is.True(!ok)
	is.NoErr(a.Step(ctx))
	_, ok = a.Held(clock.now)
	is.True(!ok)
}

// Guards against a planned stop that leaves the lease without a holder for a whole term.
func TestRelease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, clock := fakestore.New(), &fakeClock{now: time.Unix(1000, 0)}
	a := New(store, "lease/x", "a", "a1", clock.read)
	b := New(store, "lease/x", "b", "b1", clock.read)
	is.NoErr(a.Step(ctx))
	is.NoErr(a.Release(ctx))
	is.NoErr(b.Step(ctx))
	token, ok := b.Held(clock.now)
	is.True(ok)
	is.Equal(token, 2)
	is.True(!b.ExclusiveAt().After(clock.now))
}

// Guards against a new holder that does not wait for the end of the earlier term because the response of its write was lost.
func TestExclusiveAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, clock := fakestore.New(), &fakeClock{now: time.Unix(1000, 0)}
	a := New(store, "lease/x", "a", "a1", clock.read)
	b := New(store, "lease/x", "b", "b1", clock.read)
	is.NoErr(a.Step(ctx))
	is.NoErr(b.Step(ctx))
	clock.now = clock.now.Add(Term)
	store.SetLose(func(string, string) bool { return true })
	is.True(b.Step(ctx) != nil)
	store.SetLose(nil)
	is.NoErr(b.Step(ctx))
	_, ok := b.Held(clock.now)
	is.True(ok)
	is.Equal(b.ExclusiveAt(), clock.now.Add(Term))
}

// Guards against two holders at once and against a fencing token that does not grow, under pauses, outages and lost responses.
func TestLeaseRandom(t *testing.T) {
	rapidseed.Fix(t, "20261204")
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store, clock := fakestore.New(), &fakeClock{now: time.Unix(1000, 0)}
		lose := false
		store.SetLose(func(string, string) bool { return lose })
		leases := []*Lease{}
		for _, incarnation := range []string{"a1", "b1", "a2"} { // a2 replaces a1 while that still runs
			leases = append(leases, New(store, "lease/x", incarnation[:1], incarnation, clock.read))
		}
		highest := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			lose = rapid.IntRange(0, 4).Draw(t, "lose") == 0
			store.SetDown(rapid.IntRange(0, 7).Draw(t, "down") == 0)
			l := leases[rapid.IntRange(0, 2).Draw(t, "instance")]
			if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				_ = l.Release(ctx)
			} else if err := l.Step(ctx); err != nil && fault.CodeOf(err) == fault.CodeInternal {
				t.Fatal(err)
			}
			held := 0
			for _, l := range leases {
				token, ok := l.Held(clock.now)
				if !ok {
					continue
				}
				held++
				if token < highest {
					t.Fatalf("token %d is held after %d", token, highest)
				}
				highest = token
			}
			if held > 1 {
				t.Fatalf("%d holders at once", held)
			}
		}
	})
}
