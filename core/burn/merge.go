package burn

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxRate is the highest burn rate reported: with a target of 1 the rate would be infinite, which JSON cannot express.
	MaxRate = 1e6
	// minFiringCoverage is the smallest covered share of the long window with which an alert can fire. In each pair the short
	// window is a twelfth of the long one: with less coverage, both windows could hold the same data.
	minFiringCoverage = 1.0 / 12
	// minQuietCoverage is the covered share that both windows have to exceed for an alert that does not fire to be quiet; at
	// or below it the alert is incomplete.
	minQuietCoverage = 0.5
)

// pairs holds the window pairs of the alerts, the most urgent first. At its factor a pair spends 2 %, 5 % or 10 % of a
// 30-day budget within its long window.
var pairs = [...]struct {
	long, short int
	factor      float64
}{
	{
		long:   oneHour,
		short:  fiveMinutes,
		factor: 14.4,
	},
	{
		long:   sixHours,
		short:  halfHour,
		factor: 6,
	},
	{
		long:   threeDays,
		short:  sixHours,
		factor: 1,
	},
}

// Rate returns the ratio of bad ones divided by 1 minus the target: 0 if nothing was counted, at most MaxRate.
func Rate(good, bad int, target float64) float64 {
	if bad <= 0 {
		return 0
	}
	ratio := float64(bad) / (float64(good) + float64(bad))

	return min(ratio/max(1-target, 1/MaxRate), MaxRate)
}

// Merge adds up the snapshots of the sources. A snapshot is nil for a source that did not answer; its time counts as
// missing. A second answer of the same process is ignored. The windows of each instance end at its own clock reading, so
// that the clocks of two instances are never compared.
func Merge(at time.Time, sources []Source, snapshots []*Snapshot) Report {
	r := Report{
		At:      at,
		Sources: slices.Clone(sources),
		Rows:    []Row{},
	}
	var answers []*Snapshot
	missing := 0
	for n, s := range snapshots {
		o := &r.Sources[n]
		switch {
		case s == nil:
			o.Answered = false
			missing++
		case !hasAllWindows(s):
			o.Answered = false
			o.Error = "the instance reports a different set of windows"
			missing++
		default:
			o.Answered = true
			o.Instance = s.Instance
			o.StartedAt = &s.StartedAt
			if slices.ContainsFunc(answers, func(a *Snapshot) bool {
				return a.Instance == s.Instance && a.StartedAt.Equal(s.StartedAt)
			}) {
				o.Error = "same instance as an earlier source"

				continue
			}
			answers = append(answers, s)
		}
	}
	// The newest configuration version determines the targets and the rows.
	slices.SortStableFunc(answers, func(a, b *Snapshot) int { return cmp.Compare(b.ConfigurationVersion, a.ConfigurationVersion) })
	if len(answers) == 0 {
		return r
	}
	r.ConfigurationVersion = answers[0].ConfigurationVersion
	for _, s := range answers[0].Series {
		row := newRow(mergeSeries(s, answers, missing))
		for _, a := range row.Alerts {
			if a.State == AlertStateFiring {
				r.Firing++
			}
		}
		r.Rows = append(r.Rows, row)
	}

	return r
}

func hasAllWindows(s *Snapshot) bool {
	for _, e := range s.Series {
		if len(e.Windows) != len(windows) || len(e.Hours) != coarseBuckets {
			return false
		}
	}

	return true
}

// mergeSeries adds up the series with the name and objective of s. For an instance without it, missing time is added, as
// much as the others report on average: their windows end inside the current bucket, and the full window length would
// understate the covered share of the current hour.
func mergeSeries(s Series, answers []*Snapshot, missing int) Series {
	t := Series{
		Name:      s.Name,
		Objective: s.Objective,
		Target:    s.Target,
		Windows:   make([]Window, len(windows)),
		Hours:     make([]Window, coarseBuckets),
	}
	reported := 0
	for _, a := range answers {
		n := slices.IndexFunc(a.Series, func(e Series) bool { return e.Name == s.Name && e.Objective == s.Objective })
		if n < 0 {
			missing++

			continue
		}
		reported++
		addWindows(t.Windows, a.Series[n].Windows)
		addWindows(t.Hours, a.Series[n].Hours)
	}
	for n := range t.Windows {
		t.Windows[n].Millis += missing * t.Windows[n].Millis / reported
	}
	for n := range t.Hours {
		t.Hours[n].Millis += missing * t.Hours[n].Millis / reported
	}

	return t
}

func addWindows(sum, more []Window) {
	for n, w := range more {
		sum[n].Millis += w.Millis
		sum[n].CoveredMillis += w.CoveredMillis
		sum[n].Good += w.Good
		sum[n].Bad += w.Bad
	}
}

func newRow(s Series) Row {
	r := Row{
		Name:      s.Name,
		Objective: s.Objective,
		Target:    s.Target,
	}
	for n, w := range s.Windows {
		r.Burns = append(r.Burns, newBurn(windows[n].name, w, s.Target))
	}
	for n, w := range s.Hours {
		r.Hours = append(r.Hours, newBurn((time.Duration(n)*levels[coarse].width).String(), w, s.Target))
	}
	r.BudgetLeft = 1 - r.Burns[threeDays].Rate
	for _, p := range pairs {
		long, short := r.Burns[p.long], r.Burns[p.short]
		r.Alerts = append(r.Alerts, Alert{
			Long:   long.Name,
			Short:  short.Name,
			Factor: p.factor,
			State:  alertState(long, short, p.factor),
		})
	}

	return r
}

func newBurn(name string, w Window, target float64) Burn {
	b := Burn{
		Name:   name,
		Window: w,
		Rate:   Rate(w.Good, w.Bad, target),
	}
	if w.Millis > 0 {
		b.Covered = min(float64(w.CoveredMillis)/float64(w.Millis), 1)
	}

	return b
}

func alertState(long, short Burn, factor float64) AlertState {
	// 1-0.99 is slightly above 0.01 in floating point, so a rate that equals the factor would come out slightly below it.
	factor *= 1 - 1e-9
	switch {
	case long.Covered < minFiringCoverage || short.Covered == 0:
		return AlertStateIncomplete
	case long.Rate >= factor && short.Rate >= factor:
		return AlertStateFiring
	case long.Covered > minQuietCoverage && short.Covered > minQuietCoverage:
		return AlertStateQuiet
	default:
		return AlertStateIncomplete
	}
}
