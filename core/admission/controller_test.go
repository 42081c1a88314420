package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
	"tarragonwalk/internal/rapidseed"
)

// Guards against batch streams above their limit, online requests that are queued while a slot is free, and entries that
// stay in the tables.
func TestBounds(t *testing.T) {
	rapidseed.Fix(t, "20261204")
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		conf := &configuration.Configuration{}
		c := New(6, 1<<16)
		at := time.Unix(1000, 0)
		pick := func(*inference.Request) (string, bool) { return "w", c.Online("w") < slots }
		queuedPick := func(_ uint64, r *inference.Request) (string, bool) { return pick(r) }
		var online, batch, queued []uint64
		drop := func(ids []uint64) ([]uint64, uint64) {
			i := rapid.IntRange(0, len(ids)-1).Draw(t, "index")

			return append(append([]uint64{}, ids[:i]...), ids[i+1:]...), ids[i]
		}
		for id := uint64(1); id <= 60; id++ {
			var gone uint64
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op <= 1:
				r := &inference.Request{Deployment: "d", Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "ws")}
				r.MaxTokens = rapid.SampledFrom([]int{10, 9000}).Draw(t, "tokens")
				name, err := c.Admit(id, r, conf, pick, at)
				if name != "" {
					online = append(online, id)
				} else if err == nil {
					queued = append(queued, id)
				}
			case op == 2 && len(online) > 0:
				online, gone = drop(online)
				c.End(gone)
			case op == 3 && len(queued) > 0:
				queued, gone = drop(queued)
				c.RemoveQueued(gone)
			case op == 4 && c.StartBatch(id, "w", MaxBatch(slots, 0), at):
				batch = append(batch, id)
			}
			for {
				started, _, ok := c.Next("d", conf, queuedPick)
				if !ok {
					break
				}
				online = append(online, started)
				for i, q := range queued {
					if q == started {
						queued = append(queued[:i], queued[i+1:]...)

						break
					}
				}
			}
			for _, p := range c.Preempt("w", MaxBatch(slots, 0), at) {
				if p != batch[len(batch)-1] {
					t.Fatal("an older batch stream was preempted before a newer one")
				}
				batch = batch[:len(batch)-1]
			}
			if c.Batch("w") > max(0, MaxBatch(slots, 0)-c.Online("w")) || c.Batch("w") != len(batch) {
				t.Fatal("batch streams above the limit")
			}
			if c.Queued() > 0 && c.Online("w") < slots || c.Online("w") != len(online) || c.Queued() != len(queued) {
				t.Fatal("online request queued while a slot is free, or lost")
			}
		}
	})
}

// Guards against a workspace that gets more than its share by weight of a full fleet.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	conf := &configuration.Configuration{Workspaces: configuration.ConfigurationWorkspaces{"a": {Weight: 3}, "b": {Weight: 1}}}
	c := New(200, 1<<20)
	full := func(*inference.Request) (string, bool) { return "", false }
	free := func(uint64, *inference.Request) (string, bool) { return "w", true }
	for id := range uint64(160) {
		_, err := c.Admit(id, &inference.Request{Deployment: "d", Workspace: []string{"a", "b"}[id%2]}, conf, full, time.Time{})
		is.NoErr(err)
	}
	a := 0
	for range 80 {
		id, _, ok := c.Next("d", conf, free)
		is.True(ok)
		if id%2 == 0 {
			a++
		}
	}
	is.True(a >= 58 && a <= 62)
}

// Guards against a headroom that takes all slots, none, or a share other than the deployment's ratio.
func TestMaxBatch(t *testing.T) {
	cases := []struct {
		slots int
		ratio float64
		want  int
	}{
		{slots: 1, ratio: 0, want: 1},
		{slots: 2, ratio: 0, want: 1},
		{slots: 8, ratio: 0, want: 7},
		{slots: 8, ratio: 0.375, want: 5},
		{slots: 8, ratio: 1, want: 0},
		{slots: 16, ratio: 0.01, want: 15},
	}
	for _, c := range cases {
		is.New(t).Equal(MaxBatch(c.slots, c.ratio), c.want)
	}
}
