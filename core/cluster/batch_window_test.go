package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against two instances starting batch items on one server before the counts of either have reached the other, and
// against a server that no instance may use.
func TestMayStartBatch(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int
		zone  string
		// pause is the time that counts need to arrive; least is the least total time within 3 s in which an instance may start items.
		pause, least time.Duration
	}{
		{"instances in the server's zone", 7, "a", zoneWindow - zoneStartTime, time.Second},
		{"none there", 7, "c", fleetWindow - fleetStartTime, 500 * time.Millisecond},
		{"instances in the server's large zone", 40, "a", digestWindow - digestStartTime, time.Second},
		{"none there, large zones", 40, "c", wideWindow - wideStartTime, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var members []*Cluster
			for n := range c.count {
				members = append(members, newCluster(n))
			}
			starters := map[int]bool{}
			last, lastAt, used := -1, time.Time{}, time.Duration(0)
			for after := time.Duration(0); after < 3*time.Second; after += time.Millisecond {
				at := start.Add(after)
				if after%(200*time.Millisecond) == 0 {
					for _, m := range members {
						for n := range members {
							m.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: int(after) + 1, Queued: 1}, at)
						}
					}
				}
				holders := 0
				for n, m := range members {
					if !m.MayStartBatch("s", c.zone, false, at) {
						continue
					}
					holders++
					is.True(n == last || last < 0 || at.Sub(lastAt) >= c.pause)
					last, lastAt, starters[n] = n, at, true
					used += time.Millisecond
				}
				is.True(holders <= 1)
			}
			is.True(used > c.least)
			is.True(len(starters) > 1)
		})
	}
}

// Guards against slots that stay idle because windows go to instances without items, as in fleets with more instances than jobs,
// and against items in the server's own zone waiting for those of other zones.
func TestBatchWindowsGoToInstancesWithItems(t *testing.T) {
	const windows = 200
	for _, f := range []struct {
		name  string
		count int
		// step is a multiple of the lengths of all windows in such a fleet.
		step time.Duration
	}{
		{"direct heartbeats in zones", 24, fleetWindow},
		{"digests of zones", 40, 2 * wideWindow},
	} {
		for _, c := range []struct {
			name        string
			queued      int
			zone        string
			least, most int
		}{
			{"nobody else has items", 0, "b", windows, windows},
			{"another one of the same zone", 2, "a", 70, 130},
			{"one of another zone", 1, "a", windows, windows},
			{"one in the server's zone", 1, "b", 0, 0},
			{"none in the server's zone", 1, "c", 70, 130},
		} {
			t.Run(f.name+", "+c.name, func(t *testing.T) {
				is := is.New(t)
				cl := newCluster(0)
				got := 0
				for w := range windows {
					at := start.Truncate(f.step).Add(time.Duration(w) * f.step)
					for n := 1; n < f.count; n++ {
						b := &gossip.Heartbeat{Sender: member(n, "1"), Sequence: w + 1}
						if n == c.queued {
							b.Queued = 1
						}
						cl.Observe(b, at)
					}
					if cl.MayStartBatch("s", c.zone, false, at) {
						got++
					}
				}
				is.True(got >= c.least && got <= c.most)
			})
		}
	}
}

// Guards against the pattern "jobs past capacity": late items of some instances that take the slots for which items of other instances
// wait that can still be in time, so that these are late too; and against late items that never run.
func TestLateItemsYield(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	sequence := 0
	queued := map[int]int{}
	at := start.Truncate(zoneWindow)
	starts := func(late bool) int {
		n := 0
		for range 30 {
			at = at.Add(zoneWindow)
			sequence++
			for k := 1; k < 6; k++ {
				c.Observe(&gossip.Heartbeat{Sender: member(k, "1"), Sequence: sequence, Queued: queued[k], QueuedLate: 1}, at)
			}
			if c.MayStartBatch("s", "a", late, at) {
				n++
			}
		}

		return n
	}
	is.True(starts(true) > 0)
	queued[3] = 1 // in another zone
	is.Equal(starts(true), 0)
	is.True(starts(false) > 0)
}

// Guards against instances that are silent or leaving and still count as those that items wait for.
func TestBatchContenders(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start.Add(silentAfter)
	leaving := member(4, "1")
	leaving.Leaving = true
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1, Queued: 2}, start.Add(-time.Millisecond)) // silent
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1, Queued: 2, QueuedLate: 1}, start)
	c.Observe(&gossip.Heartbeat{Sender: member(3, "1"), Sequence: 1}, start)
	c.Observe(&gossip.Heartbeat{Sender: leaving, Sequence: 1, Queued: 2}, at)
	c.Observe(&gossip.Heartbeat{Sender: member(5, "1"), Sequence: 1, QueuedLate: 1}, at)
	onTime, late, heardAt := c.BatchContenders(at)
	is.Equal(onTime, 1)
	is.Equal(late, 2)
	is.Equal(heardAt, start)
}

// Guards against a server that no instance may use for long since an instance with queued items is gone, is leaving, or has started its
// items.
func TestWindowsOfLostContender(t *testing.T) {
	gone := func(*gossip.Heartbeat) bool { return false }
	left := func(b *gossip.Heartbeat) bool { b.Sender.Leaving = true; return true }
	started := func(b *gossip.Heartbeat) bool { b.Queued, b.QueuedLate = 0, 0; return true }
	for _, end := range []func(b *gossip.Heartbeat) bool{gone, left, started} {
		for other := range 3 {
			for _, late := range []bool{false, true} {
				is := is.New(t)
				c := newCluster(0)
				used, most := start, time.Duration(0)
				for after := time.Duration(0); after < 6*time.Second; after += 25 * time.Millisecond {
					at := start.Add(after)
					b := &gossip.Heartbeat{Sender: member(other+1, "1"), Sequence: int(after) + 1, Queued: 1, QueuedLate: 1}
					if after%(200*time.Millisecond) == 0 && (after < 2*time.Second || end(b)) {
						c.Observe(b, at)
					}
					if after < 2*time.Second {
						used = at
					}
					if c.MayStartBatch("s", b.Sender.Zone, late, at) {
						most, used = max(most, at.Sub(used)), at
					}
				}
				is.True(most <= silentAfter+fleetWindow)
				is.True(start.Add(6*time.Second).Sub(used) <= fleetWindow+25*time.Millisecond)
			}
		}
	}
}
