package heartbeat_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/cluster"
	"tarragonwalk/core/freshness"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/heartbeat"
	"tarragonwalk/core/load"
	"tarragonwalk/core/quarantine"
	"tarragonwalk/core/quota"
	"tarragonwalk/core/ratelimit"
	"tarragonwalk/core/route"
	"tarragonwalk/io/messagecodec"
)

// network delivers heartbeats between the instances of a test without delay, unless a link is cut.
type network struct {
	lock  sync.Mutex
	nodes map[netip.AddrPort]*instance
	cut   func(from, to *instance) bool
	sent  map[string]int
	// far counts messages between zones, relayed the relayed heartbeats in all messages, passedOn those that were asked for.
	far, relayed, passedOn int
	// codec encodes each message as between processes, which leaves empty maps and lists out; nil delivers messages as they are.
	codec *messagecodec.Codec
	// delay is how long each message takes to be handled.
	delay time.Duration
	// tick is the time between two ticks of each instance.
	tick time.Duration
}

// instance is one member of a fleet; its own methods are stubs of the dependencies of the exchanger.
type instance struct {
	network   *network
	cluster   *cluster.Cluster
	loads     *load.Table
	parts     *quarantine.Quarantine
	quota     *quota.Quota
	exchanger *heartbeat.Exchanger
	stop      context.CancelFunc
	// waiting is the number of waiting tokens of the instance's jobs.
	waiting atomic.Int64
	// refusedAt is when a refused job was first submitted as last heard.
	refusedAt atomic.Pointer[time.Time]
	// lock guards the fields below: the departures that the instance announces, and those that it has heard of.
	lock       sync.Mutex
	departures []gossip.Departure
	heard      map[gossip.Departure]bool
	// outcomes are those that the instance announces, and failing are the failures of servers that it has heard of.
	outcomes []gossip.Outcomes
	failing  map[string]int
	// checked holds what the instance knows of checks of the store.
	checked *freshness.State
}

func (i *instance) checkedAt() time.Time {
	at, _ := i.checked.At()

	return at
}

func (i *instance) Departures() []gossip.Departure {
	i.lock.Lock()
	defer i.lock.Unlock()

	return i.departures
}

func (i *instance) ObserveDepartures(list []gossip.Departure, _ string) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, d := range list {
		i.heard[d] = true
	}
}

func (i *instance) Outcomes(time.Time) []gossip.Outcomes {
	i.lock.Lock()
	defer i.lock.Unlock()

	return i.outcomes
}

func (i *instance) ObserveOutcomes(list []gossip.Outcomes, _, _ string, _ time.Time) {
	i.lock.Lock()
	defer i.lock.Unlock()
	for _, o := range list {
		i.failing[o.Server] = max(i.failing[o.Server], o.Failures)
	}
}

func (i *instance) failuresOf(server string) int {
	i.lock.Lock()
	defer i.lock.Unlock()

	return i.failing[server]
}

// hears reports whether the instance has heard of a departure.
func (i *instance) hears(d gossip.Departure) bool {
	i.lock.Lock()
	defer i.lock.Unlock()

	return i.heard[d]
}

func (i *instance) Send(b *gossip.Heartbeat, to []netip.AddrPort) {
	for _, a := range to {
		i.network.lock.Lock()
		other := i.network.nodes[a]
		lost := other == nil || i.network.cut != nil && i.network.cut(i, other)
		i.network.sent[i.name()]++
		i.network.relayed += len(b.Relayed)
		i.network.passedOn += len(b.PassedOn)
		if other != nil && other.cluster.Self().Zone != i.cluster.Self().Zone {
			i.network.far++
		}
		i.network.lock.Unlock()
		if !lost {
			c := *b
			c.Relayed = append([]gossip.RelayedHeartbeat(nil), b.Relayed...)
			c.Reports = append([]gossip.Report(nil), b.Reports...)
			if i.network.codec != nil {
				c = i.network.transcode(b)
			}
			age := time.Duration(c.CheckedMillis) * time.Millisecond
			other.checked.RecordPeer(i.name(), int64(c.RouteVersion), 1, age, time.Now(), time.Now())
			if i.network.delay > 0 {
				time.AfterFunc(i.network.delay, func() { other.exchanger.HandleHeartbeat(&c) })

				continue
			}
			other.exchanger.HandleHeartbeat(&c)
		}
	}
}

