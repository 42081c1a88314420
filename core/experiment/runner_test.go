package experiment

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/experiment/preset"
)

// Guards against scenarios that lose requests, hang, or omit a measure from the report. Timings are not checked.
func TestScenariosComplete(t *testing.T) {
	is := is.New(t)
	p, err := preset.Load("garth-ddu")
	is.NoErr(err)
	p.ArmMillis, p.WarmMillis, p.StepMicros, p.StreamMicros = 300, 50, 1000, 50
	r, err := New(p, 1, slog.New(slog.DiscardHandler)).Run(context.Background(), []string{Batch, Short}, false)
	is.NoErr(err)
	is.Equal(len(r.Arms), 5)
	is.Equal(len(r.Rows), 10)
	for _, a := range r.Arms {
		is.Equal(a.Failed, 0)
		is.True(a.OnlineTokensPerSecond+a.BatchTokensPerSecond > 0)
	}
	for _, w := range r.Rows {
		is.True(w.Verdict != "") // each of these rows has a target
	}
}

// Guards against a canceled run that reports figures as if it were complete.
func TestCanceledRunFails(t *testing.T) {
	is := is.New(t)
	p, err := preset.Load("garth-ddu")
	is.NoErr(err)
	p.ArmMillis, p.WarmMillis = 100, 0
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = New(p, 1, slog.New(slog.DiscardHandler)).Run(ctx, []string{Short}, false)
	is.True(err != nil)
}
