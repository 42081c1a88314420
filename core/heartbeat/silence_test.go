package heartbeat_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/io/messagecodec"
)

// Guards against an instance that takes over the jobs of one from which only it is cut off, and against a lost one that never counts as
// gone, or messages about silent instances while there are none.
func TestPairThatOthersHear(t *testing.T) {
	for _, c := range []struct {
		name         string
		count, zones int
		a, b         int
		oneWay       bool
	}{
		{"small fleet", 3, 1, 1, 2, false},
		{"small fleet, one way", 6, 3, 4, 2, true},
		{"two zones with gateways", 24, 2, 8, 9, false},
		{"gateways of two zones", 24, 2, 0, 1, false},
		{"gateway and member of a large zone", 24, 1, 0, 20, false},
		{"members of a large zone", 24, 1, 19, 20, false},
		{"gateways of a large zone", 24, 1, 0, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				n.codec, n.delay = messagecodec.New(1<<20), time.Millisecond
				var list []*instance
				for k := range c.count {
					list = append(list, n.start(fmt.Sprintf("e%02d", k), fmt.Sprint("z", k%c.zones), "1"))
				}
				defer func() { stopAll(list) }()
				for a := range n.nodes {
					for _, i := range list {
						i.cluster.Introduce([]netip.AddrPort{a}, time.Now())
					}
				}
				time.Sleep(5 * time.Second)
				a, b := list[c.a], list[c.b]
				n.lock.Lock()
				n.passedOn = 0
				n.lock.Unlock()
				time.Sleep(5 * time.Second)
				n.lock.Lock()
				is.Equal(n.passedOn, 0)
				n.cut = func(from, to *instance) bool { return from == a && to == b || !c.oneWay && from == b && to == a }
				n.lock.Unlock()
				for range 200 {
					time.Sleep(200 * time.Millisecond)
					for _, i := range []*instance{a, b} {
						is.Equal(len(i.cluster.Live()), c.count)
						is.True(!i.cluster.Unheard())
					}
				}
				// Neither expects that the other one takes over its jobs.
				is.True(!a.cluster.SuspectedSince(time.Now().Add(-30*time.Second), time.Now()))
				is.True(!b.cluster.SuspectedSince(time.Now().Add(-30*time.Second), time.Now()))
				a.stop()
				list = append(list[:c.a:c.a], list[c.a+1:]...)
				time.Sleep(4500 * time.Millisecond)
				for _, i := range list {
					is.Equal(len(i.cluster.Live()), c.count-1)
				}
				time.Sleep(40 * time.Second)
				n.lock.Lock()
				n.passedOn = 0
				n.lock.Unlock()
				time.Sleep(5 * time.Second)
				n.lock.Lock()
				defer n.lock.Unlock()
				is.Equal(n.passedOn, 0)
			})
		})
	}
}

// Guards against an instance of a large zone that only its gateways do not hear, and that counts as gone for all others although they hear
// it whenever it sends to them.
func TestMemberThatGatewaysDoNotHear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, member = 24, 20
		n := newNetwork()
		n.codec, n.delay = messagecodec.New(1<<20), time.Millisecond
		var list []*instance
		for k := range count {
			list = append(list, n.start(fmt.Sprintf("e%02d", k), "z0", "1"))
		}
		defer func() { stopAll(list) }()
		for a := range n.nodes {
			for _, i := range list {
				i.cluster.Introduce([]netip.AddrPort{a}, time.Now())
			}
		}
		time.Sleep(10 * time.Second)
		n.lock.Lock()
		n.cut = func(from, to *instance) bool { return from == list[member] && (to == list[0] || to == list[1]) }
		n.lock.Unlock()
		time.Sleep(10 * time.Second)
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			for _, i := range list {
				is.Equal(len(i.cluster.Live()), count)
			}
		}
	})
}