func (i *instance) name() string                               { return i.cluster.Self().Name }
func (*instance) ObserveHolder(id, holder, incarnation string) {}
func (*instance) ObserveClaim(id, holder, incarnation string)  {}
func (*instance) ObserveEnd(string)                            {}
func (*instance) ObserveOrphan(string)                         {}
func (*instance) Preempt(string, int)                          {}
func (*instance) Server(string) (s backend.Server, ok bool)    { return s, false }
func (*instance) Version() (revision int64, digest uint64)     { return 0, 0 }
func (*instance) Current() (*route.Table, int64)               { return &route.Table{Version: 1}, 1 }
func (*instance) Excess(backend.Server, time.Time) (n int)     { return 0 }

func (i *instance) ObserveRefusal(_ string, submittedAt time.Time) {
	i.refusedAt.Store(&submittedAt)
}

func (i *instance) FillHeartbeat(b *gossip.Heartbeat) {
	b.Waiting = gossip.HeartbeatWaiting{}
	if n := int(i.waiting.Load()); n > 0 {
		b.Waiting["jobs"] = n
		b.Progress = gossip.HeartbeatProgress{"jobs": {Remaining: n}}
		b.Refused = []gossip.RefusedJob{{Job: "job", AgeMillis: n}}
	}
}

// transcode returns a heartbeat as another process decodes it.
func (n *network) transcode(b *gossip.Heartbeat) gossip.Heartbeat {
	encoded, err := n.codec.Encode(b)
	if err != nil {
		panic(err)
	}
	c := gossip.Heartbeat{}
	if err := n.codec.Decode(encoded, &c); err != nil {
		panic(err)
	}

	return c
}

func newNetwork() *network {
	return &network{nodes: map[netip.AddrPort]*instance{}, sent: map[string]int{}, tick: heartbeat.RelayInterval}
}

