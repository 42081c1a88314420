package cluster

import (
	"testing"
	"time"

	"tarragonwalk/core/gossip"
)

// BenchmarkMayStartBatch calls MayStartBatch in a fleet of 74 instances, half of which have queued items.
func BenchmarkMayStartBatch(b *testing.B) {
	c := newCluster(0)
	for n := 1; n < 74; n++ {
		c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: 1, Queued: n % 2}, start)
	}
	for n := range b.N {
		c.MayStartBatch("i-12345678", "a", false, start.Truncate(fleetWindow).Add(time.Duration(n%90)))
	}
}

// BenchmarkRoles makes the decisions of an instance for a heartbeat and a report in a fleet of 250 instances.
func BenchmarkRoles(b *testing.B) {
	c := newCluster(120)
	for n := range 250 {
		m := member(n, "1")
		m.Zone = string(rune('a' + n%6))
		c.Observe(&gossip.Heartbeat{Sender: m, Sequence: 1}, start)
	}
	c.Expire(start)
	b.ReportAllocs()
	for range b.N {
		c.GatewayRank(start)
		c.ZoneAddresses(start)
		c.Gateways(start)
		c.WatchesStore(false, start)
		c.WatchesJobEnds(false, start)
		c.CheckedAt()
	}
}
