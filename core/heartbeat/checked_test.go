package heartbeat_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a check of the store that does not reach all instances within a second, so that each would have to check for itself, and
// against one that looks newer after it was passed on.
func TestCheckReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		list := n.fleet(60)
		defer stopAll(list)
		time.Sleep(3 * time.Second)
		worst := time.Duration(0)
		for round := range 20 {
			checkedAt := time.Now()
			list[round].checked.RecordRead(1, 1, checkedAt)
			for _, i := range list {
				for i.checkedAt().Before(checkedAt.Add(-300 * time.Millisecond)) {
					time.Sleep(10 * time.Millisecond)
					is.True(time.Since(checkedAt) <= time.Second)
				}
				is.True(!i.checkedAt().After(checkedAt))
			}
			worst = max(worst, time.Since(checkedAt))
			time.Sleep(400*time.Millisecond + time.Duration(round)*17*time.Millisecond)
		}
		t.Log("slowest:", worst)
	})
}