// start adds an instance that regularly gets the address of the first one, as from the store, and no other.
func (n *network) start(name, zone, incarnation string) *instance {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(n.nodes) + 1)}), 7000)
	for a, i := range n.nodes {
		if i.name() == name {
			address = a
		}
	}
	self := gossip.Member{Name: name, Incarnation: incarnation, Zone: zone, Region: "r", Peer: address, Ready: true}
	quiet := slog.New(slog.DiscardHandler)
	i := &instance{
		network: n, cluster: cluster.New(self, time.Now(), quiet), loads: load.New(), parts: quarantine.New(nil, time.Now, quiet),
		heard: map[gossip.Departure]bool{}, failing: map[string]int{}, checked: freshness.New(time.Second),
	}
	i.quota = quota.New(zone, i.cluster, rand.New(rand.NewPCG(uint64(len(n.nodes)), 1)), time.Now().Add(-time.Hour), quiet)
	i.exchanger = heartbeat.New(i.cluster, i.loads, i, i.parts, i.quota, i, i, i, i, i.checkedAt, time.Now, func() bool { return false }, time.Now)
	n.lock.Lock()
	n.nodes[address] = i
	n.lock.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.exchanger.Run(ctx, time.Tick(n.tick))
	}()
	go func() {
		introducedAt := time.Time{}
		for ctx.Err() == nil {
			if time.Since(introducedAt) > 30*time.Second {
				introducedAt = time.Now()
				i.cluster.Introduce([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000")}, introducedAt)
			}
			i.cluster.Expire(time.Now())
			time.Sleep(250 * time.Millisecond)
		}
	}()
	i.stop = func() {
		n.lock.Lock()
		delete(n.nodes, address)
		n.lock.Unlock()
		cancel()
		<-done
	}

	return i
}

const testZones = 6

// fleet starts count instances in six zones.
func (n *network) fleet(count int) []*instance {
	var list []*instance
	for k := range count {
		list = append(list, n.start(fmt.Sprintf("e%02d", k), fmt.Sprint("z", k%testZones), "1"))
	}

	return list
}

// loadedFleet starts a fleet that knows each other, in which each instance has a request on the server "w" and has announced it.
func (n *network) loadedFleet(count int) []*instance {
	list := n.fleet(count)
	time.Sleep(5 * time.Second)
	for _, i := range list {
		i.loads.Add("w", 1, 0)
	}
	time.Sleep(time.Second)

	return list
}

func stopAll(list []*instance) {
	for _, i := range list {
		i.stop()
	}
	time.Sleep(time.Second)
}

// Guards against a number of messages that grows with the square of the number of instances, against instances of a large fleet
// that do not learn of each other, and against counts that reach other zones later than the windows for starting batch items
// allow for.
func TestLargeFleetUsesGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 60
		n := newNetwork()
		list := n.fleet(count)
		defer stopAll(list)
		time.Sleep(3 * time.Second)
		for _, i := range list {
			is.Equal(len(i.cluster.Live()), count)
			is.Equal(len(i.cluster.ServingInstances("", time.Now())), count)
		}
		n.lock.Lock()
		clear(n.sent)
		n.lock.Unlock()
		time.Sleep(10 * time.Second)
		most, total := 0, 0
		n.lock.Lock()
		for _, sent := range n.sent {
			most = max(most, sent)
			total += sent
		}
		n.lock.Unlock()
		// Direct heartbeats to all would be 295 a second for each instance.
		is.True(total/count/10 < 100)
		is.True(most/10 < 220)
		for range 20 {
			list[1].loads.Add("w", 1, 0)
			time.Sleep(225 * time.Millisecond)
			online, _ := list[1].loads.InFlight("w", time.Now())
			for _, i := range list {
				got, _ := i.loads.InFlight("w", time.Now())
				is.Equal(got, online)
			}
		}
		for _, i := range list {
			is.True(!i.cluster.SuspectedSince(time.Now().Add(-10*time.Second), time.Now()))
		}
	})
}

// Guards against heartbeats saturating the links between regions when all processes of a large fleet start at once, as after a
// power failure. Heartbeats were lost there, so that instances stayed unknown and were sent even more of them, and those in
// the region without the store refused requests permanently.
func TestStartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, rounds = 74, 10
		n := newNetwork()
		list := n.fleet(count)
		defer stopAll(list)
		for _, i := range list {
			for a := range n.nodes {
				i.cluster.Introduce([]netip.AddrPort{a}, time.Now())
			}
		}
		time.Sleep(2 * time.Second)
		for _, i := range list {
			is.Equal(len(i.cluster.Live()), count)
		}
		n.lock.Lock()
		defer n.lock.Unlock()
		const firstContacts, direct, sample, gateways = count * count, 600, 2 * count, 2 * testZones * (testZones - 1) * 2
		is.True(n.far < firstContacts+rounds*(direct+sample+gateways))
	})
}

