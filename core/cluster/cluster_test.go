package cluster

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(n int, incarnation string) gossip.Member {
	return gossip.Member{
		Name: fmt.Sprint("e", n), Incarnation: incarnation, Zone: []string{"a", "b"}[n%2], Region: "r", Ready: true,
		Peer: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", n/250, n%250+1)),
	}
}

// names returns the names of the first instances but e0.
func names(count int) []string {
	var list []string
	for n := range count {
		list = append(list, member(n+1, "1").Name)
	}

	return list
}

func newCluster(n int) *Cluster {
	return New(member(n, "1"), start, slog.New(slog.DiscardHandler))
}

// Guards against a late datagram, of the same or a former process, that restores old state.
func TestOldHeartbeats(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	is.True(c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 5}, start))
	is.True(!c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 5}, start))
	is.True(!c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 4}, start))
	is.True(c.Alive("e1", "1", start.Add(time.Hour)))
	is.True(c.Observe(&gossip.Heartbeat{Sender: member(1, "2"), Sequence: 1}, start))
	is.True(!c.Alive("e1", "1", start.Add(time.Hour))) // its jobs may be taken over at once
	is.True(c.Alive("e1", "2", start.Add(time.Hour)))
}

// Guards against callers being sent to an instance that is leaving, silent or without a configuration, and against taking over
// the jobs of an instance that was silent only briefly.
func TestSilence(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	names := func(at time.Time) []string {
		list := []string{}
		for _, m := range c.ServingInstances("", at) {
			list = append(list, m.Name)
		}

		return list
	}
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1}, start)
	unready := member(2, "1")
	unready.Ready = false
	c.Observe(&gossip.Heartbeat{Sender: unready, Sequence: 1}, start)
	changes := c.Expire(start)
	is.Equal(names(start), []string{"e0", "e1"})
	at := start.Add(silentAfter + time.Millisecond)
	is.Equal(names(at), []string{"e0"})
	is.Equal(c.Expire(at), changes)
	is.True(c.Alive("e1", "1", start.Add(time.Hour)))
	for at.Sub(start) <= goneAfter {
		at = at.Add(pauseLimit / 2)
		c.Expire(at)
	}
	is.True(c.Expire(at) > changes)
	is.True(!c.Alive("e1", "1", start.Add(time.Hour)))
	leaving := member(1, "1")
	leaving.Leaving = true
	c.Observe(&gossip.Heartbeat{Sender: leaving, Sequence: 2}, at)
	is.Equal(names(at), []string{"e0"})
	is.True(c.Alive("e1", "1", start.Add(time.Hour))) // it still runs its items
}

// Guards against every instance reading the store although another one has just verified the state.
func TestCheckedAt(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Observe(&gossip.Heartbeat{Sender: member(3, "1"), Sequence: 1, RouteVersion: 7, ServerDigest: 9, CheckedMillis: -1}, start)
	is.True(c.CheckedAt().IsZero())
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1, RouteVersion: 7, ServerDigest: 9, CheckedMillis: 100}, start)
	is.Equal(c.CheckedAt(), start.Add(-100*time.Millisecond))
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1, RouteVersion: 8, ServerDigest: 9, CheckedMillis: 0}, start)
	is.Equal(c.CheckedAt(), start)
	from, found := c.NewerState(7, 0, 9)
	is.True(found)
	is.Equal(from, member(2, "1").Peer)
	_, found = c.NewerState(8, 0, 9)
	is.True(!found)
}

// Guards against relaying a store call through an instance that cannot reach the store either.
func TestStoreRelay(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1, StoreLost: true}, start)
	_, ok := c.StoreRelay(start)
	is.True(!ok)
	c.Observe(&gossip.Heartbeat{Sender: member(3, "1"), Sequence: 1}, start)
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, start)
	through, ok := c.StoreRelay(start)
	is.True(ok)
	is.Equal(through, member(2, "1").Peer) // its own zone
}

