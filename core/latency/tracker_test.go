package latency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// run records a stream with a time to first token and tokens at a gap, and returns its end.
func run(t *Tracker, name string, id uint64, at time.Time, first, gap time.Duration, tokens int) time.Time {
	t.StartStream("d", name, id, at)
	at = at.Add(first)
	t.Token(name, id, at)
	for range tokens - 1 {
		at = at.Add(gap)
		t.Token(name, id, at)
	}
	t.EndStream(name, id, at)

	return at
}

// healthy returns a tracker with three backend servers at 40 ms to the first token and 10 ms between tokens.
func healthy(at time.Time) *Tracker {
	t := New(time.Second)
	for w := range 3 {
		for n := range 8 {
			run(t, fmt.Sprintf("w%d", w), uint64(n), at.Add(-500*time.Millisecond), 40*time.Millisecond,
				10*time.Millisecond, 8)
		}
	}

	return t
}

// Guards against stragglers that are not detected, and against healthy backend servers that are taken for stragglers.
func TestStraggler(t *testing.T) {
	at := time.Unix(100, 0)
	cases := []struct {
		name       string
		first, gap time.Duration
		streams    int
		want       bool
	}{
		{name: "healthy", first: 40 * time.Millisecond, gap: 10 * time.Millisecond, streams: 10},
		{name: "slow first tokens", first: 400 * time.Millisecond, gap: 10 * time.Millisecond, streams: 10, want: true},
		{name: "slow tokens", first: 40 * time.Millisecond, gap: 100 * time.Millisecond, streams: 10, want: true},
		{name: "twice the median", first: 80 * time.Millisecond, gap: 20 * time.Millisecond, streams: 10},
		{name: "one long prompt", first: 400 * time.Millisecond, gap: 10 * time.Millisecond, streams: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := healthy(at)
			now := at
			for n := range c.streams {
				end := run(p, "x", uint64(n), at, c.first, c.gap, 8)
				now = end
			}
			is.Equal(p.Straggler("x", now), c.want)
			is.Equal(p.Straggler("w0", now), false)
			is.Equal(p.Straggler("unknown", now), false)
		})
	}
}

// Guards against a silent backend server that is not detected while it holds streams.
func TestSilentWorker(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	p := healthy(at)
	p.StartStream("d", "w1", 99, at)
	p.Token("w1", 99, at.Add(40*time.Millisecond))
	is.Equal(p.Straggler("w1", at.Add(50*time.Millisecond)), false)
	is.Equal(p.Straggler("w1", at.Add(1100*time.Millisecond)), true)
}

// Guards against probes that delay many callers, and against recovered backend servers that stay unused.
func TestProbesBackOffAndRecover(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	p := healthy(at)
	p.Fail("w2", at)
	is.True(p.Straggler("w2", at))
	probes := 0
	for n := range 200 {
		if p.Probe("w2", at.Add(time.Duration(n)*100*time.Millisecond)) {
			probes++
		}
	}
	is.True(probes >= 3 && probes <= 5) // after 1, 2, 4 and 8 s
	end := run(p, "w2", 50, at.Add(21*time.Second), 40*time.Millisecond, 10*time.Millisecond, 8)
	is.Equal(p.Straggler("w2", end), false)
}

// Guards against a hedging delay that is computed from too few samples, and against one that is not the p95.
func TestHedgeDelay(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	p := New(time.Second)
	is.Equal(p.HedgeDelay("d"), defaultHedgeDelay)
	for n := 1; n <= 100; n++ {
		run(p, "w", uint64(n), at, time.Duration(n)*time.Millisecond, 0, 1)
	}
	is.Equal(p.HedgeDelay("d"), 96*time.Millisecond)
}

// Guards against streams that are moved because of one ordinary pause, and against late streams that are never moved.
func TestLate(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	p := healthy(at)
	p.StartStream("d", "w1", 99, at)
	late, _ := p.Late("w1", 99, at.Add(time.Second))
	is.Equal(late, false) // a late first token is handled by hedging
	at = at.Add(40 * time.Millisecond)
	p.Token("w1", 99, at)
	late, after := p.Late("w1", 99, at.Add(30*time.Millisecond))
	is.Equal(late, false)
	is.Equal(after, 10*time.Millisecond) // 4 times the median gap of 10 ms
	late, _ = p.Late("w1", 99, at.Add(41*time.Millisecond))
	is.Equal(late, true)
	late, _ = p.Late("gone", 99, at)
	is.Equal(late, false)
}