// Guards against instances of large zones that send each regular heartbeat to all others while all are new: that was most of the messages
// of a start, and no instance knew the others sooner.
func TestStartOfLargeZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, rounds = 250, 10
		n := newNetwork()
		n.delay = 2 * time.Millisecond
		list := n.fleet(count)
		defer stopAll(list)
		for _, i := range list {
			for a := range n.nodes {
				i.cluster.Introduce([]netip.AddrPort{a}, time.Now())
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, i := range list {
			is.Equal(len(i.cluster.Live()), count)
		}
		time.Sleep(rounds*200*time.Millisecond - 500*time.Millisecond)
		n.lock.Lock()
		defer n.lock.Unlock()
		total := 0
		for _, sent := range n.sent {
			total += sent
		}
		const firstContacts, direct, sample, gateways, joined = count * count, 600, 2 * count, 2 * count, 4 * count
		const digests, reports = 2 * rounds * count, 2 * rounds * testZones * (testZones - 1) * 2
		const beforeFirstDigest = count * count / testZones // each may send to its whole zone once
		is.True(total < firstContacts+rounds*(direct+sample+gateways+joined)+digests+reports+beforeFirstDigest)
	})
}

// Guards against gateways that relay the heartbeats of all instances all the time, which at 74 instances cost more processor time
// than the requests.
func TestSteadyFleetRelaysFewHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, seconds = 60, 10
		n := newNetwork()
		list := n.fleet(count)
		defer stopAll(list)
		time.Sleep(5 * time.Second)
		n.lock.Lock()
		n.relayed, n.passedOn = 0, 0
		n.lock.Unlock()
		time.Sleep(seconds * time.Second)
		n.lock.Lock()
		defer n.lock.Unlock()
		// Two gateways relay each heartbeat once a second to the other zones, and from there it goes to all instances. With all
		// heartbeats in all messages it would be five times as many.
		is.True(n.relayed > 0)
		is.True(n.relayed < seconds*2*count*count*3/2)
		is.Equal(n.passedOn, 0) // all hear all
	})
}

// Guards against regular heartbeats that come several times more rarely than a process gets processor time, so that others take it for
// silent.
func TestLateTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		n.tick = 600 * time.Millisecond
		list := n.fleet(2) // without a relay
		defer func() { stopAll(list) }()
		time.Sleep(3 * time.Second)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			for _, i := range list {
				is.Equal(len(i.cluster.ServingInstances("", time.Now())), len(list))
			}
		}
	})
}

// Guards against instances that each learn by a request of their own that a backend server leaves: those of a small fleet, of the zone
// and of other zones of a large one, and one that starts later. The same for failures of a server, of which each instance sees few.
func TestDeparturesReachAllInstances(t *testing.T) {
	for _, c := range []struct{ count, zones int }{{6, 2}, {36, 6}, {40, 2}} {
		t.Run(fmt.Sprint(c.count, " in ", c.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				var list []*instance
				for k := range c.count {
					list = append(list, n.start(fmt.Sprintf("e%02d", k), fmt.Sprint("z", k%c.zones), "1"))
				}
				defer func() { stopAll(list) }()
				time.Sleep(3 * time.Second)
				d := gossip.Departure{Server: "w", StartedAt: 7}
				list[1].lock.Lock()
				list[1].departures = []gossip.Departure{d}
				list[1].outcomes = []gossip.Outcomes{{Server: "w", StartedAt: 7, Requests: 3, Failures: 2}}
				list[1].lock.Unlock()
				time.Sleep(600 * time.Millisecond)
				for k, i := range list {
					is.Equal(i.hears(d), k != 1)
					is.Equal(i.failuresOf("w") == 2, k != 1)
				}
				list[1].lock.Lock()
				list[1].outcomes = []gossip.Outcomes{{Server: "w", StartedAt: 7, Requests: 4, Failures: 3}}
				list[1].lock.Unlock()
				time.Sleep(600 * time.Millisecond)
				for k, i := range list {
					is.Equal(i.failuresOf("w") == 3, k != 1) // each further failure
				}
				time.Sleep(5 * time.Second)
				late := n.start("late", "z1", "1")
				list = append(list, late)
				time.Sleep(3 * time.Second)
				is.True(late.hears(d))
			})
		})
	}
}

