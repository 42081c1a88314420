package burnpage

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"strconv"
	"strings"
	"time"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/fault"
)

//go:embed page.html
var source string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": Percent,
	"target":  Target,
	"rate":    Rate,
	"budget":  Budget,
	"time":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"kind":    func(o burn.Objective) string { return strings.ReplaceAll(string(o), "_", " ") },
	"state":   state,
}).Parse(source))

// plot holds the charts of one route or deployment in the light and the dark theme.
type plot struct {
	Title string
	Light []template.HTML
	Dark  []template.HTML
}

type view struct {
	burn.Report
	Incomplete int
	Plots      []plot
}

// Render returns the HTML page of a report.
func Render(r burn.Report) ([]byte, error) {
	v := view{
		Report: r,
	}
	for _, e := range r.Rows {
		for _, a := range e.Alerts {
			if a.State == burn.AlertStateIncomplete {
				v.Incomplete++
			}
		}
	}
	for _, rows := range groups(r.Rows) {
		p := plot{
			Title: "Route " + rows[0].Name,
		}
		if rows[0].Objective == burn.ObjectiveBatch {
			p.Title = "Batch items of deployment " + rows[0].Name
		}
		if !hasCounts(rows) {
			v.Plots = append(v.Plots, p)

			continue
		}
		for _, dark := range []bool{false, true} {
			charts, err := draw(rows, dark)
			if err != nil {
				return nil, fault.Wrap(err, fault.CodeInternal, "draw the burn rates of "+rows[0].Name)
			}
			if dark {
				p.Dark = charts
			} else {
				p.Light = charts
			}
		}
		v.Plots = append(v.Plots, p)
	}
	b := &bytes.Buffer{}
	if err := page.Execute(b, v); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "write the burn page")
	}

	return b.Bytes(), nil
}

// hasCounts reports whether any hour has counts to draw.
func hasCounts(rows []burn.Row) bool {
	for _, r := range rows {
		for _, b := range r.Hours {
			if b.Window.Good+b.Window.Bad > 0 {
				return true
			}
		}
	}

	return false
}

// groups splits the rows by route or deployment; the rows of each must be adjacent.
func groups(rows []burn.Row) [][]burn.Row {
	var g [][]burn.Row
	for _, r := range rows {
		n := len(g) - 1
		if n >= 0 && g[n][0].Name == r.Name && (g[n][0].Objective == burn.ObjectiveBatch) == (r.Objective == burn.ObjectiveBatch) {
			g[n] = append(g[n], r)
		} else {
			g = append(g, []burn.Row{r})
		}
	}

	return g
}

// Percent formats a covered share or the remaining budget with one decimal, rounded down so that 99.99 % is not shown as
// 100 %.
func Percent(v float64) string {
	// Without the margin, 0.29*1000 would be rounded down to 289.
	return strconv.FormatFloat(math.Floor(v*1000+1e-6)/10, 'f', -1, 64) + " %"
}

// Target formats the target of an objective with all of its digits.
func Target(v float64) string {
	return strconv.FormatFloat(math.Round(v*1e8)/1e6, 'f', -1, 64) + " %"
}

// Rate formats a burn rate, or returns a dash if nothing was counted.
func Rate(b burn.Burn) string {
	switch {
	case b.Window.Good+b.Window.Bad == 0:
		return "–"
	case b.Rate >= burn.MaxRate:
		return "no budget"
	default:
		return fmt.Sprintf("%.2f", b.Rate)
	}
}

// Budget formats the remaining budget, or returns a dash if nothing was counted.
func Budget(r burn.Row) string {
	if n := len(r.Burns); n == 0 || r.Burns[n-1].Window.Good+r.Burns[n-1].Window.Bad == 0 {
		return "–"
	}
	if r.BudgetLeft <= 1-burn.MaxRate {
		return "no budget"
	}

	return Percent(r.BudgetLeft)
}

func state(s burn.Source) string {
	switch {
	case !s.Answered:
		return "missing"
	case s.Error != "":
		return "ignored"
	default:
		return "answered"
	}
}
