package load

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against counts of a lost instance that are never dropped, and against own counts that do not return to zero.
func TestCounts(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	l.Add("s", 2, 1)
	l.Observe("peer", "", []gossip.Count{{Server: "s", Online: 3, Batch: 4}}, at)
	online, batch := l.InFlight("s", at)
	is.Equal(online, 5)
	is.Equal(batch, 5)
	l.Observe("peer", "", nil, at)
	online, batch = l.InFlight("s", at)
	is.Equal(online, 2)
	is.Equal(batch, 1)
	l.Observe("peer", "", []gossip.Count{{Server: "s", Online: 3}}, at)
	online, _ = l.InFlight("s", at.Add(gossip.ReportLife+1))
	is.Equal(online, 2)
	l.Add("s", -2, -1)
	is.Equal(len(l.OwnCounts()), 0)
	select {
	case <-l.Changed():
	default:
		t.Error("a change was not announced")
	}
}

// Guards against sums that no longer match their reports after some were replaced, repeated or have expired, and against
// instances that are counted twice, by themselves and in the report on their zone.
func TestSumsFollowReports(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	type last struct {
		zone   string
		counts []gossip.Count
		at     time.Time
	}
	fresh := func(r last) bool { return !r.at.IsZero() && !at.After(r.at.Add(gossip.ReportLife)) }
	peers, zones := map[string]last{}, map[string]last{}
	for step := range 20000 {
		at = at.Add(time.Duration(random.IntN(120)) * time.Millisecond)
		var counts []gossip.Count
		for s := range random.IntN(4) {
			counts = append(counts, gossip.Count{Server: fmt.Sprint("s", s), Online: random.IntN(3), Batch: random.IntN(3)})
		}
		n := random.IntN(20)
		peer, zone := fmt.Sprint("p", n), []string{"", "z1", "z2"}[n%3]
		// Zones lose and regain the instance that reports on them.
		if zone != "" && step%2000 < 1200 && random.IntN(3) == 0 {
			l.ObserveZone(zone, counts, at)
			zones[zone] = last{zone: zone, counts: counts, at: at}
			for name, r := range peers {
				if r.zone == zone {
					delete(peers, name)
				}
			}
		} else {
			l.Observe(peer, zone, counts, at)
			if !fresh(zones[zone]) {
				peers[peer] = last{zone: zone, counts: counts, at: at}
			}
		}
		for s := range 4 {
			online, batch := 0, 0
			for _, reports := range []map[string]last{peers, zones} {
				for _, r := range reports {
					for _, c := range r.counts {
						if c.Server == fmt.Sprint("s", s) && fresh(r) {
							online += c.Online
							batch += c.Batch
						}
					}
				}
			}
			gotOnline, gotBatch := l.InFlight(fmt.Sprint("s", s), at)
			is.Equal(gotOnline, online)
			is.Equal(gotBatch, batch)
		}
	}
}

// Guards against an old report on a zone that replaces a newer one from another instance, and against a sum over the own zone
// that includes instances of other zones.
func TestZoneSums(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	l.Add("s", 1, 0)
	l.Observe("near", "", []gossip.Count{{Server: "s", Online: 2}, {Server: "t", Batch: 1}}, at)
	l.ObserveZone("z", []gossip.Count{{Server: "s", Online: 4}}, at)
	l.ObserveZone("z", []gossip.Count{{Server: "s", Online: 8}}, at.Add(-time.Millisecond))
	l.Observe("far", "z", []gossip.Count{{Server: "s", Online: 16}}, at)
	online, _ := l.InFlight("s", at)
	is.Equal(online, 7)
	counts, members := l.ZoneCounts(at)
	is.Equal(counts, []gossip.Count{{Server: "s", Online: 3}, {Server: "t", Batch: 1}})
	is.Equal(members, 2) // without the instance of another zone
	is.Equal(l.OwnCounts(), []gossip.Count{{Server: "s", Online: 1}})
}

// Shows that the time to read one server's counts does not grow with the number of instances that report.
func BenchmarkOn(b *testing.B) {
	for _, peers := range []int{8, 60, 420} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			l := New()
			at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for p := range peers {
				l.Observe(fmt.Sprint("p", p), "", []gossip.Count{{Server: "s", Online: 1}, {Server: fmt.Sprint("t", p), Batch: 1}}, at)
			}
			for b.Loop() {
				l.InFlight("s", at)
			}
		})
	}
}