// Guards against taking over jobs of live instances because the gateways of their zone all fail at once, or because a gateway is
// cut off from other zones but not from its own.
func TestLossOfGateways(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 60
				n := newNetwork()
				list := n.fleet(count)
				defer stopAll(list)
				time.Sleep(3 * time.Second)
				// The gateways of zone z0 are e00 and e06.
				if cut {
					n.lock.Lock()
					n.cut = func(from, to *instance) bool {
						return from == list[0] && to.cluster.Self().Zone != "z0" || to == list[0] && from.cluster.Self().Zone != "z0"
					}
					n.lock.Unlock()
				} else {
					list[0].stop()
					list[6].stop()
				}
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for k, i := range list {
						if k == 0 || k == 6 {
							continue
						}
						for other := range count {
							if other != k && other != 0 && other != 6 {
								if !i.cluster.Alive(fmt.Sprintf("e%02d", other), "1", time.Now()) {
									t.Fatalf("e%02d counts e%02d as gone", k, other)
								}
							}
						}
					}
				}
			})
		})
	}
}

// Guards against a relayed heartbeat of a former process that makes the new one look gone, so that its jobs are taken over.
func TestRestartIsSeenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 30
		n := newNetwork()
		list := n.fleet(count)
		defer func() { stopAll(list) }()
		time.Sleep(3 * time.Second)
		list[7].stop()
		time.Sleep(50 * time.Millisecond)
		list[7] = n.start("e07", "z1", "2")
		seen := map[string]bool{}
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			for _, i := range list {
				if i == list[7] {
					continue
				}
				alive := i.cluster.Alive("e07", "2", time.Now())
				is.True(alive || !seen[i.name()]) // the old process came back
				seen[i.name()] = seen[i.name()] || alive
			}
		}
		is.Equal(len(list[7].cluster.Live()), count)
	})
}

// Guards against regions that do not find each other again after a network partition, of seconds or of longer than addresses are
// kept.
func TestRegionsReconnect(t *testing.T) {
	for _, c := range []struct{ apart, meet time.Duration }{
		{20 * time.Second, 2 * time.Second},
		{5 * time.Minute, 33 * time.Second},
	} {
		t.Run(c.apart.String(), func(t *testing.T) { splitRegions(t, c.apart, c.meet) })
	}
}

func splitRegions(t *testing.T, apart, meet time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 30
		n := newNetwork()
		list := n.fleet(count)
		defer stopAll(list)
		time.Sleep(3 * time.Second)
		north := func(i *instance) bool { return i.cluster.Self().Zone < "z3" }
		n.lock.Lock()
		n.cut = func(from, to *instance) bool { return north(from) != north(to) }
		n.lock.Unlock()
		time.Sleep(apart)
		is.Equal(len(list[0].cluster.Live()), count/2)
		n.lock.Lock()
		n.cut = nil
		n.lock.Unlock()
		time.Sleep(meet)
		for _, i := range list {
			is.Equal(len(i.cluster.Live()), count)
		}
	})
}

// Guards against a new instance that becomes known late because it knows a single instance, in another zone: it would take over
// jobs of live instances, and they its own.
func TestNewcomerIsKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 60
		n := newNetwork()
		list := n.fleet(count)
		defer func() { stopAll(list) }()
		time.Sleep(5 * time.Second)
		list = append(list, n.start("e98", "z2", "1"))
		time.Sleep(1200 * time.Millisecond)
		is.Equal(len(list[count].cluster.Live()), count+1)
		for _, i := range list {
			is.True(i.cluster.Alive("e98", "1", time.Now().Add(time.Hour)))
		}
	})
}

