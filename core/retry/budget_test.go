package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries that multiply the load of a failing fleet.
func TestBudgetBoundsRetries(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		want     int
	}{
		{name: "burst only", want: 5},
		{name: "share of requests", requests: 1000, want: 105},
		{name: "exact earnings", requests: 10, want: 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := New(0.1, 5, rand.New(rand.NewPCG(1, 2)))
			allowed := 0
			for b.Allow() {
				allowed++
			}
			for range c.requests {
				b.Request()
				for b.Allow() {
					allowed++
				}
			}
			is.Equal(allowed, c.want)
		})
	}
}

// Guards against a budget that grows beyond the burst while there are no retries.
func TestBudgetSavesBurstOnly(t *testing.T) {
	b := New(0.1, 3, rand.New(rand.NewPCG(1, 2)))
	for range 1000 {
		b.Request()
	}
	allowed := 0
	for b.Allow() {
		allowed++
	}
	is.New(t).Equal(allowed, 3)
}

// Guards against synchronized retries, and against unbounded or overflowing backoff.
func TestNextIsJitteredAndBounded(t *testing.T) {
	is := is.New(t)
	b := New(0.1, 3, rand.New(rand.NewPCG(1, 2)))
	at := time.Unix(1, 0)
	for attempt, bound := range map[int]time.Duration{
		1: 10 * time.Millisecond, 3: 40 * time.Millisecond, 7: 640 * time.Millisecond, 8: time.Second, 100: time.Second,
	} {
		seen := map[time.Time]bool{}
		for range 100 {
			next := b.Next(attempt, at)
			is.True(!next.Before(at) && next.Before(at.Add(bound)))
			seen[next] = true
		}
		is.True(len(seen) > 90)
	}
}