// Guards against an instance that has just started and does not know all others yet taking over jobs of live instances. During
// rolling restarts this made callers read fewer results than before.
func TestUnknownHolder(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Expire(start)
	is.True(c.Alive("e5", "1", start.Add(goneAfter)))
	is.True(!c.Alive("e5", "1", start.Add(goneAfter+1)))
	is.True(!c.Alive("", "", start)) // a job without a holder
	c.Observe(&gossip.Heartbeat{Sender: member(5, "2"), Sequence: 1}, start)
	is.True(!c.Alive("e5", "1", start)) // its next process is known
}

// Guards against an instance that was paused, or is cut off, counting all others as gone.
func TestPauseAndIsolation(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Expire(start)
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1}, start)
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, start)
	at := start.Add(10 * time.Second)
	is.True(!c.SuspectedSince(at, at))
	is.True(c.SuspectedSince(at.Add(-1), at)) // a read or write may come before Expire
	is.True(c.Paused(at))
	c.Expire(at)
	is.True(!c.Paused(at))
	is.True(c.Alive("e1", "1", at))
	is.True(c.SuspectedSince(at.Add(-1), at)) // others may have counted this one as gone
	is.True(!c.Isolated())
	for range 8 {
		at = at.Add(pauseLimit / 2)
		c.Expire(at)
	}
	is.True(!c.Alive("e1", "1", at))
	is.True(c.Isolated())
	is.True(c.SuspectedSince(at.Add(-1), at))
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 2}, at)
	is.True(!c.Isolated())
}

// Guards against an instance that hears nobody, though others hear it, and takes over their jobs: while some of them do not count as
// gone yet, since they were last heard from at different times, and after it has forgotten them.
func TestSilenceOfAllIsIsolation(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	const others = 20
	at := start
	c.Expire(at)
	for n := range others {
		at = at.Add(45 * time.Millisecond)
		c.Observe(&gossip.Heartbeat{Sender: member(n+1, "1"), Sequence: 1}, at)
	}
	silentSince := at
	is.True(!c.Isolated())
	for at.Before(silentSince.Add(3 * forgetAfter)) {
		at = at.Add(100 * time.Millisecond)
		c.Expire(at)
		gone := 0
		for n := range others {
			if !c.Alive(member(n+1, "1").Name, "1", at) {
				gone++
			}
		}
		is.True(gone == 0 || c.Isolated())
		is.True(gone < 2 || c.SuspectedSince(at.Add(-1), at)) // the others may have replaced it
	}
	is.Equal(receivers(c, at), others) // it goes on sending heartbeats
}

// receivers returns how many instances get heartbeats.
func receivers(c *Cluster, at time.Time) int {
	each, regular, joined := c.ZoneAddresses(at)
	uncontacted, direct, rest := c.RemoteAddresses(at)

	return len(each) + len(regular) + len(joined) + len(uncontacted) + len(direct) + len(rest)
}

// aliveOthers returns how many of the instances from 1 to count are alive.
func aliveOthers(c *Cluster, count int, at time.Time) int {
	n := 0
	for k := range count {
		if c.Alive(member(k+1, "1").Name, "1", at) {
			n++
		}
	}

	return n
}

// Guards against an instance that hears a single heartbeat after an isolation, takes the others for lost and takes over their jobs,
// and against one that never forgets lost instances after it.
func TestEndOfIsolation(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	const others = 20
	at := start
	sequence := 1
	hear := func(n int) {
		sequence++
		c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: sequence}, at)
	}
	pass := func(d time.Duration, heard ...int) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(200 * time.Millisecond)
			for _, n := range heard {
				hear(n)
			}
			c.Expire(at)
		}
	}
	for n := range others {
		hear(n + 1)
	}
	pass(40 * time.Second)
	since, ok := c.IsolatedSince()
	is.True(ok)
	is.True(since.Before(start.Add(goneAfter)))
	hear(1)
	is.True(!c.Isolated())
	is.Equal(aliveOthers(c, others, at), others)
	is.True(c.SuspectedSince(at.Add(-1), at))
	pass(20 * time.Second) // it heard one datagram only
	is.True(c.Isolated())
	is.Equal(receivers(c, at), others)
	pass(goneAfter+time.Second, 1, 2)
	is.True(!c.Isolated())
	is.Equal(aliveOthers(c, others, at), 2) // those that are still silent are lost
	pass(forgetAfter, 1, 2)
	is.Equal(receivers(c, at), 2)
}

