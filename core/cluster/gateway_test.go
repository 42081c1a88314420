package cluster

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against gateways on small machines while the zone has larger ones.
func TestGatewaysAreTheLargestInstances(t *testing.T) {
	for _, c := range []struct {
		name  string
		self  int
		large int
		want  bool
	}{
		{"lowest names among equals", 0, -1, true},
		{"larger ones elsewhere in the zone", 0, 10, false},
		{"large itself", 12, 10, true},
		{"neither low nor large", 14, 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			self := member(c.self, "1")
			size := func(n int) int {
				if c.large >= 0 && n >= c.large && n < c.large+4 {
					return 800
				}

				return 192
			}
			self.Millicores = size(c.self)
			cl := New(self, start, slog.New(slog.DiscardHandler))
			for n := range 30 {
				m := member(n, "1")
				m.Millicores = size(n)
				cl.Observe(&gossip.Heartbeat{Sender: m, Sequence: 1}, start)
			}
			is.Equal(len(cl.Gateways(start)) > 0, c.want)
		})
	}
}

// Guards against relaying the heartbeats of all instances with every report, which saturated machines of a fifth of a core at 74
// instances, and against relaying a change late or only once, so that the loss of one datagram hides it.
func TestReportRelaysChangesOnly(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	heartbeats := map[int]*gossip.Heartbeat{}
	for n := 2; n < 24; n += 2 {
		heartbeats[n] = &gossip.Heartbeat{Sender: member(n, "1"), Counts: []gossip.Count{{Server: "s", Online: 1}}}
	}
	report := func() (gossip.Report, map[string]bool) {
		own := &gossip.Heartbeat{Sender: c.Self()}
		for _, b := range heartbeats {
			b.Sequence++
			b.CheckedMillis += 100
			b.Queued = b.Sequence
			is.True(c.Observe(b, at))
		}
		r, relayed := c.Report(own, at)
		names := map[string]bool{}
		for _, b := range relayed {
			is.Equal(len(b.Beat.Counts), 0)
			names[b.Beat.Sender.Name] = true
		}
		at = at.Add(100 * time.Millisecond)

		return r, names
	}
	r, names := report()
	is.Equal(len(names), 12) // none of them is known in other zones yet
	is.Equal(len(r.Heard), 12)
	total := 0
	for range 40 {
		r, names = report()
		is.Equal(len(r.Heard), 12)
		total += len(names)
	}
	is.True(total <= 12*5)
	for _, c := range []struct {
		name   string
		change func(b *gossip.Heartbeat)
	}{
		{"held", func(b *gossip.Heartbeat) { b.Held = []string{"job"} }},
		{"claimed", func(b *gossip.Heartbeat) { b.Claimed = []string{"job"} }},
		{"ended", func(b *gossip.Heartbeat) { b.Ended = []string{"job"} }},
		{"released", func(b *gossip.Heartbeat) { b.Released = []string{"job"} }},
		{"version", func(b *gossip.Heartbeat) { b.RouteVersion = 7 }},
		{"servers", func(b *gossip.Heartbeat) { b.ServerDigest = 7 }},
		{"store", func(b *gossip.Heartbeat) { b.StoreLost = true }},
		{"leaving", func(b *gossip.Heartbeat) { b.Sender.Leaving = true }},
	} {
		c.change(heartbeats[8])
		_, first := report()
		_, second := report()
		is.True(first["e8"])  // a change is relayed at once
		is.True(second["e8"]) // and repeated
		for range 10 {
			report()
		}
	}
	// Every instance states the latest check of any one, so that a check would be a change of all.
	report() // the unchanged heartbeat is due for its refresh
	heartbeats[8].CheckedMillis = 0
	_, names = report()
	is.True(!names["e8"])
}

