package bootclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a clock that stands still or is not that of the machine's start.
func TestNow(t *testing.T) {
	is := is.New(t)
	is.NoErr(Check())
	before := Now()
	time.Sleep(20 * time.Millisecond)
	is.True(Now().Sub(before) >= 20*time.Millisecond)
	is.True(before.After(time.Unix(0, 0)))
}
