package recorder

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against recording requests outside the window, and against failed requests missing from the latencies.
func TestWindow(t *testing.T) {
	is := is.New(t)
	from := time.Unix(100, 0)
	r := New(from, from.Add(time.Second))
	r.Request(from.Add(-time.Millisecond), time.Second, time.Second, nil)
	r.Request(from, 10*time.Millisecond, 20*time.Millisecond, nil)
	r.Request(from, 0, 2*time.Second, errors.New("refused"))
	r.Request(from.Add(time.Second), time.Second, time.Second, nil)
	requests, failed := r.Counts()
	is.Equal(requests, 2)
	is.Equal(failed, 1)
	is.Equal(r.First(99).Round(time.Millisecond), 10*time.Millisecond)
	is.Equal(r.Whole(99).Round(10*time.Millisecond), 2*time.Second)
}
