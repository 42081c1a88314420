package quota

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/core/ratelimit"
)

const (
	testStep = 5 * time.Millisecond
	// heartbeatInterval and relayInterval are those of core/heartbeat; messageDelay covers busy machines.
	heartbeatInterval = 40 * time.Millisecond
	relayInterval     = 100 * time.Millisecond
	messageDelay      = 50 * time.Millisecond
	testZones         = 6
)

// member is an instance of a simulated fleet.
type member struct {
	fleet *testFleet
	name  string
	zone  int
	quota *Quota
	// group is the part of the network that the instance is in; dead instances neither send nor receive.
	group  int
	dead   bool
	sent   []gossip.QuotaUse
	sentAt time.Time
}

func (m *member) Members() int { return len(m.fleet.members) }

func (m *member) Gone(peer string) bool { return m.fleet.gone[peer] }

func (*member) ZoneGone(string) bool { return false }

// message is delivered by deliver at a time.
type message struct {
	at      time.Time
	deliver func()
}

// testFleet simulates instances that exchange their uses as core/heartbeat does it: heartbeats in the zone, reports between zones, which
// gateways relay. In a fleet with digests the gateways also send the sums over their own zone.
type testFleet struct {
	random   *rand.Rand
	at       time.Time
	members  []*member
	gone     map[string]bool
	digests  bool
	messages []message
	// loads are the workspaces, with the times of their admitted requests.
	loads []*testLoad
}

// testLoad is the demand of one workspace and what became of it.
type testLoad struct {
	name  string
	limit ratelimit.Limit
	rate  func(at time.Duration) float64
	// pending are the asked requests; admitted those that ran.
	admitted []time.Time
	// ideal are the requests that a limiter with exact counts would admit.
	ideal                 []time.Time
	firstIdeal            int
	asked, refused, wrong int
	first                 int
}

var testEpoch = time.Unix(1_000_000, 0)

func newFleet(seed uint64, count int, digests bool) *testFleet {
	f := &testFleet{
		random:  rand.New(rand.NewPCG(seed, 1)),
		at:      testEpoch,
		gone:    map[string]bool{},
		digests: digests,
	}
	for n := range count {
		m := &member{fleet: f, name: fmt.Sprint("e", n), zone: n % testZones}
		f.members = append(f.members, m)
		m.start(testEpoch.Add(-time.Hour))
	}

	return f
}

func (m *member) start(at time.Time) {
	m.quota = New(fmt.Sprint(m.zone), m, rand.New(rand.NewPCG(m.fleet.random.Uint64(), 2)), at, slog.New(slog.DiscardHandler))
	m.dead = false
}

func (f *testFleet) elapsed() time.Duration { return f.at.Sub(testEpoch) }

func (f *testFleet) zone(n int) (list []*member) {
	for _, m := range f.members {
		if m.zone == n && !m.dead {
			list = append(list, m)
		}
	}

	return list
}

// send delivers after the delay what a member sends to another one, unless they are separated.
func (f *testFleet) send(from, to *member, deliver func(m *member)) {
	if from == to || from.group != to.group || from.dead {
		return
	}
	q := to.quota
	f.messages = append(f.messages, message{at: f.at.Add(messageDelay), deliver: func() {
		if !to.dead && to.quota == q {
			deliver(to)
		}
	}})
}

func (f *testFleet) exchange() {
	step := int(f.elapsed() / testStep)
	for n, m := range f.members {
		if m.dead || (step+7*n)%int(heartbeatInterval/testStep) != 0 {
			continue
		}
		var b gossip.Heartbeat
		m.quota.FillHeartbeat(&b, f.at)
		m.sent, m.sentAt = b.Quotas, f.at
		at := f.at
		for i, to := range f.zone(m.zone) {
			if !f.digests || i == 0 {
				f.send(m, to, func(to *member) { to.quota.Observe(m.name, fmt.Sprint(m.zone), b.Quotas, at) })
			}
		}
	}
	for z := range testZones {
		if (step+3*z)%int(relayInterval/testStep) != 0 {
			continue
		}
		// A separated part of a zone has a gateway of its own.
		seen := map[int]bool{}
		for _, g := range f.zone(z) {
			if seen[g.group] {
				continue
			}
			seen[g.group] = true
			f.report(g)
		}
	}
}

