package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
)

type fakeLatencyTracker struct {
	slow   map[string]bool
	probes map[string]bool
	first  map[string]time.Duration
}

func (p *fakeLatencyTracker) Straggler(name string, _ time.Time) bool { return p.slow[name] }

func (p *fakeLatencyTracker) Probe(name string, _ time.Time) bool { return p.probes[name] }

func (p *fakeLatencyTracker) FirstToken(name string, _ time.Time) time.Duration { return p.first[name] }

func usableBut(unusable map[string]bool) func(name string, _ time.Time) bool {
	return func(name string, _ time.Time) bool { return !unusable[name] }
}

// fleet has a1 and a2 in the own zone, b1 in another zone of the region and c1 in another region, with 8 slots each.
func fleet() *configuration.Configuration {
	c := &configuration.Configuration{BackendServers: configuration.ConfigurationBackendServers{}}
	for _, n := range []string{"a1", "a2", "b1", "c1"} {
		region := "near"
		if n[0] == 'c' {
			region = "far"
		}
		c.BackendServers[n] = configuration.BackendServer{
			Deployment: "d",
			Region:     region,
			Slots:      8,
			Zone:       n[:1],
		}
	}

	return c
}

// Guards against requests on servers that are unusable, full, slow or needlessly far away.
func TestPick(t *testing.T) {
	cases := []struct {
		name     string
		online   map[string]int
		unusable map[string]bool
		excluded map[string]bool
		slow     map[string]bool
		probes   map[string]bool
		first    map[string]time.Duration
		want     string // the servers that may be picked, empty for none
	}{
		{name: "own zone first", want: "a1 a2"},
		{name: "other zone when the own is full", online: map[string]int{"a1": 8, "a2": 8}, want: "b1"},
		{name: "unusable", unusable: map[string]bool{"a1": true}, want: "a2"},
		{name: "excluded", excluded: map[string]bool{"a2": true}, want: "a1"},
		{name: "straggler", slow: map[string]bool{"a1": true}, want: "a2"},
		{name: "probe", slow: map[string]bool{"b1": true}, probes: map[string]bool{"b1": true}, want: "b1"},
		{
			name: "full stragglers", slow: map[string]bool{"a1": true, "a2": true, "b1": true},
			online: map[string]int{"a1": 8, "a2": 8}, want: "b1",
		},
		{name: "slower first token", first: map[string]time.Duration{"a1": time.Second, "a2": time.Millisecond}, want: "a2"},
		{name: "other region", unusable: map[string]bool{"a1": true, "a2": true, "b1": true}, want: "c1"},
		{name: "full region", online: map[string]int{"a1": 8, "a2": 8, "b1": 8}, want: "c1"},
		{name: "all full", online: map[string]int{"a1": 8, "a2": 8, "b1": 8, "c1": 8}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &fakeLatencyTracker{slow: c.slow, probes: c.probes, first: c.first}
			ro := New("a", "near", usableBut(c.unusable), p, func(n string) int { return c.online[n] },
				func(n string) int { return c.online[n] }, func(time.Time) int { return 1 }, rand.New(rand.NewPCG(1, 2)))
			for range 20 {
				name, ok := ro.Pick(fleet(), &inference.Request{Deployment: "d", MaxTokens: 1}, c.excluded, time.Unix(1, 0))
				is.Equal(ok, c.want != "")
				is.True(ok == (name != ""))
				is.True(name == "" || len(c.want) == 2 && c.want == name || c.want == "a1 a2" && name[0] == 'a')
			}
		})
	}
}

// Guards against instances that each use the whole link between the regions, whether their own region's servers are gone
// or full.
func TestLinkIsSharedByInstances(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		gone      map[string]bool
		online    map[string]int
	}{
		{name: "1 instance", instances: 1, gone: map[string]bool{"a1": true, "a2": true, "b1": true}},
		{name: "3 instances", instances: 3, gone: map[string]bool{"a1": true, "a2": true, "b1": true}},
		{name: "8 instances", instances: 8, gone: map[string]bool{"a1": true, "a2": true, "b1": true}},
		{name: "8 instances, full region", instances: 8, online: map[string]int{"a1": 8, "a2": 8, "b1": 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ro := New("a", "near", usableBut(c.gone), &fakeLatencyTracker{}, func(n string) int { return c.online[n] },
				func(n string) int { return c.online[n] }, func(time.Time) int { return c.instances }, rand.New(rand.NewPCG(1, 2)))
			r := &inference.Request{Deployment: "d", MaxTokens: 100}
			sent := 0.0
			for n := range 10_000 {
				if _, ok := ro.Pick(fleet(), r, nil, time.Unix(1, 0).Add(time.Duration(n)*time.Millisecond)); ok {
					sent += linkCost(r)
				}
			}
			// The test lasts ten seconds, and the budget holds one more second at its start.
			most := 11.0 * linkBytesPerSecond / float64(c.instances)
			is.True(sent <= most+linkCost(r))
			is.True(sent >= 0.9*most)
		})
	}
}

// Guards against a cache hint that outweighs more than one request in flight.
func TestHintIsWorthOneRequest(t *testing.T) {
	for load, want := range map[int]bool{1: true, 2: false} {
		is := is.New(t)
		online := map[string]int{}
		ro := New("a", "near", usableBut(nil), &fakeLatencyTracker{}, func(n string) int { return online[n] },
			func(n string) int { return online[n] }, func(time.Time) int { return 1 }, rand.New(rand.NewPCG(1, 2)))
		r := &inference.Request{Deployment: "d", Prefix: "p"}
		first, _ := ro.Pick(fleet(), r, nil, time.Unix(1, 0))
		online[first] = load
		// With one request on each server, the hint decides for the first one.
		if load == 1 {
			other := map[string]string{"a1": "a2", "a2": "a1"}[first]
			online[other] = 1
		}
		stayed := 0
		for range 20 {
			name, ok := ro.Pick(fleet(), r, nil, time.Unix(1, 0))
			is.True(ok)
			if name != first {
				break
			}
			stayed++
		}
		is.Equal(stayed == 20, want)
	}
}

// Guards against a straggler that attracts requests because the instances that have detected it leave it empty: it would have
// the best score, or be the only server of the zone below half load.
func TestOthersRequestsDoNotAttract(t *testing.T) {
	for _, others := range []int{3, 5} {
		t.Run(strconv.Itoa(others), func(t *testing.T) {
			is := is.New(t)
			all := map[string]int{"a1": 0, "a2": others}
			ro := New("a", "near", usableBut(nil), &fakeLatencyTracker{}, func(n string) int { return all[n] },
				func(string) int { return 0 }, func(time.Time) int { return 1 }, rand.New(rand.NewPCG(1, 2)))
			picked := map[string]int{}
			for range 200 {
				name, ok := ro.Pick(fleet(), &inference.Request{Deployment: "d", MaxTokens: 1}, nil, time.Unix(1, 0))
				is.True(ok)
				picked[name]++
			}
			is.True(picked["a2"] > 50) // about half of 200
		})
	}
}