// heartbeatsOf starts count instances in six zones, changes a count at each of them 25 times a second and returns how many messages an
// instance sends in a second, on average and at most.
func heartbeatsOf(t *testing.T, count int) (mean, most int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const seconds = 4
		n := newNetwork()
		list := n.fleet(count)
		defer stopAll(list)
		time.Sleep(5 * time.Second)
		n.lock.Lock()
		clear(n.sent)
		n.lock.Unlock()
		for k := range seconds * 25 {
			for _, i := range list {
				i.loads.Add("w", 1-k%2*2, 0)
			}
			time.Sleep(40 * time.Millisecond)
		}
		n.lock.Lock()
		defer n.lock.Unlock()
		total := 0
		for _, sent := range n.sent {
			most = max(most, sent/seconds)
			total += sent
		}
		mean = total / count / seconds
	})

	return mean, most
}

// Guards against messages under load that grow with the square of the instances of a zone: at 250 instances, counts sent to all
// instances of the zone took most of the fleet's processor time. Gateways send to their whole zone, ten times a second.
func TestLoadedFleetSendsFewMessages(t *testing.T) {
	is := is.New(t)
	mean, most := heartbeatsOf(t, 250)
	is.True(mean <= 50) // sending to all 41 others, 25 times a second, would be 1,025, and to the gateways 83
	is.True(most <= 1000)
}

// Guards against counts that reach the instances of a large zone late or wrong, against own requests that are counted twice since a
// digest includes them, and against a lost gateway that leaves them stale for long.
func TestDigestsContainCountsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 120
		n := newNetwork()
		list := n.fleet(count)
		defer func() { stopAll(list) }()
		time.Sleep(5 * time.Second)
		expect := func(online int, within time.Duration, lost ...int) {
			t.Helper()
			time.Sleep(within)
			for k, i := range list {
				if got, _ := i.loads.InFlight("w", time.Now()); got != online && !slices.Contains(lost, k) {
					t.Fatalf("instance %d counts %d requests, not %d", k, got, online)
				}
			}
		}
		online := 0
		for round := range 20 {
			for _, k := range []int{round, round + 6, 119 - round} {
				list[k].loads.Add("w", 1, 0)
				online++
			}
			expect(online, 350*time.Millisecond)
		}
		// The gateways of zone z2 are e02 and e08.
		list[2].stop()
		list[8].stop()
		list[80].loads.Add("w", 1, 0)
		list[81].loads.Add("w", 1, 0)
		lostRequests, _ := list[2].loads.InFlight("w", time.Now())
		is.True(lostRequests > 0)
		time.Sleep(4 * time.Second)
		for k, i := range list {
			if k != 2 && k != 8 {
				is.Equal(len(i.cluster.Live()), count-2)
			}
		}
		want, _ := list[0].loads.InFlight("w", time.Now())
		expect(want, 0, 2, 8)
		list[80].loads.Add("w", 1, 0)
		expect(want+1, 350*time.Millisecond, 2, 8)
	})
}

// Guards against counts that wait for a digest and miss it, so that they reach the rest of a large zone later than if they had been sent
// at once.
func TestCountsReachZoneWithNextDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		n.delay = 2 * time.Millisecond
		list := n.fleet(120)
		defer stopAll(list)
		time.Sleep(5 * time.Second)
		const zone = 2
		for online := 1; online <= 40; online++ {
			list[testZones*10+zone].loads.Add("w", 1, 0)
			time.Sleep(130 * time.Millisecond)
			for k := zone; k < len(list); k += testZones {
				got, _ := list[k].loads.InFlight("w", time.Now())
				is.Equal(got, online)
			}
			time.Sleep(time.Duration(7*online) * time.Millisecond)
		}
	})
}

// Guards against instances of a large zone that count each other as silent, and are no longer offered to callers, when both of
// their gateways are lost at once.
func TestLostGatewaysSilenceNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 120
		n := newNetwork()
		list := n.fleet(count)
		defer func() { stopAll(list) }()
		time.Sleep(5 * time.Second)
		list[2].stop()
		list[8].stop()
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			for k := 14; k < count; k += 6 { // the rest of zone z2
				serving := list[k].cluster.ServingInstances("z2", time.Now())
				if len(serving) < count/6-2 {
					t.Fatalf("e%02d offers %d instances of its zone", k, len(serving))
				}
			}
		}
	})
}

