package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/jedib0t/go-pretty/v6/table"

	"tarragonwalk/core/experiment"
	"tarragonwalk/core/experiment/preset"
	"tarragonwalk/core/experiment/report"
	"tarragonwalk/core/fault"
)

type experimentCommand struct {
	Preset   string   `long:"preset" default:"garth-ddu" choice:"garth-ddu" choice:"kurekizin" description:"Fleet and load"`
	Scenario []string `long:"scenario" choice:"batch" choice:"short" choice:"stragglers" choice:"hop" description:"Only this scenario; may be repeated"`
	Seed     uint64   `long:"seed" default:"1" description:"Seed of arrivals and choices"`
	Cores    int      `long:"cores" default:"4" description:"Cores to use at once"`
	Own      bool     `long:"own" description:"Only this version, without the baseline routers"`
	Output   string   `long:"output" description:"Write the figures as JSON to this file"`
}

// Execute runs the scenarios and prints their figures.
func (c *experimentCommand) Execute([]string) error {
	p, err := preset.Load(c.Preset)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(c.Cores)
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	r, err := experiment.New(p, c.Seed, log).Run(ctx, c.Scenario, !c.Own)
	if err != nil {
		return err
	}
	printReport(r)
	if c.Output == "" {
		return nil
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the figures")
	}

	return writeOut(c.Output, append(text, '\n'))
}

func printReport(r report.Report) {
	var arms []table.Row
	for _, a := range r.Arms {
		arms = append(arms, table.Row{
			a.Name, a.Requests, a.Failed, oneDecimal(a.FirstP50Millis), oneDecimal(a.FirstP95Millis), oneDecimal(a.FirstP99Millis),
			oneDecimal(a.WholeP50Millis), oneDecimal(a.WholeP99Millis), oneDecimal(a.GapP95Millis), oneDecimal(a.OnlineTokensPerSecond),
			oneDecimal(a.BatchTokensPerSecond), a.Hedged, a.Moved, a.Retried, a.Preempted,
		})
	}
	printTable(table.Row{
		"Load", "Requests", "Failed", "First p50 ms", "p95", "p99", "Whole p50 ms", "p99", "Token p95 ms", "Online tok/s",
		"Batch tok/s", "Hedged", "Moved", "Retried", "Preempted",
	}, arms)
	var rows []table.Row
	missed := 0
	for _, w := range r.Rows {
		rows = append(rows, table.Row{w.Measure, w.Target, w.Variant, fmt.Sprintf("%.2f %s", w.Value, w.Unit), w.Verdict})
		if w.Verdict == "missed" {
			missed++
		}
	}
	printTable(table.Row{"Measure", "Target", "Variant", "Figure", "Verdict"}, rows)
	fmt.Printf("%d targets missed (preset %s, seed %d)\n", missed, r.Preset, r.Seed)
}

func oneDecimal(v float64) string {
	return fmt.Sprintf("%.1f", v)
}