// Guards against heartbeats to an address that is none, when an isolated instance hears from a process that it does not know.
func TestNewProcessEndsIsolation(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1}, start)
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, start)
	at := start
	for at.Before(start.Add(goneAfter)) {
		at = at.Add(200 * time.Millisecond)
		c.Expire(at)
	}
	is.True(c.Isolated())
	c.Observe(&gossip.Heartbeat{Sender: member(3, "1"), Sequence: 1}, at)
	is.True(!c.Isolated())
	for _, a := range c.PeerAddresses() {
		is.True(a.IsValid())
	}
}

// Guards against an isolated instance that is paused for a moment, and then counts for two seconds as one that hears others while it
// still takes all of them for lost, and forgets the addresses to which it sends.
func TestPauseOfIsolatedInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	for n := range 3 {
		c.Observe(&gossip.Heartbeat{Sender: member(n+1, "1"), Sequence: 1}, at)
	}
	for at.Before(start.Add(forgetAfter + 2*time.Second)) {
		at = at.Add(200 * time.Millisecond)
		c.Expire(at)
	}
	is.True(c.Isolated())
	is.Equal(receivers(c, at), 3)
	at = at.Add(pauseLimit + time.Millisecond)
	c.Expire(at)
	is.True(c.Isolated() || aliveOthers(c, 3, at) == 3) // else it takes their jobs over
	is.Equal(receivers(c, at), 3)                       // else the others count it as gone
}

// Guards against an instance that counts as isolated for good after the others were stopped, or when it is known that they are lost.
func TestLastInstanceIsNotIsolated(t *testing.T) {
	for _, c := range []struct {
		name     string
		leaving  bool
		forget   bool
		isolated bool
	}{
		{"silent", false, false, true},
		{"stopped", true, false, false},
		{"known to be lost", false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			for n := range 3 {
				m := member(n+1, "1")
				m.Leaving = c.leaving
				cl.Observe(&gossip.Heartbeat{Sender: m, Sequence: 1}, start)
			}
			at := start
			for at.Before(start.Add(forgetAfter)) {
				at = at.Add(200 * time.Millisecond)
				cl.Expire(at)
			}
			is.Equal(len(cl.PeerAddresses()), 3)
			if c.forget {
				cl.ForgetPeers(at)
			}
			is.Equal(cl.Isolated(), c.isolated)
			is.Equal(cl.Alive("e1", "1", at.Add(goneAfter+1)), false)
		})
	}
}

// Guards against a new process that starts behind a partition, hears from nobody and takes over the jobs of live instances, which are
// in the store's list; and against one that waits for instances of which at most one can be alive.
func TestNewProcessThatHearsNobody(t *testing.T) {
	for _, c := range []struct {
		name     string
		listed   int
		heard    bool
		forget   bool
		isolated bool
		suspects bool
	}{
		{"others listed", 3, false, false, true, true},
		{"one other listed", 1, false, false, false, false},
		{"one of three heard from", 3, true, false, false, true}, // both may have started behind a partition
		{"one of two heard from", 2, true, false, false, false},
		{"known to be lost", 3, false, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			at := start
			cl.Expire(at)
			for n := range c.listed {
				cl.Introduce([]netip.AddrPort{member(n+1, "1").Peer}, at)
			}
			cl.Expect(names(c.listed))
			for at.Before(start.Add(time.Minute)) {
				at = at.Add(200 * time.Millisecond)
				if c.heard {
					cl.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: int(at.Sub(start))}, at)
				}
				cl.Expire(at)
				if at.Sub(start) > isolatedAfter && !c.forget {
					is.Equal(cl.Isolated(), c.isolated) // before a holder that was never heard from counts as gone
					is.Equal(cl.SuspectedSince(at.Add(-time.Second), at), c.suspects)
				}
			}
			if c.isolated || c.forget {
				is.Equal(len(cl.PeerAddresses()), c.listed) // it goes on calling them
			}
			if c.forget {
				cl.ForgetPeers(at)
				cl.Expect(names(c.listed)) // it reads the list again
			}
			is.Equal(cl.Isolated(), c.isolated)
		})
	}
}