// Guards against an instance of a large zone that hears no other one any more from the first job of its zone on, and takes over the jobs
// of all others.
func TestFirstJobOfLargeZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		n.codec = messagecodec.New(1 << 20)
		n.delay = 20 * time.Millisecond // a digest does not include what was sent shortly before it
		list := []*instance{}
		defer func() { stopAll(list) }()
		for k := range 20 {
			list = append(list, n.start(fmt.Sprintf("e%02d", k), "z", "1"))
		}
		time.Sleep(5 * time.Second)
		for _, i := range list {
			i.waiting.Store(1000) // the zone has no other job
			time.Sleep(time.Second)
			i.waiting.Store(0)
			time.Sleep(1037 * time.Millisecond)
		}
		for _, i := range list {
			i.waiting.Store(1000)
		}
		time.Sleep(5 * time.Second)
		for _, i := range list {
			is.Equal(len(i.cluster.Live()), len(list))
			is.True(!i.cluster.Isolated())
			is.Equal(i.cluster.Waiting("jobs", time.Now()), 1000*(len(list)-1))
		}
	})
}

// Guards against two instances of a large zone that both take themselves for a gateway, never learn of each other and take each
// other's jobs over.
func TestGatewayLearnsOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		gateway := n.start("e01", "z", "1")
		defer stopAll([]*instance{gateway})
		member := func(k int) gossip.Heartbeat {
			return gossip.Heartbeat{
				Sender:   gossip.Member{Name: fmt.Sprintf("e%02d", k), Incarnation: "1", Zone: "z", Region: "r"},
				Sequence: int(time.Now().UnixMilli()),
			}
		}
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			for k := range 20 {
				b := member(k + 3)
				b.Counts = []gossip.Count{{Server: "w", Online: 1}}
				gateway.exchanger.HandleHeartbeat(&b)
			}
		}
		other := member(0)
		for _, k := range []int{2, 3} {
			other.Relayed = append(other.Relayed, gossip.RelayedHeartbeat{Beat: member(k)})
			other.Relayed[len(other.Relayed)-1].Beat.Sequence += 50
		}
		gateway.exchanger.HandleHeartbeat(&other)
		is.Equal(len(gateway.cluster.Live()), 23)
		time.Sleep(20 * time.Millisecond)
		b := member(3) // its counts are not older than what was relayed
		b.Counts = []gossip.Count{{Server: "w", Online: 2}}
		gateway.exchanger.HandleHeartbeat(&b)
		online, _ := gateway.loads.InFlight("w", time.Now())
		is.Equal(online, 21)
	})
}

// Guards against digests and reports without the counts of most instances, from the moment on at which their maker no longer hears
// anybody, whether it is a gateway or takes itself for one since all others are silent.
func TestCountsWhileInstanceStopsHearing(t *testing.T) {
	for _, isolated := range []int{2, 8, 14} { // e02 and e08 are the gateways of zone z2
		t.Run(fmt.Sprint(isolated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 120
				n := newNetwork()
				list := n.loadedFleet(count)
				defer func() { stopAll(list) }()
				n.lock.Lock()
				n.cut = func(_, to *instance) bool { return to == list[isolated] }
				n.lock.Unlock()
				for step := range 300 {
					time.Sleep(20 * time.Millisecond)
					for k, i := range list {
						if got, _ := i.loads.InFlight("w", time.Now()); k != isolated && got < count-2 {
							t.Fatalf("instance %d counts %d requests, not %d, %d ms later", k, got, count, 20*step)
						}
					}
				}
			})
		})
	}
}

