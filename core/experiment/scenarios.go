package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragonwalk/core/dispatch"
	"tarragonwalk/core/experiment/recorder"
	"tarragonwalk/core/routing/leastinflight"
	"tarragonwalk/core/routing/roundrobin"
)

// Bounds of the targets in section 1.3 of the design.
const (
	maxBatchTailRatio     = 1.10
	minBatchShare         = 0.90
	maxShortTailRatio     = 1.25
	maxStragglerTailRatio = 1.5
	maxFirstTokenTime     = 750 * time.Millisecond
	maxTokenGap           = 36 * time.Millisecond
	p99                   = 99
	p95                   = 95
)

func (r *Runner) onlineArm(name string) arm {
	return arm{
		name:   name,
		online: r.preset.OnlinePerSecond,
		tokens: r.preset.OnlineTokens,
	}
}

func (r *Runner) batch(ctx context.Context) error {
	alone, err := r.measure(ctx, r.onlineArm("online"))
	if err != nil {
		return err
	}
	combined := r.onlineArm("online and batch")
	combined.batch = true
	saturated, err := r.measure(ctx, combined)
	if err != nil {
		return err
	}
	batchOnly, err := r.measure(ctx, arm{
		name:  "batch",
		batch: true,
	})
	if err != nil {
		return err
	}
	first := ratio(saturated.First(p99), alone.First(p99))
	r.addRow("Time to first token p99, saturated by batch / without batch", thisVersion, first, "ratio", "<= 1.10",
		first <= maxBatchTailRatio)
	whole := ratio(saturated.Whole(p99), alone.Whole(p99))
	r.addRow("Online request p99, saturated by batch / without batch", thisVersion, whole, "ratio", "<= 1.10",
		whole <= maxBatchTailRatio)
	online, batch := saturated.Rates()
	_, capacity := batchOnly.Rates()
	share := batch / (capacity - online)
	r.addRow("Batch throughput beside online load / capacity left over", thisVersion, share, "ratio", ">= 0.90",
		share >= minBatchShare)
	// The batch-only arm leaves the headroom for online work free. The stricter ratio uses the nominal rate of the engines.
	nominalShare := batch / (r.nominalRate() - online)
	r.addRow("Batch throughput beside online load / rate of full engines left over", thisVersion, nominalShare, "ratio", ">= 0.90",
		nominalShare >= minBatchShare)
	for _, v := range []struct {
		name string
		load *recorder.Recorder
	}{
		{thisVersion + ", without batch", alone},
		{thisVersion + ", saturated by batch", saturated},
	} {
		r.addRow("Time to first token p95", v.name, millis(v.load.First(p95)), "ms", "<= 750", v.load.First(p95) <= maxFirstTokenTime)
		r.addRow("Inter-token latency p95", v.name, millis(v.load.Gap(p95)), "ms", "<= 36", v.load.Gap(p95) <= maxTokenGap)
	}

	return nil
}

// nominalRate returns the tokens per second of all backend servers with all slots in use, by the times of the preset.
func (r *Runner) nominalRate() float64 {
	p := r.preset
	workers := 0
	for _, z := range p.Zones {
		workers += z.Workers
	}
	step := time.Duration(p.StepMicros+p.Slots*p.StreamMicros) * time.Microsecond

	return float64(workers*p.Slots) / step.Seconds()
}

func (r *Runner) short(ctx context.Context) error {
	load := arm{
		name:   "short",
		online: r.preset.ShortPerSecond,
		tokens: r.preset.OnlineTokens,
	}
	alone, err := r.measure(ctx, load)
	if err != nil {
		return err
	}
	load.name, load.long = "short and long", r.preset.LongPerSecond
	mixed, err := r.measure(ctx, load)
	if err != nil {
		return err
	}
	first := ratio(mixed.First(p99), alone.First(p99))
	r.addRow("Short work, time to first token p99, mixed / alone", thisVersion, first, "ratio", "<= 1.25",
		first <= maxShortTailRatio)
	whole := ratio(mixed.Whole(p99), alone.Whole(p99))
	r.addRow("Short work, request p99, mixed / alone", thisVersion, whole, "ratio", "<= 1.25", whole <= maxShortTailRatio)

	return nil
}

func (r *Runner) stragglers(ctx context.Context) error {
	for _, v := range []struct {
		name, withoutStragglers string
		options                 []func(*dispatch.Dispatcher)
	}{
		{roundRobin, roundRobin, []func(*dispatch.Dispatcher){
			dispatch.WithRouter(roundrobin.New),
			dispatch.WithoutHedging(),
		}},
		{leastInFlight, leastInFlight, []func(*dispatch.Dispatcher){
			dispatch.WithRouter(func(usable func(string, time.Time) bool, online func(string) int) *leastinflight.Router {
				random := rand.New(rand.NewPCG(r.seed, 0)) //nolint:gosec // breaks ties only

				return leastinflight.New(usable, online, random)
			}),
			dispatch.WithoutHedging(),
		}},
		{withoutHedging, "online", []func(*dispatch.Dispatcher){dispatch.WithoutHedging()}},
		{thisVersion, "online", nil},
	} {
		if v.name != thisVersion && !r.baselines {
			continue
		}
		load := r.onlineArm(v.withoutStragglers)
		if v.name != withoutHedging {
			load.options = v.options
		}
		unaffected, err := r.measure(ctx, load)
		if err != nil {
			return err
		}
		load.name, load.stragglers, load.options = v.name+", stragglers", true, v.options
		slow, err := r.measure(ctx, load)
		if err != nil {
			return err
		}
		target := ""
		if v.name == thisVersion {
			target = "<= 1.5"
		}
		first := ratio(slow.First(p99), unaffected.First(p99))
		r.addRow("Time to first token p99, 2 of 12 workers slow / none", v.name, first, "ratio", target,
			first <= maxStragglerTailRatio)
		whole := ratio(slow.Whole(p99), unaffected.Whole(p99))
		r.addRow("Online request p99, 2 of 12 workers slow / none", v.name, whole, "ratio", target, whole <= maxStragglerTailRatio)
	}

	return nil
}