func (f *testFleet) report(g *member) {
	uses, at, zone := g.quota.ZoneUses(f.at), f.at, fmt.Sprint(g.zone)
	if f.digests {
		for _, to := range f.zone(g.zone) {
			if own, sentAt := to.sent, to.sentAt; at.Sub(sentAt) >= 0 {
				f.send(g, to, func(to *member) { to.quota.ObserveDigest(uses, own, at) })
			}
		}
	}
	for z := range testZones {
		if z == g.zone {
			continue
		}
		for _, far := range f.zone(z) {
			if far.group != g.group {
				continue
			}
			f.send(g, far, func(far *member) {
				far.quota.ObserveZone(zone, uses, at)
				for _, to := range f.zone(far.zone) {
					// A gateway relays what it received with its next report.
					late := f.at.Add(relayInterval / 2)
					if q := to.quota; to != far && to.group == far.group {
						f.messages = append(f.messages, message{at: late.Add(messageDelay), deliver: func() {
							if !to.dead && to.quota == q {
								to.quota.ObserveZone(zone, uses, at)
							}
						}})
					}
				}
			})

			break
		}
	}
}

func (f *testFleet) run(span time.Duration) {
	for end := f.at.Add(span); f.at.Before(end); f.at = f.at.Add(testStep) {
		due := f.messages
		f.messages = nil
		for _, m := range due {
			if m.at.After(f.at) {
				f.messages = append(f.messages, m)
			} else {
				m.deliver()
			}
		}
		f.exchange()
		for _, l := range f.loads {
			for range f.poisson(l.rate(f.elapsed()) * testStep.Seconds()) {
				f.ask(l)
			}
		}
	}
}

func (f *testFleet) poisson(mean float64) (n int) {
	for p := f.random.Float64(); p > math.Exp(-mean); n++ {
		p *= f.random.Float64()
	}

	return n
}

func (f *testFleet) ask(l *testLoad) {
	m := f.members[f.random.IntN(len(f.members))]
	if m.dead {
		return
	}
	l.asked++
	for l.first < len(l.admitted) && f.at.Sub(l.admitted[l.first]) >= l.limit.Window {
		l.first++
	}
	for l.firstIdeal < len(l.ideal) && f.at.Sub(l.ideal[l.firstIdeal]) >= l.limit.Window {
		l.firstIdeal++
	}
	if float64(len(l.ideal)-l.firstIdeal+1) <= l.limit.Requests() {
		l.ideal = append(l.ideal, f.at)
	}
	_, err := m.quota.Take(l.name, l.limit, f.at)
	if err == nil {
		l.admitted = append(l.admitted, f.at)

		return
	}
	if fault.CodeOf(err) != fault.CodeQuotaExceeded {
		panic(err)
	}
	l.refused++
	if float64(len(l.admitted)-l.first) < l.limit.Requests() {
		l.wrong++
	}
}

// most returns the largest number of admitted requests in a window that begins after a time.
func (l *testLoad) most(from time.Time) (most int) {
	first, _ := slices.BinarySearchFunc(l.admitted, from, time.Time.Compare)
	for i, j := first, first; j < len(l.admitted); j++ {
		for l.admitted[j].Sub(l.admitted[i]) >= l.limit.Window {
			i++
		}
		most = max(most, j-i+1)
	}

	return most
}

// check reports the figures and fails if the bound was exceeded.
func (l *testLoad) check(t *testing.T, from time.Time) {
	t.Helper()
	total := l.limit.Requests()
	most := l.most(from)
	t.Logf("%s: limit %.0f, bound %.0f, most in a window %d (%.2f of the limit), asked %d, refused %d, below the limit %d (%.2f %%), short of an exact limiter %.2f %%",
		l.name, total, total+l.limit.Tolerance(), most, float64(most)/total, l.asked, l.refused, l.wrong, 100*float64(l.wrong)/float64(max(1, l.asked)), 100-100*float64(len(l.admitted))/float64(len(l.ideal)))
	if float64(most) > total+l.limit.Tolerance() {
		t.Errorf("%s: %d requests in a window, more than %.0f", l.name, most, total+l.limit.Tolerance())
	}
}

// waves returns a demand in square waves of 0.4 to 1.9 times a mean.
func waves(mean float64, period time.Duration) func(time.Duration) float64 {
	// The high part is as long as it takes for the mean.
	return func(at time.Duration) float64 {
		if float64(at%period) < 0.4*float64(period) {
			return 1.9 * mean
		}

		return 0.4 * mean
	}
}

func surge(rate func(time.Duration) float64, from time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < from+6*time.Second {
			return 7 * rate(at)
		}

		return rate(at)
	}
}

