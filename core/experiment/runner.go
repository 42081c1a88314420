package experiment

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"tarragonwalk/core/dispatch"
	"tarragonwalk/core/experiment/fleet"
	"tarragonwalk/core/experiment/preset"
	"tarragonwalk/core/experiment/recorder"
	"tarragonwalk/core/experiment/report"
	"tarragonwalk/core/experiment/traffic"
	"tarragonwalk/core/fault"
)

// Names of the scenarios; each scenario measures its own baselines.
const (
	Batch      = "batch"
	Short      = "short"
	Stragglers = "stragglers"
	Hop        = "hop"
)

// Variants in the rows of the report.
const (
	thisVersion   = "this version"
	roundRobin    = "round-robin"
	leastInFlight = "least-in-flight"
	// withoutHedging routes as this version does, so that its rows show what hedging and moving streams add.
	withoutHedging    = "without hedging and moving"
	longRequestFactor = 20
)

// Runner runs scenarios sequentially, each arm on a fresh fleet.
type Runner struct {
	preset preset.Preset
	seed   uint64
	log    *slog.Logger
	report report.Report
	// baselines adds the baseline routers to the variants that are measured.
	baselines bool
	arms      map[string]*recorder.Recorder
}

// arm is one load on one fleet; online and long are rates per second.
type arm struct {
	name       string
	online     int
	tokens     int
	long       int
	batch      bool
	stragglers bool
	options    []func(*dispatch.Dispatcher)
}

// New returns a runner whose arrivals and routing choices are drawn from seed.
func New(p preset.Preset, seed uint64, log *slog.Logger) *Runner {
	return &Runner{
		preset: p,
		seed:   seed,
		log:    log,
		arms:   map[string]*recorder.Recorder{},
	}
}

// Run measures the named scenarios, or all of them if names is empty. With baselines it also measures the baseline
// routers.
func (r *Runner) Run(ctx context.Context, names []string, baselines bool) (report.Report, error) {
	r.baselines = baselines
	r.report = report.Report{
		Preset:    r.preset.Name,
		Seed:      int(r.seed), //nolint:gosec // chosen by the operator, small
		StartedAt: time.Now(),
		Rows:      []report.Row{},
		Arms:      []report.Arm{},
	}
	scenarios := []struct {
		name string
		run  func(context.Context) error
	}{
		{Batch, r.batch},
		{Short, r.short},
		{Stragglers, r.stragglers},
		{Hop, r.hop},
	}
	for _, s := range scenarios {
		if len(names) > 0 && !slices.Contains(names, s.name) {
			continue
		}
		r.log.Info("scenario started", "scenario", s.name)
		if err := s.run(ctx); err != nil {
			return r.report, err
		}
	}

	return r.report, nil
}

// measure runs an arm and adds its summary to the report; an arm with the same name is run only once.
func (r *Runner) measure(ctx context.Context, a arm) (*recorder.Recorder, error) {
	if done := r.arms[a.name]; done != nil {
		return done, nil
	}
	p := r.preset
	f, err := fleet.New(p, r.seed, a.options...)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	before := readCounters()
	from := time.Now().Add(time.Duration(p.WarmMillis) * time.Millisecond)
	until := from.Add(time.Duration(p.ArmMillis) * time.Millisecond)
	rec := recorder.New(from, until)
	s := traffic.New(f.Dispatchers(), r.seed, p.PromptBytes, until)
	if a.batch {
		s.Batch(ctx, p.BatchTokens, rec)
	}
	if a.online > 0 {
		s.Online(ctx, "online", float64(a.online), a.tokens, rec)
	}
	if a.long > 0 {
		s.Online(ctx, "long", float64(a.long), longRequestFactor*a.tokens, nil)
	}
	if a.stragglers {
		injectStragglers(ctx, f, until)
	}
	s.Wait()
	if ctx.Err() != nil {
		return nil, fault.Wrap(ctx.Err(), fault.CodeCancelled, "experiment canceled")
	}
	r.arms[a.name] = rec
	r.report.Arms = append(r.report.Arms, summary(a.name, rec, before))

	return rec, nil
}

// injectStragglers slows down two backend servers of the first region by a factor of 10, for 2 s out of every 4 s each; the
// slow periods overlap by 1 s.
func injectStragglers(ctx context.Context, f *fleet.Fleet, until time.Time) {
	const factor, first, second = 10, 0, 5
	slow := map[bool]float64{
		true:  factor,
		false: 1,
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		f.Slow(first, slow[n%4 < 2])
		f.Slow(second, slow[n%4 == 1 || n%4 == 2])
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	f.Slow(first, 1)
	f.Slow(second, 1)
}

func (r *Runner) addRow(measure, variant string, value float64, unit, target string, met bool) {
	verdict := ""
	switch {
	case target == "":
	case met:
		verdict = "met"
	default:
		verdict = "missed"
	}
	r.report.Rows = append(r.report.Rows, report.Row{
		Measure: measure,
		Variant: variant,
		Value:   value,
		Unit:    unit,
		Target:  target,
		Verdict: verdict,
	})
}
