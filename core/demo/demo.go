package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/examples"
	"tarragonwalk/internal/fleet"
	"tarragonwalk/io/standin/engine"
)

const (
	garthDduKey  = "garth-ddu-example-key"
	kurekizinKey = "kurekizin-example-key"
	operatorKey  = "operator-example-key"
	stepTime     = 2 * time.Millisecond
	streamTime   = 100 * time.Microsecond
	engineBatch  = 16
	failMarker   = "cannot be drafted"
)

// Demo runs the demonstration steps and collects their outcomes.
type Demo struct {
	out      io.Writer
	log      *slog.Logger
	fleet    *fleet.Fleet
	rows     []table.Row
	failures int
}

// New returns a demo that prints the table of outcomes to out.
func New(out io.Writer, log *slog.Logger) *Demo {
	return &Demo{
		out: out,
		log: log,
	}
}

// Run runs all steps; it fails if any step failed.
func (d *Demo) Run(ctx context.Context) error {
	f, err := fleet.New(d.log)
	if err != nil {
		return err
	}
	d.fleet = f
	defer f.Close()
	if err := d.start(); err != nil {
		return err
	}
	steps := []struct {
		name string
		run  func(ctx context.Context) (string, error)
	}{
		{
			name: "callers get addresses",
			run:  d.listAddresses,
		},
		{
			name: "streamed requests in Turkish and English",
			run:  d.streamOnline,
		},
		{
			name: "non-idempotent order, resent elsewhere",
			run:  d.orderOnce,
		},
		{
			name: "patch in force everywhere",
			run:  d.patch,
		},
		{
			name: "stale patch refused",
			run:  d.patchStale,
		},
		{
			name: "batch of 1,000 with the accepting instance lost",
			run:  d.runBatch,
		},
		{
			name: "cancelled batch stops",
			run:  d.cancelBatch,
		},
		{
			name: "graceful stop cuts no stream",
			run:  d.stopGracefully,
		},
	}
	for _, s := range steps {
		d.step(ctx, s.name, s.run)
	}
	d.print()
	if d.failures > 0 {
		return fault.New(fault.CodeInternal, fmt.Sprintf("%d of %d steps failed", d.failures, len(steps)))
	}

	return nil
}

func (d *Demo) start() error {
	c := &configuration.Configuration{}
	text, err := examples.Files.ReadFile("configuration.json")
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot read an embedded example")
	}
	if err := decodeExample(text, c); err != nil {
		return err
	}
	if err := d.fleet.StartBackends(c, engine.Steps(stepTime, streamTime, engineBatch), engine.FailMarker(failMarker)); err != nil {
		return err
	}
	for _, e := range []struct{ name, zone, region string }{
		{
			name:   "entry-1",
			zone:   "taff-a",
			region: "cymru-south",
		},
		{
			name:   "entry-2",
			zone:   "taff-b",
			region: "cymru-south",
		},
		{
			name:   "entry-3",
			zone:   "menai-a",
			region: "cymru-north",
		},
	} {
		if err := d.fleet.StartInstance(e.name, e.zone, e.region); err != nil {
			return err
		}
	}
	if err := d.fleet.Configure("entry-1", c); err != nil {
		return err
	}

	return d.fleet.AwaitInstances()
}

// decodeExample decodes a configuration example with version 1. The file has no version, since the store assigns it.
func decodeExample(text []byte, c *configuration.Configuration) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &fields); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "the example configuration is not JSON")
	}
	fields["Version"] = json.RawMessage("1")
	text, err := json.Marshal(fields)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "the example configuration cannot be encoded")
	}
	if err := json.Unmarshal(text, c); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "the example configuration is not valid")
	}

	return nil
}

func (d *Demo) step(ctx context.Context, name string, run func(ctx context.Context) (string, error)) {
	startedAt := time.Now()
	detail, err := run(ctx)
	outcome := "ok"
	if err != nil {
		outcome = "WRONG"
		detail = err.Error()
		d.failures++
	}
	d.rows = append(d.rows, table.Row{name, outcome, detail, time.Since(startedAt).Round(time.Millisecond)})
}

func (d *Demo) print() {
	const detailWidth = 70
	w := table.NewWriter()
	w.SetOutputMirror(d.out)
	w.SetStyle(table.StyleLight)
	w.SetColumnConfigs([]table.ColumnConfig{
		{
			Name:     "What happened",
			WidthMax: detailWidth,
		},
	})
	w.AppendHeader(table.Row{"Step", "Outcome", "What happened", "Time"})
	w.AppendRows(d.rows)
	w.Render()
}

func failure(format string, arguments ...any) error {
	return fault.New(fault.CodeInternal, fmt.Sprintf(format, arguments...))
}