// Guards against digests and reports of an instance that becomes a gateway and has not heard the counts of its zone yet: after each loss
// of a gateway all instances took the servers of the zone for free.
func TestCountsWhenGatewayIsLost(t *testing.T) {
	for _, lost := range [][]int{{2}, {8}, {2, 8}} { // the gateways of zone z2
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 120
				n := newNetwork()
				list := n.loadedFleet(count)
				defer func() { stopAll(list) }()
				for _, k := range lost {
					list[k].stop()
				}
				for step := range 150 {
					time.Sleep(20 * time.Millisecond)
					for k, i := range list {
						// A gateway counts what it has heard itself, which takes a round of heartbeats after it has become one.
						_, _, gateway := i.cluster.GatewayRank(time.Now())
						got, _ := i.loads.InFlight("w", time.Now())
						if !gateway && !slices.Contains(lost, k) && got < count-len(lost) {
							t.Fatalf("instance %d counts %d requests, not %d, %d ms later", k, got, count, 20*step)
						}
					}
				}
			})
		})
	}
}

// Guards against an instance of a large zone that hears nobody and sends digests with its own counts only: the others then take
// servers for free that are full, fill them with batch items and preempt these again.
func TestIsolatedInstanceLeavesCountsOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, isolated = 120, 14 // no gateway of its zone
		n := newNetwork()
		list := n.loadedFleet(count)
		defer func() { stopAll(list) }()
		n.lock.Lock()
		n.cut = func(_, to *instance) bool { return to == list[isolated] }
		n.lock.Unlock()
		time.Sleep(4 * time.Second) // the instance notices that it is isolated
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			for k, i := range list {
				if got, _ := i.loads.InFlight("w", time.Now()); k != isolated && got < count-2 {
					t.Fatalf("instance %d counts %d requests, not %d", k, got, count)
				}
			}
		}
	})
}

// Guards against estimates of a part of the fleet only, and against a refused job whose bound begins anew at another instance of its
// zone: progress has to reach all instances, in zones with and without digests.
func TestProgressReachesAllInstances(t *testing.T) {
	for _, size := range []int{4, 20} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork()
			n.codec = messagecodec.New(1 << 20)
			var list []*instance
			for k := range 2 * size {
				list = append(list, n.start(fmt.Sprintf("e%02d", k), fmt.Sprint("z", k%2), "1"))
			}
			time.Sleep(5 * time.Second)
			for _, i := range list {
				i.waiting.Store(1000)
			}
			time.Sleep(5 * time.Second)
			for _, i := range list {
				sum, complete := i.cluster.Progress(time.Now())
				is.True(complete)
				is.Equal(sum["jobs"].Remaining, 1000*(len(list)-1))
				age := time.Since(*i.refusedAt.Load())
				is.True(age >= time.Second && age < 4*time.Second) // a second, and the time since the last heartbeat that was relayed
			}
			stopAll(list)
		})
	}
}

// Guards against uses of a request quota that do not reach all instances of all zones within a second, directly, by reports or by digests,
// and against uses that are counted twice.
func TestQuotaUsesReachAllInstances(t *testing.T) {
	for _, count := range []int{8, 60, 120} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				n.codec = messagecodec.New(1 << 20)
				n.delay = 2 * time.Millisecond
				list := n.fleet(count)
				defer stopAll(list)
				time.Sleep(4 * time.Second)
				const each = 4
				limit := ratelimit.Limit{RatePerSecond: float64(each*count) / 60, Window: time.Minute}
				for _, i := range list {
					for range each {
						_, err := i.quota.Take("w", limit, time.Now())
						is.NoErr(err)
					}
				}
				time.Sleep(time.Second)
				for _, i := range list {
					_, err := i.quota.Take("w", limit, time.Now())
					is.True(err != nil)
				}
				limit.Burst = 2 // the recent demand has passed by then
				time.Sleep(time.Second)
				for k, i := range list {
					refund, err := i.quota.Take("w", limit, time.Now())
					if err != nil {
						t.Fatalf("e%02d: %v", k, err)
					}
					refund()
				}
			})
		})
	}
}
