package load

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against counts of a lost instance that keep places taken for good, and against own counts that leak.
func TestCounts(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	l.Add("s", 2, 1)
	l.Observe("peer", []gossip.Count{{Server: "s", Online: 3, Batch: 4}}, at)
	online, batch := l.On("s", at)
	is.Equal(online, 5)
	is.Equal(batch, 5)
	l.Observe("peer", nil, at)
	online, batch = l.On("s", at)
	is.Equal(online, 2)
	is.Equal(batch, 1)
	l.Observe("peer", []gossip.Count{{Server: "s", Online: 3}}, at)
	online, _ = l.On("s", at.Add(reportLife+1))
	is.Equal(online, 2)
	l.Add("s", -2, -1)
	is.Equal(len(l.Own()), 0)
	select {
	case <-l.Changed():
	default:
		t.Error("a change was not announced")
	}
}

// Guards against sums that drift from the reports that they stand for, through replaced, expired and repeated reports.
func TestSumsFollowReports(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	type last struct {
		counts []gossip.Count
		at     time.Time
	}
	reports := map[string]last{}
	for range 5000 {
		at = at.Add(time.Duration(random.IntN(120)) * time.Millisecond)
		var counts []gossip.Count
		for s := range random.IntN(4) {
			counts = append(counts, gossip.Count{Server: fmt.Sprint("s", s), Online: random.IntN(3), Batch: random.IntN(3)})
		}
		peer := fmt.Sprint("p", random.IntN(20))
		l.Observe(peer, counts, at)
		reports[peer] = last{counts: counts, at: at}
		for s := range 4 {
			online, batch := 0, 0
			for _, r := range reports {
				for _, c := range r.counts {
					if c.Server == fmt.Sprint("s", s) && !at.After(r.at.Add(reportLife)) {
						online += c.Online
						batch += c.Batch
					}
				}
			}
			gotOnline, gotBatch := l.On(fmt.Sprint("s", s), at)
			is.Equal(gotOnline, online)
			is.Equal(gotBatch, batch)
		}
	}
}

// Shows that the time to look at one server does not grow with the instances that report.
func BenchmarkOn(b *testing.B) {
	for _, peers := range []int{8, 60, 420} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			l := New()
			at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for p := range peers {
				l.Observe(fmt.Sprint("p", p), []gossip.Count{{Server: "s", Online: 1}, {Server: fmt.Sprint("t", p), Batch: 1}}, at)
			}
			for b.Loop() {
				l.On("s", at)
			}
		})
	}
}
