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
