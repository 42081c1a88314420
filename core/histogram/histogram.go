package histogram

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMillis = 120_000
	// significantDigits is the precision of the recorded values; 2 digits keep a histogram below 10 KB.
	significantDigits = 2
)

// Histogram counts durations in milliseconds; it is safe for concurrent use.
type Histogram struct {
	// lock guards values.
	lock   sync.Mutex
	values *hdrhistogram.Histogram
}

// New returns a histogram that expvar publishes under a name, which has to be unique in the process.
func New(name string) *Histogram {
	h := &Histogram{
		values: hdrhistogram.New(1, maxMillis, significantDigits),
	}
	expvar.Publish(name, h)

	return h
}

// Record counts one duration. One above two minutes counts as two minutes, one below a millisecond as a millisecond.
func (h *Histogram) Record(d time.Duration) {
	millis := min(max(d.Milliseconds(), 1), maxMillis)
	h.lock.Lock()
	defer h.lock.Unlock()
	_ = h.values.RecordValue(millis) //nolint:errcheck // The value is within the bounds.
}

// String returns the count and some quantiles in milliseconds as JSON.
func (h *Histogram) String() string {
	h.lock.Lock()
	defer h.lock.Unlock()
	text, err := json.Marshal(map[string]int64{
		"Count": h.values.TotalCount(),
		"P50":   h.values.ValueAtQuantile(50),
		"P95":   h.values.ValueAtQuantile(95),
		"P99":   h.values.ValueAtQuantile(99),
		"Max":   h.values.Max(),
	})
	if err != nil {
		return "{}"
	}

	return string(text)
}
