package coalesce

import (
	"io"
	"time"
)

// waitRatio is the longest wait for further pieces as a fraction of the time since the first piece, so that short streams are hardly
// delayed.
const waitRatio = 0.1

// Reader reads from a stream at most once per interval, so that several small pieces that arrive within it cost one read and one
// write. The first read does not wait, and the interval grows from 0 with the age of the stream.
type Reader struct {
	stream   io.Reader
	interval time.Duration
	now      func() time.Time
	beganAt  time.Time
	nextAt   time.Time
}

// New returns a reader of a stream with a longest interval.
func New(stream io.Reader, interval time.Duration, now func() time.Time) *Reader {
	return &Reader{
		stream:   stream,
		interval: interval,
		now:      now,
	}
}

// Read implements io.Reader; its errors are those of the stream.
func (r *Reader) Read(p []byte) (int, error) {
	if wait := r.nextAt.Sub(r.now()); wait > 0 {
		time.Sleep(wait)
	}
	n, err := r.stream.Read(p)
	at := r.now()
	if r.beganAt.IsZero() {
		r.beganAt = at
	}
	r.nextAt = at.Add(min(r.interval, time.Duration(waitRatio*float64(at.Sub(r.beganAt)))))

	return n, err //nolint:wrapcheck // it stands in for the stream
}
