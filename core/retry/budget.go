package retry

import (
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// Budget allows attempts beyond the first for a fixed share of the requests; it is not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
	random *rand.Rand
}

// New returns a full budget: ratio is the share of requests, from 0 to 1, and burst the attempts that can be saved up.
func New(ratio, burst float64, random *rand.Rand) *Budget {
	return &Budget{
		ratio:  ratio,
		burst:  burst,
		tokens: burst,
		random: random,
	}
}

// Request counts one request, which adds the ratio to the budget.
func (b *Budget) Request() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Allow reports whether one more attempt is within the budget, and spends it.
func (b *Budget) Allow() bool {
	// The tolerance covers rounding, so that ten requests at a ratio of 0.1 allow one attempt.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--

	return true
}

// Next returns when the attempt with this number, from 1, may start: full jitter below an exponential bound of 1 s.
func (b *Budget) Next(attempt int, at time.Time) time.Time {
	bound := maxBackoff
	if shift := attempt - 1; shift < 7 {
		bound = min(maxBackoff, firstBackoff<<max(0, shift))
	}

	return at.Add(time.Duration(b.random.Int64N(int64(bound))))
}
