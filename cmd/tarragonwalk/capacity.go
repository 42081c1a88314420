package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"tarragonwalk/core/capacity"
	"tarragonwalk/core/fault"
)

// capacityTimeout is the time limit of the whole measurement.
const capacityTimeout = 2 * time.Minute

type capacityCommand struct {
	Output string `long:"output" description:"File for the report in JSON"`
	Log    string `long:"log" default:"error" description:"Log level: debug, info, warn or error"`
}

// Execute measures the slopes and prints them.
func (c *capacityCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), capacityTimeout)
	defer cancel()
	report, err := capacity.New(newLogger(c.Log)).Run(ctx)
	if err != nil {
		return err
	}
	rows := []table.Row{}
	for _, s := range report.Slopes {
		points := []string{}
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.4g: %.4g", p.Size, p.Value))
		}
		rows = append(rows, table.Row{
			s.Name, s.Size, s.Unit, strings.Join(points, "\n"), fmt.Sprintf("%.4g", s.Slope),
			fmt.Sprintf("%.4g", s.Intercept), fmt.Sprintf("%.3g", s.Residual),
		})
	}
	printTable(table.Row{"Measured", "Against", "Unit", "Points", "Slope", "Intercept", "Residual"}, rows)
	fmt.Printf("%.1f s, %.1f s of processor time, %s\n", report.Seconds, report.ProcessorSeconds, report.Platform)
	if c.Output == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot encode the report")
	}

	return writeOut(c.Output, append(encoded, '\n'))
}
