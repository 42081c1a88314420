package placement

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/cluster"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/load"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type servers []backend.Server

func (s servers) Usable(string, time.Time) []backend.Server {
	return append([]backend.Server(nil), s...)
}

// always allows every instance to start batch items at any time.
type always struct{}

func (always) MayStartBatch(string, string, time.Time) bool { return true }

var regions = map[string]string{"a": "north", "b": "north", "c": "south"}

func fleet(zones ...string) servers {
	list := servers{}
	for n, z := range zones {
		list = append(list, backend.Server{ID: fmt.Sprint("s", n), Service: "s", Zone: z, Slots: 8})
	}

	return list
}

func newPlacer(l *load.Table, t batchSchedule, list servers) *Placer {
	return New("a", regions, list, l, t, rand.New(rand.NewPCG(1, 2)))
}

// Guards against requests that cross zones while the own zone has free slots, and against requests that wait in the own zone
// while another one has free slots.
func TestOnlinePrefersOwnZone(t *testing.T) {
	is := is.New(t)
	l := load.New()
	p := newPlacer(l, always{}, fleet("c", "b", "a", "a"))
	counts := map[string]int{}
	for range 32 {
		s, _, ok := p.Online("s", nil, 1.25, start)
		is.True(ok)
		counts[s.Zone]++
	}
	is.Equal(counts, map[string]int{"a": 16, "b": 8, "c": 8})
	_, _, ok := p.Free("s", nil, start)
	is.True(!ok) // no slot is free
	refused := 0
	for range 100 {
		if _, _, ok := p.Online("s", nil, 1.25, start); !ok {
			refused++
		}
	}
	is.True(refused > 0) // the queues are bounded
}

// Guards against batch items that fill the slots kept free for online requests, and against urgent items that do not use them.
func TestBatchHeadroom(t *testing.T) {
	is := is.New(t)
	l := load.New()
	p := newPlacer(l, always{}, fleet("a"))
	reserve := func(urgent bool) int {
		n := 0
		for {
			if _, _, ok := p.Batch("s", urgent, start); !ok {
				return n
			}
			n++
		}
	}
	is.Equal(reserve(false), 7)
	is.Equal(reserve(true), 1)
}

// Guards against many instances that fill the same free slots at once because they learn of each other's requests late. This
// happened on the days with the heaviest load, when all instances had a backlog and online requests left only a few slots
// free. No server may get more items than it has slots.
func TestBatchItemsFitSlots(t *testing.T) {
	is := is.New(t)
	const instances = 8
	list := fleet("a", "a", "b", "c")
	var placers []*Placer
	var loads []*load.Table
	var members []*cluster.Cluster
	for n := range instances {
		self := gossip.Member{Name: fmt.Sprint("e", n), Incarnation: "1", Zone: []string{"a", "b", "c"}[n%3], Peer: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n+1))}
		members = append(members, cluster.New(self, start, slog.New(slog.DiscardHandler)))
		loads = append(loads, load.New())
	}
	at := start
	// Instances of one zone get each other's counts after each step, all others after every eighth step.
	exchange := func(step int) {
		for n, m := range members {
			for k, other := range members {
				if n == k || step%8 != 0 && m.Self().Zone != other.Self().Zone {
					continue
				}
				m.Observe(&gossip.Heartbeat{Sender: other.Self(), Sequence: step + 1, Queued: 1}, at)
				loads[n].Observe(fmt.Sprint("e", k), "", loads[k].OwnCounts(), at)
			}
		}
	}
	exchange(0)
	for n := range instances {
		placers = append(placers, New(members[n].Self().Zone, regions, list, loads[n], members[n], rand.New(rand.NewPCG(uint64(n), 2))))
	}
	used := map[string]int{}
	for tick := range 400 {
		at = at.Add(25 * time.Millisecond)
		for _, p := range placers {
			for {
				s, _, ok := p.Batch("s", true, at)
				if !ok {
					break
				}
				used[s.ID]++
			}
		}
		exchange(tick + 1)
	}
	for _, s := range list {
		is.True(used[s.ID] > 0) // every server is used
		is.True(used[s.ID] <= 8)
	}
}

// Guards against instances that together preempt many more batch items than needed.
func TestExcessIsShared(t *testing.T) {
	is := is.New(t)
	total := 0
	for n := range 200 {
		for i := range 4 {
			l := load.New()
			l.Add("s0", 0, 2)
			l.Observe("others", "", []gossip.Count{{Server: "s0", Online: 2, Batch: 6}}, start)
			p := New("a", regions, fleet("a"), l, always{}, rand.New(rand.NewPCG(uint64(n), uint64(i))))
			total += p.Excess(fleet("a")[0], start)
		}
	}
	is.True(total > 300 && total < 500) // two of ten requests are beyond the slots
}
