package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

func progress(remaining int) gossip.HeartbeatProgress {
	return gossip.HeartbeatProgress{"r": {Remaining: remaining, Queued: remaining, Events: remaining}}
}

// Guards against counting work both from an instance and from the report on its zone, against counting the own part of a digest, and
// against taking a sum for complete that lacks an instance.
func TestProgressIsCountedOnce(t *testing.T) {
	for _, c := range []struct {
		name             string
		reports, digests bool
		after            time.Duration
		want             int
		complete         bool
	}{
		{"heartbeats only", false, false, 0, 7, true},
		{"heartbeats too old", false, false, gossip.ReportLife + 1, 7, false},
		{"report", true, false, 0, 13, true},
		{"digest", true, true, 0, 17, true},
		{"all too old", true, true, gossip.ReportLife + 1, 7, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			cl.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: 1, Progress: progress(2)}, start)
			cl.Observe(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1, Progress: progress(5)}, start)
			if c.reports {
				cl.ObserveReport(&gossip.Report{Zone: "b", Progress: gossip.ReportProgress(progress(8))}, start)
			}
			if c.digests {
				cl.ObserveDigest(&gossip.Report{Zone: "a", Progress: gossip.ReportProgress(progress(10))}, &gossip.Heartbeat{Progress: progress(1)}, start)
			}
			sum, complete := cl.Progress(start.Add(c.after))
			is.Equal(complete, c.complete)
			is.Equal(sum["r"], progress(c.want)["r"])
			r, _ := cl.Report(&gossip.Heartbeat{Sender: cl.Self(), Progress: progress(1)}, start)
			is.Equal(r.Progress["r"], progress(6)["r"]) // of its own zone
		})
	}
}
