package instance_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/io/standin/engine"
)

// Guards against a planned stop that cuts requests. Callers keep sending while the instance stops. A connection that is refused
// before a request is sent cuts nothing; every other request has to get its complete answer.
func TestStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	const callers = 12
	is := is.New(t)
	f := startFleet(t, 3)
	answered, refused, cut := atomic.Int64{}, atomic.Int64{}, atomic.Int64{}
	done := atomic.Bool{}
	p := pool.New()
	for n := range callers {
		c := f.Caller("entry-1", keyA)
		p.Go(func() {
			for k := 0; !done.Load(); k++ {
				r, body := newRequest(fmt.Sprintf("Note %d of caller %d", k, n), 10+n*10)
				text, err := stream(c, body, fmt.Sprintf("r-%d-%d", n, k), nil)
				want, _, _ := engine.Answer(r)
				switch {
				case err == nil && text == want:
					answered.Add(1)
				case err != nil && strings.Contains(err.Error(), "connection refused"):
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
				default:
					cut.Add(1)
					t.Logf("caller %d: %q, %v", n, text, err)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	before := answered.Load()
	is.True(before > 0)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(f.Stop(ctx, "entry-1"))
	done.Store(true)
	p.Wait()
	t.Logf("%d answered, %d of them during the stop, %d refused, %d cut", answered.Load(), answered.Load()-before, refused.Load(), cut.Load())
	is.Equal(cut.Load(), int64(0))
}
