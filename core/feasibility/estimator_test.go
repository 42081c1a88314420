package feasibility

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against refusing jobs on an estimate that is not known, stale or low for a moment only: items queue with 18 s of work ahead at
// 100 events a second.
func TestCompletion(t *testing.T) {
	busy := gossip.BatchProgress{Remaining: 1700, Queued: 5, Events: 600}
	slow := gossip.BatchProgress{Remaining: 1700, Queued: 5, Events: 100}
	free := gossip.BatchProgress{Remaining: 1700, Events: 100}
	type observation struct {
		progress   gossip.BatchProgress
		seconds    int
		incomplete bool
	}
	for _, c := range []struct {
		name  string
		seen  []observation
		pause time.Duration
		known bool
		// completion is after the last observation.
		completion time.Duration
	}{
		{name: "nothing observed"},
		{name: "queued for a while", seen: []observation{{progress: busy, seconds: 8}}, known: true, completion: 18 * time.Second},
		{name: "queued for a moment", seen: []observation{{progress: busy, seconds: 5}}},
		{name: "free slots a moment ago", seen: []observation{{progress: busy, seconds: 8}, {progress: free, seconds: 1}, {progress: busy, seconds: 4}}},
		{name: "free slots long ago", seen: []observation{{progress: free, seconds: 8}, {progress: busy, seconds: 7}}, known: true, completion: 18 * time.Second},
		{name: "some instances unknown", seen: []observation{{progress: busy, seconds: 8}, {progress: busy, seconds: 1, incomplete: true}}},
		{name: "all known again", seen: []observation{{progress: busy, seconds: 8}, {progress: busy, seconds: 1, incomplete: true}, {progress: busy, seconds: 4}}},
		{name: "stale", seen: []observation{{progress: busy, seconds: 8}}, pause: 2 * time.Second},
		{name: "servers lost", seen: []observation{{progress: busy, seconds: 8}, {progress: slow, seconds: 10}}, known: true, completion: 18 * time.Second},
		{name: "servers lost for long", seen: []observation{{progress: busy, seconds: 8}, {progress: slow, seconds: 14}}, known: true, completion: 108 * time.Second},
		{name: "nothing done", seen: []observation{{progress: gossip.BatchProgress{Remaining: 1700, Queued: 5}, seconds: 20}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := New()
			at := time.Unix(1000, 0)
			for _, o := range c.seen {
				for range 5 * o.seconds {
					at = at.Add(200 * time.Millisecond)
					e.Observe(map[string]gossip.BatchProgress{"r": o.progress}, !o.incomplete, at)
				}
			}
			at = at.Add(c.pause)
			completion, known := e.Completion("r", 100, at)
			is.Equal(known, c.known)
			if known {
				is.Equal(completion, at.Add(c.completion))
			}
			_, known = e.Completion("other", 100, at)
			is.True(!known)
		})
	}
}
