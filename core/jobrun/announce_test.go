package jobrun

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/jobread"
	"tarragonwalk/core/work"
)

func announced(r *Runner) *gossip.Heartbeat {
	b := &gossip.Heartbeat{}
	r.FillHeartbeat(b)

	return b
}

// Guards against instances that repeat announcements of ended jobs to each other forever, so that heartbeats grow with every job
// that has ever ended. In a large fleet these were most of the bytes between zones and regions.
func TestAnnouncedEndsExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := func() time.Time { return at }
	log := logs.New(f.objects)
	quiet := slog.New(slog.DiscardHandler)
	var runners []*Runner
	for _, name := range []string{"a", "b", "c"} {
		runners = append(runners, New(log, f, f, f, f, f, jobread.New(log, f, nil, quiet, now), name, "1", time.Minute, now, quiet))
	}
	runners[0].StopEnded("j")
	is.Equal(announced(runners[0]).Ended, []string{"j"})
	for at.Before(time.Date(2026, 1, 1, 0, 0, 30, 0, time.UTC)) {
		at = at.Add(200 * time.Millisecond)
		for n, from := range runners {
			for k, to := range runners {
				for _, id := range announced(from).Ended {
					if n != k {
						to.ObserveEnd(id)
					}
				}
			}
		}
	}
	for _, r := range runners {
		is.Equal(len(announced(r).Ended), 0)
		is.Equal(len(r.ended), 0)
	}
}

// Guards against a job that continues at its new holder because its end was announced during the takeover, after the store
// was read.
func TestTakeoverSeesAnnouncedEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 0)
	f.usedSlots = 100 // nothing runs
	first, stopFirst := f.start("e1")
	is.NoErr(first.Submit(t.Context(), &testRoute, work.Job{ID: "j", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("j", 3)))
	stopFirst()
	second, stopSecond := f.start("e2")
	defer stopSecond()
	second.ObserveEnd("j")
	_, err := second.AnnounceOrphans(t.Context())
	is.NoErr(err)
	for end := time.Now().Add(testLimit); !second.holds("j"); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	second.lock.Lock()
	defer second.lock.Unlock()
	is.True(second.jobs["j"].ended)
}
