package burnpage

import (
	"html/template"
	"math"
	"strconv"
	"strings"

	"github.com/go-analyze/charts"

	"tarragonwalk/core/burn"
)

const (
	width       = 760
	burnHeight  = 250
	shareHeight = 130
)

// palette holds the colors of one theme; the series colors have a contrast of at least 3:1 to the background.
type palette struct {
	text, line string
	series     []string
	share      string
}

var (
	light = palette{
		text:   "#24292f",
		line:   "#d0d7de",
		series: []string{"#0550ae", "#bc4c00", "#1a7f37"},
		share:  "#6e7781",
	}
	dark = palette{
		text:   "#e6edf3",
		line:   "#3d444d",
		series: []string{"#79c0ff", "#ffa657", "#7ee787"},
		share:  "#8b949e",
	}
)

func (p palette) theme(isDark bool, series []string) charts.ColorPalette {
	colors := make([]charts.Color, 0, len(series))
	for _, c := range series {
		colors = append(colors, charts.ColorFromHex(c))
	}

	return charts.MakeTheme(charts.ThemeOption{
		IsDarkMode:         isDark,
		AxisStrokeColor:    charts.ColorFromHex(p.line),
		AxisSplitLineColor: charts.ColorFromHex(p.line),
		BackgroundColor:    charts.ColorTransparent,
		TextColor:          charts.ColorFromHex(p.text),
		SeriesColors:       colors,
	})
}

// draw returns a chart of the burn rates by hour and one of the covered share by hour. An hour without counts has no point in
// the first chart.
func draw(rows []burn.Row, isDark bool) ([]template.HTML, error) {
	p := light
	if isDark {
		p = dark
	}
	hours := len(rows[0].Hours)
	rates := make([][]float64, len(rows))
	names := make([]string, len(rows))
	labels := make([]string, hours)
	share := make([]float64, hours)
	highest := 0.0
	for n, r := range rows {
		names[n] = strings.ReplaceAll(string(r.Objective), "_", " ")
		rates[n] = make([]float64, hours)
		for h, b := range r.Hours {
			at := hours - 1 - h // the current hour is on the right
			rates[n][at] = charts.GetNullValue()
			if b.Window.Good+b.Window.Bad > 0 {
				rates[n][at] = b.Rate
				highest = max(highest, b.Rate)
			}
			share[at] = 100 * b.Covered
			// The current hour may not have any covered time yet. It repeats the share of the hour before, since the library
			// draws no area up to a null value.
			if b.Window.Millis == 0 && h+1 < hours {
				share[at] = 100 * r.Hours[h+1].Covered
			}
			labels[at] = strconv.Itoa(h) + " h ago"
		}
	}
	labels[hours-1] = "now"
	burns, err := chart(rates, names, labels, p.theme(isDark, p.series), axisEnd(highest), burnHeight, "Burn rate")
	if err != nil {
		return nil, err
	}
	covered, err := chart([][]float64{share}, []string{"covered share"}, labels, p.theme(isDark, []string{p.share}), 100, shareHeight, "Covered %")
	if err != nil {
		return nil, err
	}

	return []template.HTML{burns, covered}, nil
}

// axisEnd returns the upper end of the burn rate axis: 1, 2 or 5 times a power of ten, and at least 2, so that a rate of 1 is
// always within the chart.
func axisEnd(highest float64) float64 {
	end := 2.0
	for end < highest {
		end *= 10
		for _, f := range []float64{0.25, 0.5} {
			if end*f >= highest {
				return end * f
			}
		}
	}

	return end
}

func chart(
	values [][]float64, names, labels []string, theme charts.ColorPalette, end float64, height int, title string,
) (template.HTML, error) {
	o := charts.NewLineChartOptionWithData(values)
	o.Theme = theme
	o.Padding = charts.NewBox(8, 8, 16, 8)
	o.Legend.SeriesNames = names
	o.Legend.Offset = charts.OffsetRight
	o.Legend.Show = charts.Ptr(len(names) > 1)
	o.Title.Text = title
	o.Title.FontStyle.FontSize = 11
	o.XAxis.Labels = labels
	o.XAxis.LabelCount = 7
	o.XAxis.BoundaryGap = charts.Ptr(false)
	o.YAxis[0].Min = charts.Ptr(0.0)
	o.YAxis[0].Max = charts.Ptr(end)
	o.YAxis[0].LabelCount = 3
	o.ValueFormatter = axisLabel
	o.LineStrokeWidth = 1.5
	// Without a dot, an hour whose neighbors have no counts would be invisible.
	o.Symbol = charts.Symbol{
		Shape: charts.SymbolDot,
		Size:  2,
	}
	if height == shareHeight {
		o.FillArea = charts.Ptr(true)
		o.Symbol.Shape = charts.SymbolNone
	}
	painter := charts.NewPainter(charts.PainterOptions{
		OutputFormat: charts.ChartOutputSVG,
		Width:        width,
		Height:       height,
	})
	if err := painter.LineChart(o); err != nil {
		return "", err
	}
	b, err := painter.Bytes()
	if err != nil {
		return "", err
	}

	return template.HTML(b), nil //nolint:gosec // The library escapes the labels, which contain no input from users.
}

// axisLabel pads labels to one width, so that the horizontal axes of the two charts of a plot are aligned.
func axisLabel(v float64) string {
	const figureSpace, digits = "\u2007", 5
	s := strconv.FormatFloat(math.Round(v*100)/100, 'f', -1, 64)

	return strings.Repeat(figureSpace, max(0, digits-len(s))) + s
}