// Guards against processes that start behind the same partition, hear each other, and take over the jobs of all others as lost, and against
// ones that wait for instances which are lost.
func TestStartBehindPartitionWithAnother(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	c.Expire(at)
	pass := func(d time.Duration, heard ...int) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(200 * time.Millisecond)
			for _, n := range heard {
				c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: int(at.Sub(start))}, at)
			}
			c.Expire(at)
		}
	}
	pass(time.Second, 1)
	c.Expect(names(5))
	for range 20 {
		pass(5*time.Second, 1)
		is.True(c.Alive("e2", "1", at) && c.Alive("e5", "1", at) && !c.Alive("e9", "1", at))
		is.True(c.SuspectedSince(at.Add(-1), at))
		is.Equal(len(c.Unconfirmed()), 4)
	}
	c.ConfirmLost("e2", c.Unconfirmed()["e2"])
	pass(time.Second, 1, 3)
	is.True(!c.Alive("e2", "1", at) && c.Alive("e5", "1", at)) // e2 is lost for good
	is.True(c.SuspectedSince(at.Add(-1), at))
	pass(time.Second, 1, 3, 4)
	pass(time.Second, 1, 3, 4)
	is.True(!c.Alive("e5", "1", at)) // most others are heard from
	is.True(!c.SuspectedSince(at.Add(-1), at))
	is.Equal(len(c.Unconfirmed()), 0)
}

// Guards against a new process behind a partition that hears from one other one, such as one that started beside it, takes that for the
// whole fleet and takes over the jobs of listed instances that are alive; and against one of a fleet of two that waits for instances
// that do not exist once the other is lost.
func TestNewProcessThatHearsOneOfMany(t *testing.T) {
	for _, listed := range []int{20, 1} {
		is := is.New(t)
		c := newCluster(0)
		at := start
		c.Expire(at)
		c.Expect(names(listed))
		c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1}, at)
		for at.Before(start.Add(goneAfter + time.Second)) {
			at = at.Add(200 * time.Millisecond)
			c.Expire(at)
		}
		is.Equal(c.Isolated() || c.Alive("e5", "1", at), listed > 1)
		for at.Before(start.Add(singleSilenceLimit + time.Second)) {
			at = at.Add(200 * time.Millisecond)
			c.Expire(at)
		}
		is.True(c.SuspectedSince(at.Add(-1), at))
	}
}

// Guards against two instances that are cut off from each other, but not from the store, and take over each other's new jobs while
// neither suspects it: for a while, after the time for which a silent instance is remembered, or after a pause.
func TestPairThatIsCutOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1}, at)
	pass := func(d time.Duration) {
		at = at.Add(d)
		c.Expire(at)
		takesOver := !c.Isolated() && !c.Alive("e1", "1", at)
		suspects := c.SuspectedSince(at.Add(-1), at)
		is.True(suspects || !takesOver) // the other one decides by the same rules
	}
	for at.Before(start.Add(2 * forgetAfter)) {
		pass(200 * time.Millisecond)
	}
	is.Equal(receivers(c, at), 1)
	pass(pauseLimit + 1)
	pass(200 * time.Millisecond)
	is.True(!c.Isolated() && !c.Alive("e1", "1", at)) // the jobs of a lost one are taken over
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 2}, at)
	pass(200 * time.Millisecond)
	pass(200 * time.Millisecond)
	is.True(!c.SuspectedSince(at.Add(-1), at))
}

