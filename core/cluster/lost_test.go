package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against jobs past the limit of waiting tokens, accepted while the jobs of a lost process are counted by nobody, and against
// refusals of jobs that fit since tokens are counted for the lost process and for those that have taken its jobs over.
func TestWaitingTokensOfLostProcess(t *testing.T) {
	const taken = 60
	for _, c := range []struct {
		name    string
		restart bool
	}{
		{"gone", false},
		{"replaced", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			sequence, at := 0, start
			taker := gossip.Heartbeat{Sender: member(2, "2-1"), Waiting: gossip.HeartbeatWaiting{"r": 7}}
			pass := func(d time.Duration) {
				for end := at.Add(d); at.Before(end); {
					at = at.Add(100 * time.Millisecond)
					sequence++
					taker.Sequence = sequence
					cl.Observe(&taker, at)
					cl.Expire(at)
				}
			}
			pass(100 * time.Millisecond)
			cl.Observe(&gossip.Heartbeat{Sender: member(1, "1-1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 100}}, at)
			pass(goneAfter + 200*time.Millisecond)
			is.True(!cl.Alive("e1", "1-1", at))
			is.Equal(cl.Waiting("r", at), 107) // not taken over yet
			if c.restart {
				cl.Observe(&gossip.Heartbeat{Sender: member(1, "1-2"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 3}}, at)
				is.Equal(cl.Waiting("r", at), 110)
				taker.Waiting["r"] -= 3
			}
			taker.Waiting["r"] += taken
			taker.TakenOver = []gossip.TakenOver{{Incarnation: "1-1", Waiting: map[string]int{"r": taken}}}
			pass(time.Second)
			is.Equal(cl.Waiting("r", at), 107) // as before, though announced repeatedly
			cl.RecordTakeover("1-1", "r", 30, at)
			is.Equal(cl.Waiting("r", at), 77) // the rest is this instance's own
			is.Equal(cl.Takeovers(at), []gossip.TakenOver{{Incarnation: "1-1", Waiting: map[string]int{"r": 30}}})
			cl.RecordTakeover("1-1", "r", 25, at)
			is.Equal(cl.Waiting("r", at), 67) // items that the process had finished wait again
			taker.TakenOver = nil
			pass(lostLife + goneAfter + time.Second)
			is.Equal(cl.Waiting("r", at), taker.Waiting["r"])
			is.Equal(len(cl.Takeovers(at)), 0)
			is.Equal(len(cl.taken)+len(cl.replaced), 0)
		})
	}
}

// Guards against tokens of a lost process that count for ever although its jobs have ended, so that jobs that fit are refused.
func TestTokensThatNobodyTakesOver(t *testing.T) {
	for _, incarnation := range []string{"1-1", "1-2"} {
		t.Run(incarnation, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			cl.Observe(&gossip.Heartbeat{Sender: member(1, "1-1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 100}}, start)
			cl.Observe(&gossip.Heartbeat{Sender: member(1, incarnation), Sequence: 2, Waiting: gossip.HeartbeatWaiting{}}, start)
			at := start
			for n := 1; at.Sub(start) <= lostLife; n++ {
				cl.Observe(&gossip.Heartbeat{Sender: member(2, "2-1"), Sequence: n}, at)
				cl.Expire(at)
				at = at.Add(pauseLimit / 2)
			}
			is.Equal(cl.Waiting("r", at), 0)
		})
	}
}

// Guards against refusals of jobs that fit since a rest of a lost process, whose other jobs were taken over, goes on counting.
func TestRestAfterTakeover(t *testing.T) {
	is := is.New(t)
	cl := newCluster(0)
	cl.Observe(&gossip.Heartbeat{Sender: member(1, "1-1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 100}}, start)
	cl.Observe(&gossip.Heartbeat{Sender: member(1, "1-2"), Sequence: 1}, start)
	at := start.Add(time.Second)
	cl.RecordTakeover("1-1", "r", 60, at)
	is.Equal(cl.Waiting("r", at.Add(takeoverLife)), 40)
	is.Equal(cl.Waiting("r", at.Add(takeoverLife+1)), 0)
}

// Guards against tokens that are subtracted from an instance which was counted as gone by others only, after it has given its jobs up.
func TestTakeoverFromLiveProcess(t *testing.T) {
	is := is.New(t)
	cl := newCluster(0)
	beat := func(n, sequence, tokens int, taken []gossip.TakenOver, at time.Time) {
		cl.Observe(&gossip.Heartbeat{Sender: member(n, fmt.Sprint(n)), Sequence: sequence, Waiting: gossip.HeartbeatWaiting{"r": tokens}, TakenOver: taken}, at)
	}
	taken := []gossip.TakenOver{{Incarnation: "1", Waiting: map[string]int{"r": 60}}}
	beat(1, 1, 100, nil, start)
	beat(2, 1, 60, taken, start.Add(time.Millisecond))
	is.Equal(cl.Waiting("r", start.Add(time.Millisecond)), 100)
	beat(1, 2, 40, nil, start.Add(2*time.Millisecond))
	beat(2, 2, 60, taken, start.Add(3*time.Millisecond))
	is.Equal(cl.Waiting("r", start.Add(3*time.Millisecond)), 100)
}

// Guards against a report on a zone without the jobs of its silent and lost instances, by which all other zones accept jobs past the
// limit.
func TestReportCountsLostProcess(t *testing.T) {
	is := is.New(t)
	cl := newCluster(0)
	cl.Observe(&gossip.Heartbeat{Sender: member(2, "2-1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 100}}, start)
	cl.Observe(&gossip.Heartbeat{Sender: member(1, "1-1"), Sequence: 1, Waiting: gossip.HeartbeatWaiting{"r": 5}}, start) // in another zone
	own := gossip.Heartbeat{Sender: cl.Self(), Waiting: gossip.HeartbeatWaiting{"r": 1}}
	waiting := func(at time.Time) gossip.ReportWaiting {
		r, _ := cl.Report(&own, at)

		return r.Waiting
	}
	at := start.Add(silentAfter + 1)
	is.Equal(waiting(at), gossip.ReportWaiting{"r": 101})
	cl.Observe(&gossip.Heartbeat{Sender: member(2, "2-2"), Sequence: 1}, at)
	is.Equal(waiting(at), gossip.ReportWaiting{"r": 101})
	cl.Observe(&gossip.Heartbeat{
		Sender: member(1, "1-1"), Sequence: 2, Waiting: gossip.HeartbeatWaiting{"r": 95},
		TakenOver: []gossip.TakenOver{{Incarnation: "2-1", Waiting: map[string]int{"r": 90}}},
	}, at.Add(1))
	is.Equal(waiting(at.Add(1)), gossip.ReportWaiting{"r": 11})
	is.Equal(waiting(at.Add(lostLife+2)), gossip.ReportWaiting{"r": 1})
}
