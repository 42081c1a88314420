package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"tarragonwalk/core/capacity/decisions"
	"tarragonwalk/core/capacity/documents"
	"tarragonwalk/core/capacity/jobs"
	"tarragonwalk/core/capacity/peers"
	"tarragonwalk/core/capacity/propagation"
	"tarragonwalk/core/capacity/slope"
	"tarragonwalk/core/capacity/storecalls"
	"tarragonwalk/core/capacity/streams"
	"tarragonwalk/core/capacity/tables"
	"tarragonwalk/core/capacity/usage"
	"tarragonwalk/core/fault"
)

const (
	// processors limits the load on a shared machine.
	processors = 4
	rounds     = 3
)

// measurement measures one part of the system and returns its slopes.
type measurement interface {
	Run(ctx context.Context) ([]slope.Slope, error)
}

// Suite holds all measurements.
type Suite struct {
	log *slog.Logger
}

// New returns a suite that logs its progress.
func New(log *slog.Logger) *Suite {
	return &Suite{
		log: log,
	}
}

// Run runs all measurements sequentially on at most 4 processors. Nothing else may run in the process meanwhile, since
// its processor time and memory would be included.
func (s *Suite) Run(ctx context.Context) (*slope.Report, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
	meter := usage.New(rounds)
	began := time.Now()
	report := &slope.Report{
		StartedAt: began.UTC(),
		Platform:  fmt.Sprintf("%s %s/%s, GOMAXPROCS %d", runtime.Version(), runtime.GOOS, runtime.GOARCH, processors),
	}
	for _, m := range []struct {
		name string
		measurement
	}{
		{
			name:        "tables",
			measurement: tables.New(meter),
		},
		{
			name:        "jobs",
			measurement: jobs.New(meter),
		},
		{
			name:        "decisions",
			measurement: decisions.New(meter),
		},
		{
			name:        "documents",
			measurement: documents.New(meter),
		},
		{
			name:        "peers",
			measurement: peers.New(meter),
		},
		{
			name:        "spread",
			measurement: propagation.New(),
		},
		{
			name:        "streams",
			measurement: streams.New(usage.New(1)),
		},
		{
			name:        "storecalls",
			measurement: storecalls.New(),
		},
	} {
		started := time.Now()
		slopes, err := m.Run(ctx)
		if err != nil {
			return nil, fault.Wrap(err, fault.CodeOf(err), "cannot measure "+m.name)
		}
		s.log.Info("measured", "part", m.name, "seconds", time.Since(started).Seconds())
		report.Slopes = append(report.Slopes, slopes...)
	}
	report.Seconds = time.Since(began).Seconds()
	report.ProcessorSeconds = usage.Seconds()

	return report, nil
}
