package roster_test

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/load"
	"tarragonwalk/core/placement"
	"tarragonwalk/core/roster"
)

var (
	begin   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	zones   = []string{"a", "b", "c"}
	regions = map[string]string{"a": "r", "b": "r", "c": "r"}
	// failed and refused are a server's own failure, and its refusal.
	failed  = fault.New(fault.CodeBackendFailed, "500")
	refused = fault.New(fault.CodeOverloaded, "refused")
	reset   = fault.Wrap(syscall.ECONNRESET, fault.CodeOutcomeUnknown, "reset")
	// detect may be switched off to measure the load without ejection.
	detect = flag.Bool("detect", true, "eject servers")
)

// blind is a roster that ignores all outcomes, as before ejection.
type blind struct{ *roster.Roster }

func (b blind) UsableForItems(service string, at time.Time) []backend.Server {
	return b.Usable(service, at)
}
func (blind) Probes(string, time.Time) []backend.Server                 { return nil }
func (blind) RecordAttempt(backend.Server, error, time.Time, time.Time) {}

type members struct{}

func (members) MayStartBatch(string, string, bool, time.Time) bool { return true }
func (members) UsesDigests() bool                                  { return true }

// held holds requests in virtual time.
type held struct {
	*load.Table
	trial *trial
}

func (h held) Hold(server string, d time.Duration) {
	h.Add(server, 1, 0)
	h.trial.after(d, func() { h.Add(server, -1, 0) })
}

type list interface {
	Usable(service string, at time.Time) []backend.Server
	UsableForItems(service string, at time.Time) []backend.Server
	Probes(service string, at time.Time) []backend.Server
	BeginProbe(s backend.Server, at time.Time)
	RecordAttempt(s backend.Server, err error, progressAt, at time.Time)
}

type chooser struct {
	name, zone string
	loads      *load.Table
	roster     *roster.Roster
	list       list
	placer     *placement.Placer
}

// trial is the load of 58 choosers on 90 servers, in steps of 5 ms of virtual time.
type trial struct {
	random   *rand.Rand
	choosers []*chooser
	servers  []backend.Server
	due      map[int][]func()
	step     int
	// outcome decides how an attempt ends that one of the choosers makes at a time; nil is a success.
	outcome func(c *chooser, server int, poison bool, at time.Duration) error
	// poison is the share of requests that fail wherever they run.
	poison float64

	sent             map[string]int
	requests, failed int
	items, givenUp   int
	probes           int
}

const stepTime = 5 * time.Millisecond

func newTrial(detect bool, outcome func(c *chooser, server int, poison bool, at time.Duration) error) *trial {
	t := &trial{
		random:  rand.New(rand.NewPCG(1, 2)),
		due:     map[int][]func(){},
		outcome: outcome,
		sent:    map[string]int{},
	}
	for n := range 90 {
		t.servers = append(t.servers, backend.Server{ID: fmt.Sprint("s", n), Service: "s", Zone: zones[n%3], Slots: 8, StartedAt: 1})
	}
	for n := range 58 {
		c := &chooser{name: fmt.Sprint("e", n), zone: zones[n%3], loads: load.New()}
		c.roster = roster.New(c.name, c.zone, held{c.loads, t}, slog.New(slog.DiscardHandler))
		c.roster.Observe(t.servers, 1, false, begin)
		c.list = c.roster
		if !detect {
			c.list = blind{c.roster}
		}
		c.placer = placement.New(c.name, c.zone, regions, c.list, c.loads, members{}, rand.New(rand.NewPCG(uint64(n), 3)))
		t.choosers = append(t.choosers, c)
	}

	return t
}

func (t *trial) at() time.Duration { return time.Duration(t.step) * stepTime }
func (t *trial) now() time.Time    { return begin.Add(t.at()) }

func (t *trial) after(d time.Duration, do func()) {
	n := t.step + max(1, int(d/stepTime))
	t.due[n] = append(t.due[n], do)
}

// run makes 450 requests and 60 items a second; counts and outcomes of each chooser reach the others each 200 ms, 50 to 250 ms old.
func (t *trial) run(until time.Duration) {
	for ; t.at() < until; t.step++ {
		for _, do := range t.due[t.step] {
			do()
		}
		delete(t.due, t.step)
		for n, c := range t.choosers {
			if (t.step+n)%40 == 0 {
				t.exchange(c)
			}
		}
		for _, rate := range []float64{450, 60} {
			for expected := rate * stepTime.Seconds(); expected > 0; expected-- {
				if t.random.Float64() >= expected {
					continue
				}
				c := t.choosers[t.random.IntN(len(t.choosers))]
				if rate == 60 {
					t.items++
					t.item(c, 0)
				} else {
					t.requests++
					t.request(c, map[string]bool{}, t.random.Float64() < t.poison, 0)
				}
			}
		}
	}
}

