package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/job"
)

// Guards against taking over a chunk from a live holder and against leaving one with a dead holder.
func TestMayTakeOver(t *testing.T) {
	type step struct {
		after       time.Duration
		incarnation string
		counter     int
	}
	cases := []struct {
		name     string
		released bool
		steps    []step
		want     bool
	}{
		{name: "nothing seen", want: false},
		{name: "released", released: true, want: true},
		{name: "first look", steps: []step{{0, "a", 1}}, want: false},
		{name: "other incarnation", steps: []step{{0, "b", 1}}, want: true},
		{name: "unchanged 14 s", steps: []step{{0, "a", 1}, {14 * time.Second, "a", 1}}, want: false},
		{name: "unchanged 15 s", steps: []step{{0, "a", 1}, {15 * time.Second, "a", 1}}, want: true},
		{name: "renewed", steps: []step{{0, "a", 1}, {14 * time.Second, "a", 2}, {28 * time.Second, "a", 2}}, want: false},
		{name: "absent 15 s", steps: []step{{0, "", 0}, {15 * time.Second, "", 0}}, want: true},
		{name: "absent then present", steps: []step{{0, "", 0}, {15 * time.Second, "a", 1}}, want: false},
	}
	start := time.Now()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			for _, s := range c.steps {
				var o *job.Session
				if s.incarnation != "" {
					o = &job.Session{Instance: "x", Incarnation: s.incarnation, Counter: s.counter}
				}
				tracker.Observe("x", o, start.Add(s.after))
			}
			is.Equal(tracker.MayTakeOver(job.Claim{Holder: "x", Incarnation: "a", Attempt: 1, Released: c.released}), c.want)
		})
	}
}

// Guards against a number of claimants that grows with the fleet, and against a job without any.
func TestIsClaimant(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for j := range 50 {
		count := 0
		for _, n := range names {
			if IsClaimant(fmt.Sprint("job", j), n, names, 8) {
				count++
			}
		}
		is.Equal(count, 8)
	}
	is.True(!IsClaimant("job", "absent", names, 8))
}
