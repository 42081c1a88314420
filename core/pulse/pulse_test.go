package pulse

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that are woken too rarely or apart from each other, and against a slow task that holds up the others.
func TestTasksAreWokenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(100 * time.Millisecond)
		often, rarely, slow := p.Every(time.Millisecond), p.Every(250*time.Millisecond), p.Every(100*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		var last time.Time
		for n := 1; n <= 12; n++ {
			last = <-often
			if n%3 != 0 {
				continue
			}
			is.Equal(<-rarely, last)
		}
		is.Equal(len(slow), 1)
		is.True((<-slow).Before(last)) // the later ticks are dropped
	})
}

// Guards against a process that gets processor time rarely and wakes its tasks several times more rarely than that, since it counts the
// beats in place of the time that has passed; and against ticks that shift or come twice once it gets processor time again.
func TestLateBeats(t *testing.T) {
	is := is.New(t)
	const interval, period = 100 * time.Millisecond, 200 * time.Millisecond
	p := New(interval)
	ticks := p.Every(period)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	beat := func(after time.Duration) bool {
		p.beat(start.Add(after))
		select {
		case <-ticks:
			return true
		default:
			return false
		}
	}
	is.True(!beat(interval))
	late := interval
	for range 10 {
		late += 600 * time.Millisecond
		is.True(beat(late)) // a ticker of 200 ms would have ticked each time
	}
	for n := range 11 {
		jitter := time.Duration(n%3-1) * interval / 4
		is.Equal(beat(late+time.Duration(n+1)*interval+jitter), n%2 == 0)
	}
	added := p.Every(period)
	is.True(!beat(late + 12*interval))
	is.Equal(len(added), 0)
	is.True(beat(late + 13*interval))
	is.Equal(len(added), 1) // together with the other one
}
