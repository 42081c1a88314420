package burn

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// Guards against a wrong burn rate; the expected rates are calculated by hand.
func TestRate(t *testing.T) {
	for _, c := range []struct {
		name      string
		good, bad int
		target    float64
		want      float64
	}{
		{name: "no requests", target: 0.99, want: 0},
		{name: "all good", good: 50, target: 0.99, want: 0},
		{name: "1 % bad of 1 % allowed", good: 990, bad: 10, target: 0.99, want: 1},
		{name: "14.4 % bad of 1 % allowed", good: 856, bad: 144, target: 0.99, want: 14.4},
		{name: "30 % bad of 5 % allowed", good: 70, bad: 30, target: 0.95, want: 6},
		{name: "all bad", bad: 7, target: 0.99, want: 100},
		{name: "no budget", good: 1, bad: 1, target: 1, want: 500_000},
		{name: "no budget, all bad", bad: 1, target: 1, want: MaxRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Rate(c.good, c.bad, c.target); !near(got, c.want) {
				t.Fatalf("%v, want %v", got, c.want)
			}
		})
	}
}

// windowsOf returns a series with 1000 requests in each of the five windows and a target of 0.99.
func windowsOf(bad [5]int, covered [5]float64) Series {
	s := Series{Name: "m", Objective: ObjectiveSuccess, Target: 0.99, Hours: make([]Window, coarseBuckets)}
	for n, w := range windows {
		millis := int(w.length.Milliseconds())
		s.Windows = append(s.Windows, Window{
			Millis:        millis,
			CoveredMillis: int(covered[n] * float64(millis)),
			Good:          1000 - bad[n],
			Bad:           bad[n],
		})
	}

	return s
}

// Guards against an alert that fires on only one of its windows, one that does not fire at exactly its factor, and
// missing data that is reported as quiet.
func TestAlerts(t *testing.T) {
	full := [5]float64{1, 1, 1, 1, 1}
	const f, q, i = AlertStateFiring, AlertStateQuiet, AlertStateIncomplete
	for _, c := range []struct {
		name    string
		bad     [5]int // of 1000 in 5m, 30m, 1h, 6h, 3d
		covered [5]float64
		want    [3]AlertState
		left    float64
	}{
		{name: "good", covered: full, want: [3]AlertState{q, q, q}, left: 1},
		{name: "exactly the factors", bad: [5]int{144, 60, 144, 60, 10}, covered: full, want: [3]AlertState{f, f, f}, left: 0},
		{name: "just below", bad: [5]int{144, 60, 143, 59, 9}, covered: full, want: [3]AlertState{q, q, q}, left: 0.1},
		{name: "over in the short window", bad: [5]int{0, 0, 200, 70, 9}, covered: full, want: [3]AlertState{q, q, q}, left: 0.1},
		{name: "overspent", bad: [5]int{0, 0, 0, 20, 30}, covered: full, want: [3]AlertState{q, q, f}, left: -2},
		{name: "a third known, good", covered: [5]float64{1, 1, 1, 0.33, 0.33}, want: [3]AlertState{q, i, i}, left: 1},
		{name: "a third known, bad", bad: [5]int{0, 0, 0, 20, 30}, covered: [5]float64{1, 1, 1, 0.33, 0.33}, want: [3]AlertState{q, i, f}, left: -2},
		{name: "just started, bad", bad: [5]int{900, 900, 900, 900, 900}, covered: [5]float64{0.8, 0.13, 0.07, 0.01, 0}, want: [3]AlertState{i, i, i}, left: -89},
		{name: "no data lately", bad: [5]int{0, 0, 900, 0, 0}, covered: [5]float64{0, 0, 0.9, 1, 1}, want: [3]AlertState{i, i, q}, left: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRow(windowsOf(c.bad, c.covered))
			for n, a := range r.Alerts {
				is.Equal(a.State, c.want[n])
			}
			is.True(near(r.BudgetLeft, c.left))
		})
	}
}