// Guards against two groups that are cut off from each other, but not from the store, and forget each other: each takes over the new
// jobs of the other one, and neither suspects it.
func TestGroupsThatForgetEachOther(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	for n := range 5 {
		c.Observe(&gossip.Heartbeat{Sender: member(n+1, "1"), Sequence: 1}, at)
	}
	for k := 2; at.Before(start.Add(forgetAfter + 5*time.Second)); k++ {
		at = at.Add(200 * time.Millisecond)
		c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: k}, at)
		c.Expire(at)
	}
	takesOver := !c.Isolated() && !c.Alive("e3", "1", at)
	suspects := c.SuspectedSince(at.Add(-time.Second), at)
	is.True(suspects || !takesOver)
	forgotten := c.Unconfirmed()
	is.Equal(len(forgotten), 4)
	c.ConfirmLost("e2", forgotten["e2"].Add(-1)) // it was heard from and forgotten again since
	c.Observe(&gossip.Heartbeat{Sender: member(3, "1"), Sequence: 2}, at)
	is.Equal(len(c.Unconfirmed()), 3)
	is.True(c.Hears("e3") && !c.Hears("e2"))
}

// Guards against an instance that goes on answering from memory when one that was silent for long is heard again, which may have taken over
// its jobs as the last one while neither this instance nor the others reached the store to answer its question.
func TestReturnOfSilentInstance(t *testing.T) {
	for _, c := range []struct {
		name        string
		silence     time.Duration
		incarnation string
		digest      bool
		suspects    bool
	}{
		{"briefly", 2 * time.Second, "1", false, false},
		{"for long", 20 * time.Second, "1", false, true},
		{"for long, heard by a gateway", 20 * time.Second, "1", true, true},
		{"forgotten", forgetAfter + 10*time.Second, "1", false, true},
		{"another process", 20 * time.Second, "2", false, false}, // the former one, which held jobs, is lost
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			at := start
			cl.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, at)
			for k := 1; at.Before(start.Add(c.silence)); k++ {
				at = at.Add(200 * time.Millisecond)
				cl.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: k}, at)
				cl.Expire(at)
			}
			is.True(!cl.SuspectedSince(at.Add(-1), at))
			at = at.Add(200 * time.Millisecond)
			if c.digest {
				cl.ObserveDigest(&gossip.Report{Zone: "a", Heard: []gossip.MemberStatus{{Name: "e2", Incarnation: "1"}}}, nil, at)
			} else {
				cl.Observe(&gossip.Heartbeat{Sender: member(2, c.incarnation), Sequence: 2}, at)
			}
			is.Equal(cl.SuspectedSince(at.Add(-1), at), c.suspects)
		})
	}
}

// Guards against an instance that waits for others to be confirmed as lost which have stopped, and were expected to become silent.
func TestStoppedInstancesAreForgotten(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	for n := range 5 {
		m := member(n+1, "1")
		m.Leaving = n > 0
		c.Observe(&gossip.Heartbeat{Sender: m, Sequence: 1}, at)
	}
	for k := 2; at.Before(start.Add(forgetAfter + 5*time.Second)); k++ {
		at = at.Add(200 * time.Millisecond)
		c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: k}, at)
		c.Expire(at)
	}
	is.Equal(len(c.Unconfirmed()), 0)
	is.True(!c.SuspectedSince(at.Add(-time.Second), at))
}

// Guards against an isolated instance that tells its zone, as a gateway, that all others are silent and have nothing in flight.
func TestIsolatedInstanceIsNoGateway(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	for n := range 20 {
		c.Observe(&gossip.Heartbeat{Sender: member(2*n+2, "1"), Sequence: 1}, at)
	}
	_, _, gateway := c.GatewayRank(at)
	is.True(gateway)
	for at.Before(start.Add(isolatedAfter + time.Second)) {
		at = at.Add(200 * time.Millisecond)
		c.Expire(at)
	}
	_, _, gateway = c.GatewayRank(at)
	is.True(!gateway)
	each, regular, joined := c.ZoneAddresses(at)
	is.Equal(len(each)+len(regular)+len(joined), 20)
}