func (t *trial) exchange(c *chooser) {
	counts, outcomes, at := c.loads.OwnCounts(), c.roster.Outcomes(t.now()), t.now()
	t.after(50*time.Millisecond, func() {
		for _, other := range t.choosers {
			if other == c {
				continue
			}
			zone := c.zone
			if zone == other.zone {
				zone = ""
			}
			other.loads.Observe(c.name, zone, counts, at)
			other.roster.ObserveOutcomes(outcomes, c.name, c.zone, at)
		}
	})
}

// attempt runs something on a server and calls end with the outcome.
func (t *trial) attempt(c *chooser, s backend.Server, release func(), poison bool, end func(err error)) {
	t.sent[s.ID]++
	var n int
	fmt.Sscanf(s.ID, "s%d", &n)
	sentAt, err := t.now(), t.outcome(c, n, poison, t.at())
	took := 2 * time.Millisecond
	if err == nil {
		took = 400*time.Millisecond + time.Duration(t.random.IntN(800))*time.Millisecond
	}
	t.after(took, func() {
		release()
		c.list.RecordAttempt(s, err, sentAt, t.now())
		end(err)
	})
}

func (t *trial) request(c *chooser, tried map[string]bool, poison bool, attempts int) {
	s, release, ok := backend.Server{}, func() {}, false
	if attempts == 0 {
		s, release, ok = c.placer.Probe("s", tried, t.now())
		if ok {
			t.probes++
		}
	}
	if !ok {
		s, release, ok = c.placer.Online("s", tried, 1.25, t.now())
	}
	if !ok {
		t.failed++

		return
	}
	tried[s.ID] = true
	t.attempt(c, s, release, poison, func(err error) {
		limit := 2
		if fault.NotRun(err) {
			limit = 4
		}
		switch {
		case err == nil:
		case attempts+1 < limit:
			t.request(c, tried, poison, attempts+1)
		default:
			t.failed++
		}
	})
}

func (t *trial) item(c *chooser, failures int) {
	s, release, ok := c.placer.Batch("s", false, false, t.now())
	if !ok {
		t.after(200*time.Millisecond, func() { t.item(c, failures) })

		return
	}
	t.attempt(c, s, release, false, func(err error) {
		switch {
		case err == nil:
			return
		case !fault.NotRun(err):
			failures++
		}
		if failures >= 3 {
			t.givenUp++

			return
		}
		t.after(200*time.Millisecond, func() { t.item(c, failures) })
	})
}

// out returns how many servers a chooser has left out on average: for requests, and for items.
func (t *trial) out() (requests, items float64) {
	for _, c := range t.choosers {
		requests += float64(len(t.servers) - len(c.roster.Usable("s", t.now())))
		items += float64(len(t.servers) - len(c.roster.UsableForItems("s", t.now())))
	}

	return requests / float64(len(t.choosers)), items / float64(len(t.choosers))
}

// share returns the requests to the first ten servers, in times of their part of all, and the busiest server's, in times of the mean.
func (t *trial) share() (failing, busiest float64) {
	total, first, most := 0, 0, 0
	for n, s := range t.servers {
		total += t.sent[s.ID]
		most = max(most, t.sent[s.ID])
		if n < 10 {
			first += t.sent[s.ID]
		}
	}
	mean := float64(total) / float64(len(t.servers))

	return float64(first) / 10 / mean, float64(most) / mean
}

// failFor lets the first ten servers fail in a share of their attempts from 2 to 6 s.
func failFor(err error, share float64) func(*chooser, int, bool, time.Duration) error {
	random := rand.New(rand.NewPCG(5, 6))

	return func(_ *chooser, server int, poison bool, at time.Duration) error {
		if server < 10 && at >= 2*time.Second && at < 6*time.Second && random.Float64() < share || poison {
			return err
		}

		return nil
	}
}