// snapshotOf returns the snapshot of an instance that has run for the duration before and counted requests at its end.
func snapshotOf(name string, before time.Duration, good, bad int) *Snapshot {
	from, now := start.Add(-before), start
	l := New(from)
	coverRange(l, from, now)
	l.Count(ObjectiveSuccess, "m", good, bad, now)
	s := l.Snapshot(name, configured(), now)

	return &s
}

func rowOf(r Report, o Objective, name string) Row {
	for _, e := range r.Rows {
		if e.Objective == o && e.Name == name {
			return e
		}
	}

	return Row{}
}

// Guards against a merge that treats the time before an instance's start as covered, or weights rates by instance instead
// of by request.
func TestMergeOfDifferentStarts(t *testing.T) {
	is := is.New(t)
	r := Merge(start, make([]Source, 2), []*Snapshot{snapshotOf("a", 100*time.Hour, 900, 0), snapshotOf("b", time.Hour, 80, 20)})
	m := rowOf(r, ObjectiveSuccess, "m")
	is.True(near(m.Burns[fiveMinutes].Rate, 2)) // 20 of 1000 bad, 10 allowed
	is.Equal(m.Burns[fiveMinutes].Covered, 1.0)
	is.True(near(m.Burns[sixHours].Covered, (350.0+60)/(2*350))) // a has the whole span, b has 1 h
	is.True(near(m.Burns[threeDays].Covered, (71.0+1)/(2*71)))   // in hours
	is.True(near(m.BudgetLeft, -1))
	is.Equal(m.Alerts[2].State, AlertStateFiring)
	is.Equal(r.Firing, 1)
	is.Equal(r.Sources[1].Instance, "b")
	is.True(near(m.Hours[1].Covered, 1))
	is.True(near(m.Hours[5].Covered, 0.5))
}

// Guards against a lost instance, an answer with other windows or a repeated answer that counts as valid data.
func TestMergeOfLostInstance(t *testing.T) {
	is := is.New(t)
	a := snapshotOf("a", 100*time.Hour, 1000, 0)
	sources := []Source{{URL: "a"}, {URL: "b", Error: "cannot reach b"}}
	r := Merge(start, sources, []*Snapshot{a, nil})
	m := rowOf(r, ObjectiveSuccess, "m")
	is.True(near(m.Burns[threeDays].Covered, 0.5))
	is.True(near(m.Hours[3].Covered, 0.5))
	is.Equal(m.Burns[threeDays].Rate, 0.0)
	for _, e := range m.Alerts {
		is.Equal(e.State, AlertStateIncomplete)
	}
	is.Equal(r.Sources[1], sources[1])
	is.True(r.Sources[0].Answered)

	b := snapshotOf("b", 100*time.Hour, 0, 1)
	b.Series[0].Windows = b.Series[0].Windows[:2]
	r = Merge(start, sources, []*Snapshot{a, b})
	is.True(!r.Sources[1].Answered)
	is.True(near(rowOf(r, ObjectiveSuccess, "m").Burns[fiveMinutes].Covered, 0.5))

	r = Merge(start, sources, []*Snapshot{a, a})
	is.Equal(rowOf(r, ObjectiveSuccess, "m").Burns[fiveMinutes].Window.Good, 1000)
	is.Equal(rowOf(r, ObjectiveSuccess, "m").Burns[fiveMinutes].Covered, 1.0)

	old := snapshotOf("c", 100*time.Hour, 5, 0) // has not seen the route yet
	old.ConfigurationVersion, old.Series = 2, nil
	r = Merge(start, sources, []*Snapshot{old, a})
	is.Equal(r.ConfigurationVersion, 3)
	is.True(near(rowOf(r, ObjectiveSuccess, "m").Burns[fiveMinutes].Covered, 0.5))

	r = Merge(start, sources, []*Snapshot{nil, nil})
	is.Equal(len(r.Rows), 0)
}