// Guards against a change costing as many store calls as there are instances, and against a zone in which no instance watches
// the store because its watchers failed, are leaving or cannot reach it.
func TestWatchesStore(t *testing.T) {
	heartbeat := func(n, sequence int, leaving, storeLost bool) *gossip.Heartbeat {
		m := member(n, "1")
		m.Leaving = leaving
		return &gossip.Heartbeat{Sender: m, Sequence: sequence, StoreLost: storeLost}
	}
	for _, c := range []struct {
		name       string
		heartbeats []*gossip.Heartbeat
		lost       bool
		at         time.Duration
		zone       bool
		ends       bool
	}{
		{"alone", nil, false, 0, true, true},
		{"one ahead", []*gossip.Heartbeat{heartbeat(2, 1, false, false)}, false, 0, false, true},
		{"two ahead", []*gossip.Heartbeat{heartbeat(2, 1, false, false), heartbeat(4, 1, false, false)}, false, 0, false, false},
		{"two ahead in another zone", []*gossip.Heartbeat{heartbeat(1, 1, false, false), heartbeat(3, 1, false, false)}, false, 0, true, false},
		{"two behind", []*gossip.Heartbeat{heartbeat(8, 1, false, false), heartbeat(80, 1, false, false)}, false, 0, true, true},
		{"one leaves", []*gossip.Heartbeat{heartbeat(2, 1, true, false)}, false, 0, true, true},
		{"one of two leaves", []*gossip.Heartbeat{heartbeat(2, 1, true, false), heartbeat(4, 1, false, false)}, false, 0, false, true},
		{"one without the store", []*gossip.Heartbeat{heartbeat(2, 1, false, true)}, false, 0, true, true},
		{"one of two without the store", []*gossip.Heartbeat{heartbeat(2, 1, false, false), heartbeat(4, 1, false, true)}, false, 0, false, true},
		{"silent", []*gossip.Heartbeat{heartbeat(2, 1, false, false), heartbeat(4, 1, false, false)}, false, silentAfter + 1, true, true},
		{"lost while one behind reaches the store", []*gossip.Heartbeat{heartbeat(8, 1, false, false)}, true, 0, false, true},
		{"all lost, two ahead", []*gossip.Heartbeat{heartbeat(2, 1, false, true), heartbeat(4, 1, false, true)}, true, 0, false, false},
		{"all lost, two behind", []*gossip.Heartbeat{heartbeat(8, 1, false, true), heartbeat(80, 1, false, true)}, true, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(6)
			for _, b := range c.heartbeats {
				cl.Observe(b, start)
			}
			is.Equal(cl.WatchesStore(c.lost, start.Add(c.at)), c.zone)
			is.Equal(cl.WatchesServers(c.lost, start.Add(c.at)), c.ends)
			is.Equal(cl.WatchesJobEnds(c.lost, start.Add(c.at)), c.ends)
		})
	}
}

// Guards against copying newer state from another zone when an instance in the own zone has it as well.
func TestNewerStatePrefersOwnZone(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	for n := 1; n <= 9; n++ {
		c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: 1, RouteVersion: 7}, start)
	}
	for range 20 {
		from, ok := c.NewerState(6, 0, 0)
		is.True(ok)
		is.True(from == member(2, "").Peer || from == member(4, "").Peer || from == member(6, "").Peer || from == member(8, "").Peer)
	}
	_, ok := c.NewerState(7, 0, 0)
	is.True(!ok)
}

// Guards against a new instance not learning an address for seconds, as happens if the addresses are picked at random.
func TestAddressesAlternate(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	for n := 1; n <= 59; n++ {
		c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: 1}, start)
	}
	seen := map[netip.AddrPort]bool{}
	for round := range 2 {
		list := c.Addresses(32, round)
		is.Equal(len(list), 32)
		for _, a := range list {
			seen[a] = true
		}
	}
	is.Equal(len(seen), 59)
}

