package burn

import (
	"encoding/json"
	"math"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonwalk/core/configuration"
	"tarragonwalk/internal/rapidseed"
)

var start = time.Date(2026, 11, 30, 8, 0, 0, 0, time.UTC)

func configured() *configuration.Configuration {
	return &configuration.Configuration{
		Version:     3,
		Deployments: configuration.ConfigurationDeployments{"d": {Model: "m", BatchRatio: 0.99}, "p": {Model: "p", BatchRatio: 0.99}},
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{
			"m": {Kind: configuration.RouteKindModel, Deployment: "d", SuccessRatio: 0.99, LatencyRatio: 0.95},
			"s": {Kind: configuration.RouteKindService, Deployment: "p", SuccessRatio: 0.999, LatencyRatio: 0.95},
		},
	}
}

// coverRange marks the time between from and to as covered.
func coverRange(l *Ledger, from, to time.Time) {
	for at := from; at.Before(to); at = at.Add(MaxCoveredGap) {
		l.MarkCovered(at)
	}
	l.MarkCovered(to)
}

func find(s Snapshot, o Objective, name string) *Series {
	for n := range s.Series {
		if s.Series[n].Objective == o && s.Series[n].Name == name {
			return &s.Series[n]
		}
	}

	return nil
}

// Guards against memory that grows with load or time, and against wrong size constants.
func TestLedgerSize(t *testing.T) {
	is := is.New(t)
	is.Equal(int(unsafe.Sizeof([cells]cell{}))*3, RouteBytes)
	is.Equal(int(unsafe.Sizeof([cells]cell{})), DeploymentBytes)
	l := New(start)
	for _, o := range []Objective{ObjectiveSuccess, ObjectiveFirstToken, ObjectiveBetweenTokens} {
		l.Count(o, "m", 1, 0, start)
	}
	at := start
	is.Equal(testing.AllocsPerRun(10_000, func() {
		at = at.Add(time.Minute)
		l.MarkCovered(at)
		l.Count(ObjectiveSuccess, "m", 1, 1, at)
	}), 0.0)
	is.Equal(len(l.series), 3)
	l.Count(ObjectiveBatch, "gone", 1, 0, at)
	l.Count(ObjectiveSuccess, "gone", 1, 0, at)
	l.Retain(configured())
	is.Equal(len(l.series), 3)
	is.Equal(addSaturating(math.MaxUint32-1, 5), uint32(math.MaxUint32))
}

// Guards against objectives that are missing from a snapshot, or listed for a route or deployment that they don't apply to.
func TestLedgerSeries(t *testing.T) {
	is := is.New(t)
	s := New(start).Snapshot("i", configured(), start)
	targets := map[Objective]float64{}
	for _, e := range s.Series {
		if e.Name != "s" {
			targets[e.Objective] = e.Target
		}
	}
	is.Equal(targets, map[Objective]float64{ObjectiveSuccess: 0.99, ObjectiveFirstToken: 0.95, ObjectiveBetweenTokens: 0.95, ObjectiveBatch: 0.99})
	is.Equal(len(s.Series), 5) // a service has no tokens and no batch items
	b, err := json.Marshal(s)
	is.NoErr(err)
	var again Snapshot
	is.NoErr(json.Unmarshal(b, &again))
	is.Equal(again, s)
}

// Guards against counts that stay in a window for too long, or leave it more than one bucket too early.
func TestLedgerExpiry(t *testing.T) {
	for n, w := range windows {
		t.Run(w.name, func(t *testing.T) {
			is := is.New(t)
			l := New(start)
			l.Count(ObjectiveSuccess, "m", 2, 1, start)
			read := func(after time.Duration) Window {
				return find(l.Snapshot("i", configured(), start.Add(after)), ObjectiveSuccess, "m").Windows[n]
			}
			inWindow := read(w.length - time.Nanosecond)
			is.Equal(inWindow.Good, 2)
			is.Equal(inWindow.Bad, 1)
			expired := read(w.length)
			is.Equal(expired.Good+expired.Bad, 0)
			expired = read(400 * time.Hour) // all buckets are passed at once
			is.Equal(expired.Good+expired.Bad, 0)
		})
	}
}

// Guards against time that counts as covered although the process was paused or had not started.
func TestLedgerCoverage(t *testing.T) {
	is := is.New(t)
	l := New(start)
	coverRange(l, start, start.Add(20*time.Minute))
	coverRange(l, start.Add(30*time.Minute), start.Add(40*time.Minute))
	w := find(l.Snapshot("i", configured(), start.Add(40*time.Minute)), ObjectiveSuccess, "m").Windows
	is.Equal(w[fiveMinutes].CoveredMillis, w[fiveMinutes].Millis)
	// 30 m minus the pause of 10 m; at a full half minute the current bucket of 30 s has no time in it yet.
	is.Equal(w[halfHour].Millis, 1_770_000)
	is.Equal(w[halfHour].CoveredMillis, 1_170_000)
	is.Equal(w[oneHour].CoveredMillis, 1_800_000)
	is.Equal(w[sixHours].CoveredMillis, 1_800_000)
	is.Equal(w[threeDays].CoveredMillis, 1_800_000)
	is.Equal(w[threeDays].Millis, (71*60+40)*60_000)
}

type entry struct {
	at        time.Duration
	good, bad int
	from      time.Duration
}

// Guards against counts or covered time that are lost, added twice or not cleared: compares the ring buffers with a
// recount of all events.
func TestLedgerEqualsRecount(t *testing.T) {
	rapidseed.Fix(t, "20261204")
	rapid.Check(t, func(t *rapid.T) {
		l := New(start)
		var events, covered []entry
		var latest, lastMarked time.Duration
		step := rapid.Custom(func(t *rapid.T) time.Duration {
			longest := rapid.SampledFrom([]time.Duration{5 * time.Second, time.Minute, 20 * time.Minute, 2 * time.Hour, 80 * time.Hour}).Draw(t, "longest")

			return time.Duration(rapid.Int64Range(-int64(time.Second), int64(longest)).Draw(t, "step"))
		})
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			at := latest + step.Draw(t, "after")
			latest = max(latest, at)
			if rapid.Bool().Draw(t, "beat") {
				l.MarkCovered(start.Add(at))
				if latest-lastMarked <= MaxCoveredGap {
					covered = append(covered, entry{from: lastMarked, at: latest})
				}
				lastMarked = latest
			} else {
				e := entry{at: latest, good: rapid.IntRange(0, 9).Draw(t, "good"), bad: rapid.IntRange(0, 9).Draw(t, "bad")}
				events = append(events, e)
				l.Count(ObjectiveBatch, "d", e.good, e.bad, start.Add(at))
			}
		}
		if latest-lastMarked <= MaxCoveredGap {
			covered = append(covered, entry{from: lastMarked, at: latest})
		}
		got := find(l.Snapshot("i", configured(), start.Add(latest)), ObjectiveBatch, "d").Windows
		for n, w := range windows {
			width := levels[w.level].width
			begin := latest.Truncate(width) - time.Duration(w.buckets()-1)*width
			want := Window{Millis: int((latest - begin).Milliseconds())}
			for _, e := range events {
				if e.at >= begin {
					want.Good += e.good
					want.Bad += e.bad
				}
			}
			var sum time.Duration
			for _, e := range covered {
				sum += max(0, e.at-max(e.from, begin))
			}
			want.CoveredMillis = int(sum.Milliseconds())
			// Only the current bucket can contain a fraction of a millisecond, so summing truncated buckets gives the exact span.
			if got[n] != want {
				t.Fatalf("%s: %+v, want %+v", w.name, got[n], want)
			}
		}
	})
}
