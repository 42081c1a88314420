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

// Guards against more items in trials than allowed because an item with two quarantined parts is counted under one of them, and its trial
// under the other.
func TestItemWithTwoPartsIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := convicted(t, 1, 5)
	q := f.instances[0]
	q.adopt("fewer", f.at.Add(-time.Second), f.at.Add(quarantineLife), "peer")
	both := []string{"fewer", crashing}
	tried := 0
	for range 4 {
		f.at = q.quarantined[crashing].since.Add(trialInterval + trialWindow/2)
		name, _, held := q.Quarantined(both)
		is.True(held)
		q.RecordWaiting(map[string]int{name: 4 - tried})
		if q.TrialDue(both) {
			q.RecordTrial(both)
			tried++
		}
	}
	is.Equal(tried, 1)
}

// Guards against an item that no server runs until the end of a quarantine because refused runs use up its trials, here and as other
// instances count them.
func TestRefusedTrialDoesNotCount(t *testing.T) {
	is := is.New(t)
	f := convicted(t, 2, 5)
	f.at = f.instances[0].quarantined[crashing].since.Add(trialInterval)
	for range 2 * maxSureTrials {
		for n, q := range f.instances {
			q.RecordWaiting(map[string]int{crashing: maxSureTrials * (1 - n)})
		}
		is.True(f.instances[0].TrialDue([]string{crashing}))
		withdraw := f.instances[0].RecordTrial([]string{crashing})
		f.announceAll()
		withdraw()
	}
	f.announceAll()
	is.Equal(f.instances[1].peerWaiters[crashing]["0"].tried, 0)
}

// Guards against more trials than allowed because those of an instance's former process are forgotten when the next one begins to count.
func TestTrialsBeforeRestartCount(t *testing.T) {
	is := is.New(t)
	f := convicted(t, 2, 5)
	q := f.instances[1]
	for _, incarnation := range []string{"1", "1", "2", "2"} {
		q.ObserveHeartbeat(&gossip.Heartbeat{
			Sender:    gossip.Member{Name: "0", Incarnation: incarnation},
			HeldItems: []gossip.HeldItems{{Part: crashing, Tried: 2}},
		}, f.at)
	}
	f.at = q.quarantined[crashing].since.Add(trialInterval)
	q.RecordWaiting(map[string]int{crashing: 1})
	is.True(!q.TrialDue([]string{crashing}))
}

// Guards against more items in trials than allowed because instances do not count those that wait for a combination of parts together, and
// against counts that stay for ever.
func TestTrialsOfCombinationsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 0)
	both := []string{"also", crashing}
	for n := range surelyCrashes {
		f.instances[0].RecordLoss(backend.Server{ID: fmt.Sprint(n)}, fmt.Sprint(n), both, f.at)
		f.announceAll()
		f.at = f.at.Add(2 * occasionGap)
	}
	f.at = f.at.Add(settleTime)
	for _, q := range f.instances {
		q.Review()
	}
	began := f.at
	tried := 0
	for n := range 4 {
		f.at = began.Add(time.Duration(n+1)*trialInterval - trialWindow)
		for _, q := range f.instances {
			name, _, held := q.Quarantined(both)
			is.True(held)
			q.RecordWaiting(map[string]int{name: 3})
		}
		f.announceAll()
		f.at = f.at.Add(trialWindow + trialWindow/2)
		for _, q := range f.instances {
			for range 3 {
				if q.TrialDue(both) {
					q.RecordTrial(both)
					tried++
				}
			}
		}
	}
	is.Equal(tried, maxSureTrials)
	for _, q := range f.instances {
		q.RecordAnswer(backend.Server{ID: "x"}, both, f.at, f.at)
		is.Equal(len(q.ownWaiters)+len(q.peerWaiters), 0)
	}
}