// Guards against reading all jobs from the store for half a minute because one instance was removed for good, and against
// answering from memory while two silent instances, which may hear each other, may have taken over the jobs, until their loss is confirmed.
func TestSuspectedWhileInstancesAreSilent(t *testing.T) {
	const confirmed = forgetAfter + 5*time.Second
	for _, c := range []struct {
		name string
		lost int
		last time.Duration
	}{
		{"none", 0, 0},
		{"one", 1, singleSilenceLimit},
		{"two", 2, confirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			cl.Expire(start)
			for n := 1; n <= 4; n++ {
				cl.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: 1}, start)
			}
			for after := pauseLimit / 2; after < forgetAfter+10*time.Second; after += pauseLimit / 2 {
				at := start.Add(after)
				for n := 1 + c.lost; n <= 4; n++ {
					cl.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: int(after)}, at)
				}
				cl.Expire(at)
				is.Equal(cl.SuspectedSince(at.Add(-1), at), after > selfSuspectAfter && after <= c.last)
				is.Equal(len(cl.Unconfirmed()) > 0, c.lost > 1 && after > forgetAfter && after <= c.last)
				if after == confirmed {
					for name, forgottenAt := range cl.Unconfirmed() {
						cl.ConfirmLost(name, forgottenAt)
					}
					is.Equal(len(cl.Unconfirmed()), 0)
				}
			}
		})
	}
}

// Guards against a list of all jobs in each region, or at each instance whose turn it has just become: at large sites the lists
// filled the link to the region without the store.
func TestOneSearchForTheFleet(t *testing.T) {
	is := is.New(t)
	c := newCluster(6)
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, start)
	is.True(c.SearchesOrphans(false, start)) // one precedes this instance
	c.Observe(&gossip.Heartbeat{Sender: member(4, "1"), Sequence: 1}, start)
	is.True(!c.SearchesOrphans(false, start))
	is.True(c.SearchesOrphans(false, start.Add(silentAfter+1)))
	is.True(c.SearchedAt().IsZero())
	c.Observe(&gossip.Heartbeat{Sender: member(4, "1"), Sequence: 2, SearchedMillis: 300}, start.Add(time.Second))
	is.Equal(c.SearchedAt(), start.Add(700*time.Millisecond))
	c.RecordSearch(start)
	is.Equal(c.SearchedAt(), start.Add(700*time.Millisecond))
}

// Guards against a new process that hears most of the fleet, but not a group that was cut off before it started: that group takes its jobs
// over, and it would answer from memory. And against one that expects this of instances that it hears soon, or that are known to be lost.
func TestStartBesideGroupThatIsCutOff(t *testing.T) {
	is := is.New(t)
	play := func(heard ...int) (c *Cluster, at time.Time) {
		c, at = newCluster(0), start
		c.Expire(at)
		c.Expect(names(5))
		for at.Before(start.Add(10 * time.Second)) {
			at = at.Add(200 * time.Millisecond)
			for _, n := range heard {
				c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: int(at.Sub(start))}, at)
			}
			c.Expire(at)
		}

		return c, at
	}
	suspects := func(c *Cluster, at time.Time) bool {
		c.Expire(at)

		return c.SuspectedSince(at.Add(-1), at)
	}
	c, at := play(1, 2, 3)
	is.True(suspects(c, at))
	is.Equal(len(c.Unconfirmed()), 2)
	is.True(!c.Alive("e4", "1", at)) // its jobs wait for nothing
	c.ConfirmLost("e4", c.Unconfirmed()["e4"])
	is.True(!suspects(c, at.Add(100*time.Millisecond))) // a single one that is cut off is isolated
	c, at = play(1, 2, 3, 4, 5)
	is.True(!suspects(c, at))
	c, at = play(1, 2, 3)
	c.Observe(&gossip.Heartbeat{Sender: member(4, "1"), Sequence: 1}, at)
	c.Observe(&gossip.Heartbeat{Sender: member(5, "1"), Sequence: 1}, at)
	is.Equal(len(c.Unconfirmed()), 0)
	is.True(!suspects(c, at.Add(100*time.Millisecond)))
}