// Guards against servers that fail fast, have few requests in flight and so get more requests and items than others, and against servers
// that stay out for long after they have recovered.
func TestServersThatFailFast(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		share float64
		// failed and busiest are the allowed failed requests, and requests of the busiest server in times of the mean.
		failed  int
		busiest float64
	}{
		{"own failures, some", failed, 0.4, 10, 2.5},
		{"own failures, all", failed, 1, 60, 2.5},
		{"refusals", refused, 1, 10, 2.5},
		{"resets", reset, 1, 60, 2.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTrial(*detect, failFor(c.err, c.share))
			f.run(2 * time.Second)
			f.sent = map[string]int{}
			f.run(6 * time.Second)
			failing, busiest := f.share()
			bad, _ := f.out()
			f.run(11 * time.Second)
			after, _ := f.out()
			t.Logf("load of the failing servers %.2f, busiest %.2f, failed %d of %d, given up %d of %d, probes %d, failing servers out %.1f, 5 s later %.1f",
				failing, busiest, f.failed, f.requests, f.givenUp, f.items, f.probes, bad, after)
			is.True(busiest <= c.busiest)
			is.True(failing <= 1.7)
			is.True(f.failed <= c.failed)
			is.True(f.givenUp <= 3)
			is.True(bad >= 9)
			is.True(after <= 3)
		})
	}
}

// Guards against sound servers that are left out because of a fault elsewhere, such as one caller, one path, one zone or all servers.
func TestNoFalseEjections(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	during := func(at time.Duration) bool { return at >= 2*time.Second && at < 5*time.Second }
	for _, c := range []struct {
		name    string
		poison  float64
		outcome func(c *chooser, server int, poison bool, at time.Duration) error
		// most is the allowed mean number of the 90 servers that an instance leaves out. When all fail in a part of their attempts, some fail
		// far more often than others by chance.
		most float64
	}{
		{"all reset connections", 0, func(_ *chooser, _ int, _ bool, at time.Duration) error {
			if during(at) && random.Float64() < 0.5 {
				return reset
			}

			return nil
		}, 5},
		{"all fail", 0, func(_ *chooser, _ int, _ bool, at time.Duration) error {
			if during(at) {
				return failed
			}

			return nil
		}, 5},
		{"all refuse", 0, func(_ *chooser, _ int, _ bool, at time.Duration) error {
			if during(at) && random.Float64() < 0.7 {
				return refused
			}

			return nil
		}, 5},
		{"requests that fail everywhere", 0.1, func(_ *chooser, _ int, poison bool, _ time.Duration) error {
			if poison {
				return failed
			}

			return nil
		}, 5},
		{"the path of one instance", 0, func(c *chooser, server int, _ bool, at time.Duration) error {
			if during(at) && c.name == "e0" && server < 30 {
				return reset
			}

			return nil
		}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTrial(true, c.outcome)
			f.poison = c.poison
			most, mostItems := 0.0, 0.0
			for f.at() < 6*time.Second {
				f.run(f.at() + 100*time.Millisecond)
				out, items := f.out()
				most, mostItems = max(most, out), max(mostItems, items)
			}
			t.Logf("left out at most %.2f, for items %.2f, given up %d", most, mostItems, f.givenUp)
			is.New(t).True(most <= c.most)
		})
	}
}

// Guards against a crash wave whose servers are left out in their next incarnation, for the failures of the former one.
func TestCrashWave(t *testing.T) {
	is := is.New(t)
	f := newTrial(true, func(_ *chooser, server int, _ bool, at time.Duration) error {
		if server < 40 && at >= 2*time.Second && at < 2300*time.Millisecond {
			return reset
		}

		return nil
	})
	f.run(2300 * time.Millisecond)
	during, _ := f.out()
	for n := range 40 {
		f.servers[n].StartedAt = 2
	}
	for _, c := range f.choosers {
		c.roster.Observe(f.servers, 2, false, f.now())
	}
	most := 0.0
	for f.at() < 5*time.Second {
		out, _ := f.out()
		most = max(most, out)
		f.run(f.at() + 100*time.Millisecond)
	}
	t.Logf("left out %.2f before the restart, at most %.2f afterwards", during, most)
	is.True(most <= 1)
}

// Guards against servers that flap and get most requests each time, since they are sound while they are probed.
func TestServersThatFlap(t *testing.T) {
	is := is.New(t)
	f := newTrial(*detect, func(_ *chooser, server int, _ bool, at time.Duration) error {
		if server < 10 && at >= 2*time.Second && at%time.Second < 500*time.Millisecond {
			return failed
		}

		return nil
	})
	f.run(2 * time.Second)
	f.sent = map[string]int{}
	f.run(10 * time.Second)
	failing, busiest := f.share()
	t.Logf("load of the failing servers %.2f, busiest %.2f, failed %d of %d, given up %d of %d, probes %d", failing, busiest, f.failed, f.requests,
		f.givenUp, f.items, f.probes)
	is.True(failing <= 1.3)
	is.True(f.failed <= 60)
}
