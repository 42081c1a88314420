package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// Recorder holds latency histograms of the online requests in a time window; it is safe for concurrent use.
type Recorder struct {
	from, until time.Time

	lock          sync.Mutex
	first         *hdrhistogram.Histogram
	whole         *hdrhistogram.Histogram
	gaps          *hdrhistogram.Histogram
	requests      int
	failed        int
	online, batch int
}

// New returns a recorder of requests that arrive and of tokens that are received in [from, until).
func New(from, until time.Time) *Recorder {
	return &Recorder{
		from:  from,
		until: until,
		first: newHistogram(),
		whole: newHistogram(),
		gaps:  newHistogram(),
	}
}

// Request records an online request with its scheduled arrival and the latencies measured from that time.
func (r *Recorder) Request(arrival time.Time, first, whole time.Duration, err error) {
	if !r.within(arrival) {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.requests++
	if err != nil {
		r.failed++
	}
	// A failed request is recorded with the time until its failure; it may have received no token.
	if first > 0 {
		record(r.first, first)
	}
	record(r.whole, whole)
}

// Token records a received online token and the time since the previous token, 0 for the first one.
func (r *Recorder) Token(at time.Time, gap time.Duration) {
	if !r.within(at) {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.online++
	if gap > 0 {
		record(r.gaps, gap)
	}
}

// BatchToken counts a received batch token.
func (r *Recorder) BatchToken(at time.Time) {
	if !r.within(at) {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.batch++
}

// Counts returns the number of measured requests and how many of them failed.
func (r *Recorder) Counts() (requests, failed int) {
	r.lock.Lock()
	defer r.lock.Unlock()

	return r.requests, r.failed
}

// Rates returns the received online and batch tokens per second.
func (r *Recorder) Rates() (online, batch float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	seconds := r.until.Sub(r.from).Seconds()

	return float64(r.online) / seconds, float64(r.batch) / seconds
}

// First returns a percentile, from 0 to 100, of the time to first token.
func (r *Recorder) First(percentile float64) time.Duration {
	return r.percentile(r.first, percentile)
}

// Whole returns a percentile, from 0 to 100, of the time until the end of a request.
func (r *Recorder) Whole(percentile float64) time.Duration {
	return r.percentile(r.whole, percentile)
}

// Gap returns a percentile, from 0 to 100, of the inter-token latency.
func (r *Recorder) Gap(percentile float64) time.Duration {
	return r.percentile(r.gaps, percentile)
}

func (r *Recorder) percentile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()

	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *Recorder) within(at time.Time) bool {
	return !at.Before(r.from) && at.Before(r.until)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the bounds of the histogram.
	_ = h.RecordValue(min(maxLatency, max(time.Microsecond, d)).Microseconds())
}