// Guards against an instance that answers from memory although a single silent one may have taken over its jobs as the last one: its question
// in the store cannot be answered by those that do not reach the store.
func TestSuspectedWhileStoreIsLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Expire(start)
	for n := 1; n <= 4; n++ {
		c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: 1}, start)
	}
	const lostUntil = 20 * time.Second
	for after := pauseLimit / 2; after < forgetAfter+singleSilenceLimit; after += pauseLimit / 2 {
		at := start.Add(after)
		for n := 2; n <= 4; n++ {
			c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: int(after)}, at)
		}
		if after <= lostUntil {
			c.ObserveStoreLost(at)
		}
		c.Expire(at)
		is.Equal(c.SuspectedSince(at.Add(-1), at), after > selfSuspectAfter && after <= lostUntil+singleSilenceLimit)
	}
}

// Guards against instances that are looked for although they have left or are heard, and against ones that are not because they were
// forgotten or never heard from.
func TestMissing(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Expire(start)
	c.Expect(names(5))
	for n := 1; n <= 4; n++ {
		m := member(n, "1")
		m.Leaving = n == 4
		c.Observe(&gossip.Heartbeat{Sender: m, Sequence: 1}, start)
	}
	at := start
	pass := func(d time.Duration) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(200 * time.Millisecond)
			c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: int(at.Sub(start))}, at)
			c.Expire(at)
		}
	}
	pass(goneAfter)
	is.Equal(len(c.Missing()), 0)
	pass(time.Second)
	want := []string{"e2", "e3", "e5"}
	is.Equal(slices.Sorted(slices.Values(c.Missing())), want)
	pass(forgetAfter)
	is.Equal(slices.Sorted(slices.Values(c.Missing())), want)
	c.ConfirmLost("e2", c.Unconfirmed()["e2"])
	c.Observe(&gossip.Heartbeat{Sender: member(3, "1"), Sequence: 2}, at)
	is.Equal(c.Missing(), []string{"e5"})
}

// Guards against an instance that does not look in the store for the questions and doubts of others that it hears: they cannot hear its answer.
func TestSought(t *testing.T) {
	for _, c := range []struct {
		name   string
		beat   gossip.Heartbeat
		after  time.Duration
		sought bool
	}{
		{"the other one hears this one", gossip.Heartbeat{}, 0, false},
		{"it hears few", gossip.Heartbeat{Asking: true}, 0, true},
		{"it does not hear this one", gossip.Heartbeat{Silent: []gossip.SilentProcess{{Name: "e0", Incarnation: "1", AgeMillis: 2600}}}, 0, true},
		{
			"it did not hear this one before",
			gossip.Heartbeat{Silent: []gossip.SilentProcess{{Name: "e0", Incarnation: "1", AgeMillis: 2600}}},
			unheardLife + time.Millisecond, false,
		},
		{"it is gone", gossip.Heartbeat{Asking: true}, goneAfter + time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newCluster(0)
			k.Expire(start)
			b := c.beat
			b.Sender, b.Sequence = member(1, "1"), 1
			k.Observe(&b, start)
			for after := time.Duration(0); after < c.after; after += pauseLimit / 2 {
				k.Expire(start.Add(after))
			}
			k.Expire(start.Add(c.after))
			is.Equal(k.Sought(), c.sought)
		})
	}
}

// Guards against an instance that vouches for another one from which nothing came for long: a doubt about that one would be removed though it
// is lost.
func TestHearsOnlyWhatIsHeardLately(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Expire(start)
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1}, start)
	for after := time.Duration(0); after < goneAfter; after += 200 * time.Millisecond {
		c.Expire(start.Add(after))
		is.Equal(c.Hears("e1"), after <= goneAfter/2)
	}
}

// Guards against processes that are added behind the same partition, hear each other, and take that for half of the fleet, whose list was read
// before they were in it: they would take over the jobs of live instances.
func TestAddedBehindPartition(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	c.Expire(at)
	c.Expect(names(4))
	for at.Before(start.Add(time.Minute)) {
		at = at.Add(200 * time.Millisecond)
		for n := 7; n <= 8; n++ {
			c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: int(at.Sub(start))}, at)
		}
		c.Expire(at)
		is.True(c.Alive("e2", "1", at))
		is.True(!c.MetMost())
	}
}
