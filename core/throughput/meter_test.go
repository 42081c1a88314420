package throughput

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a rate that includes events older than the window, or leaves out some of it: the counts of a constant rate are
// constant, and fall to nothing within a window and a bucket after its end.
func TestWindow(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	m := New()
	for since := time.Duration(0); since < 3*Window; since += 10 * time.Millisecond {
		m.Add("r", 1, start.Add(since))
		if since > Window+bucketTime {
			is.Equal(m.Events("r", start.Add(since)), int(Window/(10*time.Millisecond)))
		}
	}
	end := start.Add(3 * Window)
	is.Equal(len(m.Total(end.Add(Window-bucketTime))), 1)
	is.Equal(m.Events("r", end.Add(Window+bucketTime)), 0)
	is.Equal(len(m.Total(end.Add(10*Window))), 0)
	is.Equal(m.Events("other", end), 0)
}
