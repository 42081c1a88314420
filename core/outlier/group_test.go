package outlier

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newGroup returns a group of servers s0, s1 and so on, each with some successes just before start.
func newGroup(servers, successes int) *Group {
	g := New("s", "e", "a", slog.New(slog.DiscardHandler))
	for n := range servers {
		id := fmt.Sprint("s", n)
		g.Add(id)
		for range successes {
			g.Record(id, false, start)
		}
	}

	return g
}

func fail(g *Group, server string, times int, at time.Time) {
	for range times {
		g.Record(server, true, at)
	}
}

// settle judges until an ejection is confirmed and returns the ejected servers.
func settle(g *Group, at time.Time) (ejected []string, end time.Time) {
	for range 4 {
		at = at.Add(judgeInterval)
		for _, c := range g.judge(at) {
			if c.ejected {
				ejected = append(ejected, c.server)
			}
		}
	}

	return ejected, at
}

// probe makes requests that may be probes for a time, with the given outcome, and returns the number of probes and the first return.
func probe(g *Group, failed bool, from, until time.Time) (probes int, returned time.Time) {
	for at := from; at.Before(until); at = at.Add(20 * time.Millisecond) {
		if id, ok := g.Probe(at); ok {
			probes++
			g.BeginProbe(id, at)
			g.Record(id, failed, at.Add(10*time.Millisecond))
		}
		for _, c := range g.judge(at.Add(15 * time.Millisecond)) {
			if !c.ejected {
				return probes, at
			}
		}
	}

	return probes, time.Time{}
}

// Guards against an ejected server that gets requests before its pause is over, many probes while it fails, or all requests at once, or none
// for long, after it has recovered, and against a server that flaps and comes back as soon as before.
func TestHalfOpen(t *testing.T) {
	is := is.New(t)
	g := newGroup(6, 4)
	fail(g, "s0", 4, start)
	ejected, at := settle(g, start)
	is.Equal(ejected, []string{"s0"})
	is.True(!g.MayServe("s0", at))
	is.True(!g.MayServeItems("s0", at))
	early, _ := probe(g, true, at, start.Add(firstPause))
	is.Equal(early, 0)
	probes, returned := probe(g, true, at, at.Add(6*time.Second))
	is.True(returned.IsZero())
	is.True(probes >= 1 && probes <= 4)
	at = at.Add(6 * time.Second)
	probes, returned = probe(g, false, at, at.Add(8*time.Second))
	is.Equal(probes, ownSuccesses)
	is.True(returned.Sub(at) <= 6*time.Second)
	served := 0
	for n := range 20 {
		if g.MayServe("s0", returned.Add(time.Duration(n)*10*time.Millisecond)) {
			served++
		}
	}
	is.True(served >= 1 && served <= 4) // a tenth at first
	is.True(!g.MayServeItems("s0", returned.Add(rampTime/2)))
	is.True(g.MayServe("s0", returned.Add(rampTime)))
	at = returned.Add(rampTime / 2)
	for n := range 10 {
		g.Record(fmt.Sprint("s", 1+n%5), false, at)
	}
	fail(g, "s0", relapseFailures, at)
	ejected, _ = settle(g, at)
	is.Equal(ejected, []string{"s0"})
	is.True(g.members["s0"].pause > firstPause)
}

// Guards against an ejected server of a service without requests that can be repeated, which would never return.
func TestReturnWithoutProbes(t *testing.T) {
	is := is.New(t)
	g := newGroup(4, 4)
	fail(g, "s0", 4, start)
	_, at := settle(g, start)
	is.Equal(len(g.judge(at.Add(quietTime/2))), 0)
	is.Equal(g.judge(at.Add(quietTime))[0].cause, "no failure known")
}

// Guards against a service that is left without servers, and against the better ones that are ejected in place of the worst.
func TestPartOfServers(t *testing.T) {
	for _, c := range []struct {
		servers int
		// failures of the servers, from the first on, besides 6 successes of each.
		failures []int
		ejected  []string
	}{
		{1, []int{9}, nil},
		{2, []int{9}, []string{"s0"}},
		{2, []int{9, 9}, nil},
		{3, []int{9, 9, 9}, nil},
		{6, []int{5, 9}, []string{"s1", "s0"}},
		{6, []int{1}, nil},
		{6, []int{9, 9, 9, 9}, nil}, // the fault is elsewhere
	} {
		t.Run(fmt.Sprint(c.servers, c.failures), func(t *testing.T) {
			is := is.New(t)
			g := newGroup(c.servers, 6)
			for n, failures := range c.failures {
				fail(g, fmt.Sprint("s", n), failures, start)
			}
			ejected, _ := settle(g, start)
			is.Equal(ejected, c.ejected)
		})
	}
}

// Guards against a server that is ejected everywhere for the broken path of one instance, or here for a fault that only another zone sees, and
// against one that stays in use although several instances see it fail.
func TestEvidenceOfOthers(t *testing.T) {
	type told struct {
		zone               string
		requests, failures int
	}
	for _, c := range []struct {
		name string
		// own are the own successes at the server.
		own     int
		told    []told
		ejected bool
	}{
		{"one instance", 0, []told{{"a", 50, 50}}, false},
		{"one instance, and one failure of another", 0, []told{{"a", 50, 50}, {"a", 1, 1}}, false},
		{"several instances", 0, []told{{"a", 2, 2}, {"a", 1, 1}, {"b", 1, 1}}, true},
		{"several instances, but it works here", 5, []told{{"a", 2, 2}, {"a", 1, 1}, {"b", 1, 1}}, false},
		{"several instances, most succeed", 0, []told{{"a", 2, 2}, {"a", 1, 1}, {"b", 1, 1}, {"b", 30, 0}}, false},
		{"another zone, but it works in this one", 0, []told{{"b", 6, 6}, {"b", 6, 6}, {"a", 6, 0}, {"a", 6, 0}}, false},
		{"this zone only", 0, []told{{"a", 3, 3}, {"a", 3, 3}, {"b", 30, 0}}, true},
		{"nonsense", 0, []told{{"a", 1, 9}, {"a", -1, 3}, {"a", 1 << 40, 1 << 40}, {"b", 1 << 40, 1 << 40}, {"b", 2, -2}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(9, 0)
			for n := range 9 {
				g.Record(fmt.Sprint("s", n), false, start.Add(-windowLife))
			}
			for n := range 8 {
				g.Record(fmt.Sprint("s", n+1), false, start)
			}
			for range c.own {
				g.Record("s0", false, start)
			}
			for n, r := range c.told {
				g.Hear(fmt.Sprint("e", n), r.zone, []gossip.Outcomes{{Server: "s0", Requests: r.requests, Failures: r.failures, FailedMillis: 1}}, start)
			}
			ejected, _ := settle(g, start)
			is.Equal(len(ejected) == 1, c.ejected)
			later := start.Add(3 * windowLife)
			g.judge(later)
			is.Equal(len(g.Reports(later)), 0) // nothing is told for ever
		})
	}
}
