package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/sourcegraph/conc/iter"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/fault"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/burnpage"
)

const (
	burnPath = "/admin/v1/burn"
	// maxConcurrentQueries is the number of instances that are queried at the same time.
	maxConcurrentQueries = 32
)

var errFiring = errors.New("a burn alert is firing")

type reportCommand struct {
	Burn burnReportCommand `command:"burn" description:"Merge the burn rates of several entry instances" long-description:"Asks the operators' API of each instance for its counts, merges them and judges the burn rates of each route and of each deployment's batch work. The time of an instance that does not answer counts as missing. Exit codes: 0 no alert is firing, 1 no instance answered, 5 an alert is firing."`
}

type burnReportCommand struct {
	URLs    []string      `long:"url" env:"TARRAGONWALK_URL" env-delim:"," required:"yes" description:"Base URL of an instance's operators' API; may be repeated"`
	Key     string        `long:"key" env:"TARRAGONWALK_KEY" description:"Bearer key of an operator"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Time that an instance may take to answer"`
	JSON    bool          `long:"json" description:"Print JSON for scripts"`
	HTML    string        `long:"html" value-name:"FILE" description:"Also write the report as one HTML page"`
}

// Execute prints the merged report, and returns errFiring if an alert fires.
func (c *burnReportCommand) Execute([]string) error {
	if slices.Contains(c.URLs, "") {
		return fault.New(fault.CodeInvalid, "the URL of an instance is empty")
	}
	at := time.Now().UTC()
	sources, snapshots := c.query()
	report := burn.Merge(at, sources, snapshots)
	if err := c.show(report); err != nil {
		return err
	}
	answered := 0
	for _, s := range report.Sources {
		if s.Answered {
			answered++
		}
	}
	switch {
	case answered == 0:
		return fault.New(fault.CodeUnavailable, "no instance answered")
	case report.Firing > 0:
		return errFiring
	default:
		return nil
	}
}

func (c *burnReportCommand) show(report burn.Report) error {
	if c.HTML != "" {
		page, err := burnpage.Render(report)
		if err != nil {
			return err
		}
		if err := writeOut(c.HTML, page); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(report)
	}
	if c.HTML != "-" {
		printBurns(report)
	}

	return nil
}

// query requests the counts of each URL. It returns a source for each, and its snapshot or nil if there was no answer.
func (c *burnReportCommand) query() ([]burn.Source, []*burn.Snapshot) {
	sources := make([]burn.Source, len(c.URLs))
	snapshots := make([]*burn.Snapshot, len(c.URLs))
	m := iter.Iterator[string]{
		MaxGoroutines: maxConcurrentQueries,
	}
	m.ForEachIdx(c.URLs, func(n int, u *string) {
		sources[n].URL = *u
		s, err := c.queryInstance(*u)
		if err != nil {
			sources[n].Error = err.Error()

			return
		}
		snapshots[n] = s
	})

	return sources, snapshots
}

func (c *burnReportCommand) queryInstance(url string) (*burn.Snapshot, error) {
	type answer struct {
		snapshot *burn.Snapshot
		err      error
	}
	// The client's own timeout allows for large results, so this one is separate. A request that exceeds it goes on in its
	// goroutine until the process ends.
	done := make(chan answer, 1)
	go func() {
		body, err := apiclient.New(strings.TrimSuffix(url, "/"), c.Key).Get(burnPath)
		s := &burn.Snapshot{}
		if err == nil {
			err = apiclient.Decode(body, s)
		}
		done <- answer{
			snapshot: s,
			err:      err,
		}
	}()
	t := time.NewTimer(c.Timeout)
	defer t.Stop()
	select {
	case a := <-done:
		return a.snapshot, a.err
	case <-t.C:
		return nil, fault.New(fault.CodeUnavailable, "no answer within "+c.Timeout.String())
	}
}

func printBurns(report burn.Report) {
	if len(report.Rows) > 0 {
		printBurnTable(report.Rows)
		fmt.Println("Each window shows its burn rate (- if nothing was counted) and the share of its time that has data.")
	}
	for _, s := range report.Sources {
		switch {
		case !s.Answered:
			fmt.Printf("missing: %s: %s\n", s.URL, s.Error)
		case s.Error != "":
			fmt.Printf("ignored: %s: %s\n", s.URL, s.Error)
		}
	}
}

func printBurnTable(rows []burn.Row) {
	header := table.Row{"Route", "Objective", "Target", "Budget left"}
	for _, b := range rows[0].Burns {
		header = append(header, b.Name)
	}
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.SetStyle(table.StyleLight)
	// Window names stay in lower case, as 5M could be read as five months.
	w.Style().Format.Header = text.FormatDefault
	w.AppendHeader(append(header, "Alert"))
	for _, r := range rows {
		line := table.Row{r.Name, r.Objective, burnpage.Target(r.Target), burnpage.Budget(r)}
		for _, b := range r.Burns {
			line = append(line, burnpage.Rate(b)+"\n"+burnpage.Percent(b.Covered))
		}
		w.AppendRow(append(line, alerts(r)))
		w.AppendSeparator()
	}
	w.Render()
}

// alerts names the pairs that are not quiet.
func alerts(r burn.Row) string {
	var lines []string
	for _, a := range r.Alerts {
		if a.State != burn.AlertStateQuiet {
			lines = append(lines, fmt.Sprintf("%s/%s %s", a.Long, a.Short, a.State))
		}
	}
	if lines == nil {
		return string(burn.AlertStateQuiet)
	}

	return strings.Join(lines, "\n")
}
