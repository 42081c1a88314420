package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/gossip"
)

// convicted returns a fleet of instances that have a part in quarantine since the given number of crashes.
func convicted(t *testing.T, instances, crashes int) *fleet {
	t.Helper()
	f := newFleet(1, instances, 0)
	for n := range crashes {
		f.instances[0].RecordLoss(backend.Server{ID: fmt.Sprint(n)}, fmt.Sprint(n), []string{crashing}, f.at)
		f.at = f.at.Add(2 * occasionGap)
	}
	f.at = f.at.Add(settleTime)
	f.instances[0].Review()
	f.announceAll()
	is.New(t).True(f.knows())

	return f
}

// announceAll lets all instances hear of each other.
func (f *fleet) announceAll() {
	for from := range f.instances {
		b := &gossip.Heartbeat{Sender: gossip.Member{Name: fmt.Sprint(from), Incarnation: "1"}}
		f.instances[from].FillHeartbeat(b)
		for n, q := range f.instances {
			if n != from {
				q.ObserveHeartbeat(b, f.at)
			}
		}
	}
}

// tryAll runs as many items in the present trial as each instance may, and returns how many these are.
func (f *fleet) tryAll(waiting []int) []int {
	tried := make([]int, len(waiting))
	for n, q := range f.instances {
		for range waiting[n] {
			if q.TrialDue([]string{crashing}) {
				q.RecordTrial([]string{crashing})
				tried[n]++
			}
		}
	}

	return tried
}

// Guards against a part of which nobody can show that it is sound, and against trials that cost a server each time an item is due.
func TestTrialsTakePlaceAtIntervals(t *testing.T) {
	is := is.New(t)
	f := convicted(t, 1, 3)
	q := f.instances[0]
	since := q.quarantined[crashing].since
	for _, c := range []struct {
		after time.Duration
		due   bool
	}{
		{0, false},
		{trialInterval - 1, false},
		{trialInterval, true},
		{trialInterval + trialWindow, false},
		{3*trialInterval + trialWindow/2, true},
	} {
		f.at = since.Add(c.after)
		is.Equal(q.TrialDue([]string{"other", crashing}), c.due)
		is.True(!q.TrialDue([]string{"other"}))
	}
	q.RecordAnswer(backend.Server{ID: "x"}, []string{crashing}, f.at, f.at)
	_, _, held := q.Quarantined([]string{crashing})
	is.True(!held)
}

// Guards against many items in trials of a part that does crash servers, at all instances together, and against none at all.
func TestTrialsOfSureCrashesAreBounded(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes int
		waiting []int
		trials  [][]int
	}{
		{"few crashes", 3, []int{4, 4}, [][]int{{4, 4}}},
		{"few items", 5, []int{2, 1}, [][]int{{2, 1}, {0, 0}}},
		{"many items", 5, []int{4, 4}, [][]int{{1, 0}, {1, 0}, {1, 0}, {0, 0}}},
		{"many items at the second instance only", 5, []int{0, 9}, [][]int{{0, 1}, {0, 1}, {0, 1}, {0, 0}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := convicted(t, len(c.waiting), c.crashes)
			since := f.instances[0].quarantined[crashing].since
			for n, want := range c.trials {
				f.at = since.Add(time.Duration(n+1)*trialInterval - trialWindow)
				for i, q := range f.instances {
					q.RecordWaiting(map[string]int{crashing: c.waiting[i]})
				}
				f.announceAll()
				f.at = f.at.Add(trialWindow + trialWindow/2)
				is.Equal(f.tryAll(c.waiting), want)
			}
		})
	}
}
