package dispatch

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/inference"
)

// Guards against a batch item that waits for a slot while the list of open jobs becomes stale, and then starts although
// its job may have been canceled.
func TestBatchCondition(t *testing.T) {
	is := is.New(t)
	e := &fakeEngine{tokens: 1}
	d := newDispatcher(e, fleet(1, 4), 8)
	open := atomic.Bool{}
	d.SetBatchCondition(func(time.Time) bool { return open.Load() })
	var group sync.WaitGroup
	group.Go(func() {
		_, err := run(d, request("a", inference.ClassBatch))
		if err != nil {
			t.Error(err)
		}
	})
	time.Sleep(3 * pollInterval)
	is.Equal(e.count(), 0)
	open.Store(true)
	group.Wait()
	is.Equal(e.count(), 1)
}
