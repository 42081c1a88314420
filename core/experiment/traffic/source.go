package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"tarragonwalk/core/dispatch"
	"tarragonwalk/core/experiment/fleet"
	"tarragonwalk/core/experiment/recorder"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/io/openai"
)

const (
	promptPrefixes = 16
	// onlineTimeout is well above the tail latency on a straggler.
	onlineTimeout = 30 * time.Second
	// maxRequests bounds the requests of one source, in addition to its end time.
	maxRequests = 20000
	workspaces  = 4
	// batchStreams is the number of concurrent items of each instance, more than the backend servers that it owns for batch
	// work can run.
	batchStreams = 48
)

// Source sends requests to dispatchers until its end time.
type Source struct {
	dispatchers []*dispatch.Dispatcher
	seed        uint64
	promptBytes int
	until       time.Time
	tasks       sync.WaitGroup
}

// New returns a source; the seed determines its arrivals and prompts.
func New(d []*dispatch.Dispatcher, seed uint64, promptBytes int, until time.Time) *Source {
	return &Source{
		dispatchers: d,
		seed:        seed,
		promptBytes: promptBytes,
		until:       until,
	}
}

// Wait returns when all requests have ended.
func (s *Source) Wait() {
	s.tasks.Wait()
}

// Online starts an open loop of online requests with exponential interarrival times. Latencies are measured from the
// scheduled arrival. A nil recorder records nothing.
func (s *Source) Online(ctx context.Context, name string, perSecond float64, tokens int, r *recorder.Recorder) {
	random := rand.New(rand.NewPCG(s.seed, uint64(tokens))) //nolint:gosec // reproducible arrivals
	s.tasks.Go(func() {
		arrival := time.Now()
		for n := range maxRequests {
			arrival = arrival.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			if !arrival.Before(s.until) {
				return
			}
			d := s.dispatchers[random.IntN(len(s.dispatchers))]
			q := Request(fmt.Sprintf("%s-%d", name, n), n, tokens, s.promptBytes, inference.ClassOnline)
			time.Sleep(time.Until(arrival))
			if ctx.Err() != nil {
				return
			}
			at := arrival
			s.tasks.Go(func() { runOnline(ctx, d, q, at, r) })
		}
	})
}

// Batch keeps batchStreams batch items in progress on every instance.
func (s *Source) Batch(ctx context.Context, tokens int, r *recorder.Recorder) {
	ctx, cancel := context.WithDeadline(ctx, s.until)
	s.tasks.Go(func() {
		defer cancel()
		<-ctx.Done()
	})
	for i, d := range s.dispatchers {
		for j := range batchStreams {
			s.tasks.Go(func() {
				for n := 0; n < maxRequests && ctx.Err() == nil; n++ {
					id := fmt.Sprintf("batch-%d-%d-%d", i, j, n)
					q := Request(id, n*batchStreams+j, tokens, s.promptBytes, inference.ClassBatch)
					// The end of the arm cancels the last streams; the tokens received until then are counted.
					_ = d.Run(ctx, q, func(inference.Event) error {
						r.BatchToken(time.Now())

						return nil
					})
				}
			})
		}
	}
}

// Request returns the n-th request of a load. The engine stand-in answers it with between half of the tokens and all of
// them.
func Request(id string, n, tokens, promptBytes int, class inference.Class) *inference.Request {
	prefix := fmt.Sprintf("prefix-%d ", n%promptPrefixes)
	common := strings.Repeat(prefix, promptBytes*2/3/len(prefix))
	prompt := common + strings.Repeat(fmt.Sprintf("%d ", n), 1)
	prompt += strings.Repeat("x", max(0, promptBytes-len(prompt)))
	// The body of strings and numbers can always be encoded.
	body, _ := json.Marshal(openai.ChatRequest{
		MaxTokens: tokens,
		Messages: []openai.Message{{
			Role:    "user",
			Content: prompt,
		}},
		Model: fleet.Deployment,
	})

	return &inference.Request{
		Body:        body,
		Class:       class,
		Deadline:    time.Now().Add(onlineTimeout),
		Deployment:  fleet.Deployment,
		ID:          id,
		MaxTokens:   tokens,
		Prefix:      prefix,
		PromptBytes: len(prompt),
		Stream:      id,
		Workspace:   fmt.Sprintf("workspace-%d", n%workspaces),
	}
}

func runOnline(
	ctx context.Context, d *dispatch.Dispatcher, q *inference.Request, arrival time.Time, r *recorder.Recorder,
) {
	var first time.Duration
	var last time.Time
	finished := false
	err := d.Run(ctx, q, func(e inference.Event) error {
		at := time.Now()
		if last.IsZero() {
			first = at.Sub(arrival)
		}
		if r != nil {
			gap := time.Duration(0)
			if !last.IsZero() {
				gap = at.Sub(last)
			}
			r.Token(at, gap)
		}
		last, finished = at, e.Finish != ""

		return nil
	})
	if err == nil && !finished {
		err = fault.New(fault.CodeStreamLost, "stream ended without a finish reason")
	}
	if r != nil {
		r.Request(arrival, first, time.Since(arrival), err)
	}
}
