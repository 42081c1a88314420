package experiment

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"tarragonwalk/core/experiment/fleet"
	"tarragonwalk/core/experiment/preset"
	"tarragonwalk/core/experiment/recorder"
	"tarragonwalk/core/experiment/traffic"
	"tarragonwalk/core/inference"
)

const (
	maxAddedMillis = 0.5
	hopPairs       = 500
	// countedRequests is large enough to make the allocations of background work negligible.
	countedRequests = 200
	hopTokens       = 2
	p50             = 50
)

// hop measures the latency and the allocations that a dispatcher adds to a request, compared with direct requests to
// the same engine, which makes one step per millisecond.
func (r *Runner) hop(ctx context.Context) error {
	const step = 1000
	p := r.preset
	p.StepMicros, p.StreamMicros = step, 0
	p.Zones = []preset.Zone{{
		Name:      "zone",
		Region:    "region",
		Instances: 1,
		Workers:   1,
	}}
	f, err := fleet.New(p, r.seed)
	if err != nil {
		return err
	}
	defer f.Close()
	via := f.Dispatchers()[0].Run
	type path struct {
		name string
		run  func(context.Context, *inference.Request, func(inference.Event) error) error
		*recorder.Recorder
	}
	now := time.Now()
	window := func() *recorder.Recorder { return recorder.New(now, now.Add(time.Minute)) }
	paths := []path{{"direct", f.Direct, window()}, {"via", via, window()}}
	for n := range hopPairs {
		// The order alternates, so that the effect of a request on the next one is the same for both paths.
		for k := range paths {
			h := paths[(n+k)%len(paths)]
			q := traffic.Request(fmt.Sprintf("hop-%s-%d", h.name, n), 0, hopTokens, p.PromptBytes, inference.ClassOnline)
			start := time.Now()
			var first time.Duration
			err := h.run(ctx, q, func(inference.Event) error {
				if first == 0 {
					first = time.Since(start)
				}

				return nil
			})
			if err != nil {
				return err
			}
			h.Request(start, first, time.Since(start), nil)
		}
	}
	added := millis(paths[1].First(p50)) - millis(paths[0].First(p50))
	r.addRow("Time to first token added by the dispatcher, p50", thisVersion, added, "ms", "<= 0.5", added <= maxAddedMillis)
	added = millis(paths[1].Whole(p50)) - millis(paths[0].Whole(p50))
	r.addRow("Request time added by the dispatcher, p50", thisVersion, added, "ms", "<= 0.5", added <= maxAddedMillis)

	var counts []float64
	for _, h := range paths {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for n := range countedRequests {
			q := traffic.Request(fmt.Sprintf("count-%s-%d", h.name, n), 0, p.OnlineTokens, p.PromptBytes,
				inference.ClassOnline)
			if err := h.run(ctx, q, func(inference.Event) error { return nil }); err != nil {
				return err
			}
		}
		runtime.ReadMemStats(&after)
		counts = append(counts, float64(after.Mallocs-before.Mallocs)/countedRequests)
	}
	r.addRow("Allocations per request, client and engine stand-in", "direct", counts[0], "allocations", "", false)
	r.addRow("Allocations per request added by the dispatcher", thisVersion, counts[1]-counts[0], "allocations", "", false)

	return nil
}