// Guards against counting an instance as gone although reports list it, against a report on a former process that prevents
// its jobs from being taken over, and against reports that make a check of the store look newer than it is.
func TestReportKeepsInstancesAlive(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1, RouteVersion: 7}, start)
	c.Observe(&gossip.Heartbeat{Sender: member(3, "2"), Sequence: 1}, start)
	at := start
	for range 20 {
		c.ObserveReport(&gossip.Report{Zone: "b", Heard: []gossip.MemberStatus{
			{Name: "e1", Incarnation: "1", AgeMillis: 50, Queued: 1},
			{Name: "e3", Incarnation: "1", AgeMillis: 50},
			{Name: "e5", Incarnation: "1", AgeMillis: 50},
		}}, at)
		c.Expire(at)
		at = at.Add(pauseLimit / 2)
	}
	is.True(c.Alive("e1", "1", at))
	is.True(!c.Alive("e3", "2", at)) // only its former process was reported
	is.True(!c.Alive("e5", "1", at))
	is.Equal(len(c.ServingInstances("", at.Add(-pauseLimit/2))), 2)
	is.Equal(c.CheckedAt(), start)
	c.ObserveReport(&gossip.Report{Zone: "b", Heard: []gossip.MemberStatus{{Name: "e1", Incarnation: "1", AgeMillis: 5000}}}, at)
	is.True(len(c.ServingInstances("", at)) == 2) // an older report changes nothing
}

// Guards against counting tokens both from an instance and from the report on its zone, so that jobs that fit are refused, and
// against losing tokens when a zone no longer has a gateway.
func TestWaitingTokensAreCountedOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports bool
		after   time.Duration
		want    int
	}{
		{"heartbeats only", false, 0, 7},
		{"report", true, 0, 13},
		{"report expired", true, gossip.ReportLife + 1, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			cl.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 2}}, start)
			cl.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 5}}, start)
			if c.reports {
				cl.ObserveReport(&gossip.Report{Zone: "b", Waiting: gossip.ReportWaiting{"r": 8}}, start)
				cl.ObserveReport(&gossip.Report{Zone: "b", Waiting: gossip.ReportWaiting{"r": 80}}, start.Add(-1))
			}
			is.Equal(cl.Waiting("r", start.Add(c.after)), c.want)
			r, _ := cl.Report(&gossip.Heartbeat{Sender: cl.Self(), Waiting: gossip.HeartbeatWaiting{"r": 1}}, start)
			is.Equal(r.Waiting, gossip.ReportWaiting{"r": 6}) // of its own zone
		})
	}
}

// Guards against an instance that ends its receiving of heartbeats when the first job of its zone is its own: the digest of the zone was
// made before the job, without waiting tokens.
func TestDigestWithoutWaitingTokens(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	c.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, start)
	c.ObserveDigest(&gossip.Report{Zone: "a", Heard: []gossip.MemberStatus{{Name: "e2", Incarnation: "1"}}}, &gossip.Heartbeat{Waiting: gossip.HeartbeatWaiting{"r": 5}}, start.Add(time.Second))
	is.Equal(c.Waiting("r", start.Add(time.Second)), 0)
	is.Equal(len(c.ServingInstances("", start.Add(time.Second))), 2) // the report shows that the other instance is alive
}

// Guards against gateways that are taken from an old list of the zone: after a larger instance has started, has become silent, has
// started again with less processor time, and after instances were forgotten.
func TestGatewaysFollowTheZone(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	beat := func(n, millicores, sequence int, incarnation string, at time.Time) {
		m := member(n, incarnation)
		m.Millicores = millicores
		c.Observe(&gossip.Heartbeat{Sender: m, Sequence: sequence}, at)
	}
	ranked := func(at time.Time) bool {
		_, _, ok := c.GatewayRank(at)

		return ok
	}
	is.True(ranked(start)) // the only one
	beat(2, 800, 1, "1", start)
	beat(4, 800, 1, "1", start)
	is.True(!ranked(start))
	at := start.Add(silentAfter / 2)
	beat(2, 800, 2, "1", at)
	at = start.Add(silentAfter + 1)
	is.True(ranked(at)) // e4 is silent
	beat(4, 0, 1, "2", at)
	is.True(ranked(at)) // e4 is small now
	beat(6, 0, 1, "1", at)
	is.Equal(len(c.ZoneMembers()), 3)
	for end := at.Add(forgetAfter + time.Second); at.Before(end); at = at.Add(pauseLimit / 2) {
		c.Expire(at)
		beat(2, 800, int(at.Sub(start)), "1", at)
		beat(6, 800, int(at.Sub(start)), "1", at)
		is.True(len(c.ZoneMembers()) >= 2)
	}
	is.Equal(len(c.ZoneMembers()), 2) // e4 is forgotten
	is.True(!ranked(at))              // e6 says that it has more processor time
	c.ForgetPeers(at)
	is.Equal(len(c.ZoneMembers()), 0)
	is.True(ranked(at))
}