// standardLoads returns workspaces of different sizes in waves, of which the limits are 1.6 times the mean.
func standardLoads(window time.Duration, change func(func(time.Duration) float64) func(time.Duration) float64) (list []*testLoad) {
	for n, rate := range []float64{5, 20, 80, 300} {
		demand := waves(rate/1.6, 2400*time.Millisecond+time.Duration(n)*300*time.Millisecond)
		list = append(list, &testLoad{
			name:  fmt.Sprint("limit ", rate),
			limit: ratelimit.Limit{RatePerSecond: rate, Burst: int(rate / 2), Window: window, Overage: 0.1, Slack: 20},
			rate:  change(demand),
		})
	}

	return list
}

func unchanged(r func(time.Duration) float64) func(time.Duration) float64 { return r }

func triple(r func(time.Duration) float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 3 * r(at) }
}

func surging(r func(time.Duration) float64) func(time.Duration) float64 {
	return surge(r, 12*time.Second)
}

// Guards against requests beyond the bound while demand changes faster than reports arrive, and against refusals while demand is below the
// limit, or much below it when more is asked for.
func TestFleetKeepsLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(func(time.Duration) float64) func(time.Duration) float64
		// wrong is the largest part of the requests refused below the limit, short how much less than an exact limiter may be admitted.
		wrong, short float64
	}{
		{"steady waves", unchanged, 0.02, 0.02},
		{"three times the demand", triple, 1, 0.08},
		{"surge", surging, 1, 0.08},
	} {
		for _, window := range []time.Duration{5 * time.Second, 10 * time.Second} {
			for _, digests := range []bool{false, true} {
				t.Run(fmt.Sprint(c.name, ", ", window, ", digests ", digests), func(t *testing.T) {
					f := newFleet(1, 50, digests)
					f.loads = standardLoads(window, c.change)
					f.run(30 * time.Second)
					asked, wrong, admitted, ideal := 0, 0, 0, 0
					for _, l := range f.loads {
						l.check(t, testEpoch)
						asked, wrong, admitted, ideal = asked+l.asked, wrong+l.wrong, admitted+len(l.admitted), ideal+len(l.ideal)
					}
					if float64(wrong) > c.wrong*float64(asked) {
						t.Errorf("%d of %d requests refused below the limit", wrong, asked)
					}
					if float64(admitted) < (1-c.short)*float64(ideal) {
						t.Errorf("%d requests admitted, an exact limiter would have admitted %d", admitted, ideal)
					}
				})
			}
		}
	}
}

// Guards against requests beyond the bound when instances are lost, cut off or start, each under three times the usual demand, and against
// a share that is never used again.
func TestFleetKeepsLimitInFailure(t *testing.T) {
	const window, steady = 5 * time.Second, 12 * time.Second
	for _, c := range []struct {
		name string
		fail func(f *testFleet)
		// after is the least part of the limit that is used after two windows.
		after float64
	}{
		{"instances lost", func(f *testFleet) {
			for _, m := range f.members[:10] {
				m.dead, f.gone[m.name] = true, true
			}
		}, 0.9},
		{"one cut off", func(f *testFleet) { f.members[7].group = 1 }, 0.8},
		{"two halves", func(f *testFleet) {
			for _, m := range f.members[25:] {
				m.group = 1
			}
		}, 0.8},
		{"zones apart", func(f *testFleet) {
			for _, m := range f.members {
				m.group = m.zone / 3
			}
		}, 0.8},
		{"all cut off", func(f *testFleet) {
			for n, m := range f.members {
				m.group = n
			}
		}, 0.7},
		{"one started", func(f *testFleet) { f.members[7].start(f.at) }, 0.9},
		{"all restarted", func(f *testFleet) {
			for _, m := range f.members {
				m.start(f.at)
			}
		}, 0.9},
		{"lower limit", func(f *testFleet) {
			for _, l := range f.loads {
				l.limit.RatePerSecond, l.limit.Burst = l.limit.RatePerSecond/2, 0
			}
		}, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(2, 50, false)
			f.loads = standardLoads(window, triple)
			f.run(steady)
			failedAt := f.at
			c.fail(f)
			f.run(4 * window)
			for _, l := range f.loads {
				if c.name == "lower limit" {
					l.check(t, failedAt.Add(window))
				} else {
					l.check(t, testEpoch)
				}
				used := float64(l.most(failedAt.Add(2*window))) / l.limit.Requests()
				t.Logf("%s: used %.2f of the limit after the failure", l.name, used)
				if used < c.after {
					t.Errorf("%s: only %.2f of the limit is used after the failure", l.name, used)
				}
			}
		})
	}
}
