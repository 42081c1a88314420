package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against an instance that goes on answering from memory, and takes jobs over, although another one counts it as gone and takes its
// jobs over.
func TestUnheardInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at, sequence := start, 0
	pass := func(d, age time.Duration, incarnation string, heard ...int) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(200 * time.Millisecond)
			sequence++
			for _, n := range heard {
				b := &gossip.Heartbeat{Sender: member(n, "1"), Sequence: sequence}
				if n == 1 && age > 0 {
					b.Silent = []gossip.SilentProcess{{Name: "e0", Incarnation: incarnation, AgeMillis: int(age.Milliseconds())}}
				}
				c.Observe(b, at)
			}
			c.Expire(at)
		}
	}
	suspects := func() bool { return c.SuspectedSince(at.Add(-1), at) }
	pass(5*time.Second, 0, "", 1, 2)
	is.True(!suspects() && !c.Unheard())
	pass(time.Second, time.Second, "1", 1, 2) // it may still be heard through others
	is.True(!suspects() && !c.Unheard())
	pass(time.Second, time.Hour, "0", 1, 2) // a former process
	is.True(!suspects() && !c.Unheard())
	pass(20*time.Second, goneAfter, "1", 1, 2)
	is.True(suspects() && c.Unheard())
	pass(unheardLife/2, 0, "", 1, 2) // it may name others in turn
	is.True(suspects() && c.Unheard())
	pass(unheardLife, 0, "", 1, 2)
	is.True(!suspects() && !c.Unheard())
	pass(200*time.Millisecond, goneAfter, "1", 1, 2)
	is.True(c.Unheard())
	pass(goneAfter+time.Second, 0, "", 2) // the other one is lost
	is.True(!c.Unheard())
}

// Guards against answers about silent instances without bound, from instances that do not hear them themselves, or with the state of a
// former process.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	const others = 200
	for n := 1; n <= others; n++ {
		c.Observe(&gossip.Heartbeat{Sender: member(n, "1"), Sequence: 1, Counts: []gossip.Count{{Server: "w"}}}, start)
	}
	c.ObservePassedOn(&gossip.Heartbeat{Sender: member(others+1, "1"), Sequence: 1}, start)
	ask := func(asker, process int, incarnation string, age, after time.Duration) (passedOn int, own bool) {
		b := &gossip.Heartbeat{Sender: member(asker, "1"), Silent: []gossip.SilentProcess{
			{Name: member(process, "1").Name, Incarnation: incarnation, AgeMillis: int(age.Milliseconds())},
		}}
		list, own := c.Answers(b, start.Add(after))

		return len(list), own
	}
	count := func(process int, incarnation string, age, after time.Duration) (sum int) {
		for asker := 1; asker <= others; asker++ {
			n, _ := ask(asker, process, incarnation, age, after)
			sum += n
		}

		return sum
	}
	is.Equal(count(others+1, "1", goneAfter, 0), 0)
	is.Equal(count(others, "0", goneAfter, 0), 0)
	is.Equal(count(others, "1", goneAfter, askAfter+time.Millisecond), 0)
	is.True(count(others, "1", askAfter, 0) < 10) // another instance of the 200 answers
	is.Equal(count(others, "1", goneAfter, answerPause+time.Millisecond), maxAnswered)
	n, own := ask(1, 0, "1", askAfter, 5*answerPause)
	is.True(n == 0 && own)
	_, own = ask(1, 0, "1", askAfter, 5*answerPause+answerPause/2)
	is.True(!own)
	_, own = ask(1, 0, "0", askAfter, 10*answerPause)
	is.True(!own)
}

// Guards against calls to an instance that only others reach, and against a lost instance that stays alive because others repeat its last
// heartbeat.
func TestPassedOnHeartbeat(t *testing.T) {
	is := is.New(t)
	c := newCluster(0)
	at := start
	for sequence := 1; at.Before(start.Add(20 * time.Second)); sequence++ {
		at = at.Add(200 * time.Millisecond)
		c.Observe(&gossip.Heartbeat{Sender: member(1, "1"), Sequence: sequence}, at)
		if lostAt := start.Add(15 * time.Second); at.Before(lostAt) {
			c.ObservePassedOn(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: sequence}, at)
		} else {
			c.ObservePassedOn(&gossip.Heartbeat{Sender: member(2, "1"), Sequence: 1}, lostAt)
		}
		c.Expire(at)
		_, reached := c.Holder("e2", "1")
		is.True(!reached || at.Before(start.Add(goneAfter+time.Second)))
		is.Equal(c.Alive("e2", "1", at), !at.After(start.Add(18*time.Second)))
		is.True(len(c.Silent(0, at)) > 0 || at.Before(start.Add(2*askAfter))) // the others are still asked
	}
}

// Guards against an instance of another zone that does not learn that it counts as gone, and against the names of lost instances in all
// heartbeats between zones.
func TestContradictionIsRelayed(t *testing.T) {
	for _, c := range []struct {
		name    string
		silent  string
		age     time.Duration
		relayed bool
	}{
		{"heard by the gateway", "e4", goneAfter, true},
		{"the gateway", "e0", goneAfter, true},
		{"lost", "e6", goneAfter, false},
		{"silent briefly", "e4", askAfter, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(0)
			b := &gossip.Heartbeat{Sender: member(2, "1"), Silent: []gossip.SilentProcess{{Name: c.silent, Incarnation: "1", AgeMillis: int(c.age.Milliseconds())}}}
			for k := range 10 {
				at := start.Add(time.Duration(k) * 100 * time.Millisecond)
				b.Sequence++
				cl.Observe(b, at)
				cl.Observe(&gossip.Heartbeat{Sender: member(4, "1"), Sequence: b.Sequence}, at)
				_, relayed := cl.Report(&gossip.Heartbeat{Sender: member(0, "1"), Sequence: b.Sequence}, at)
				found := false
				for _, r := range relayed {
					found = found || len(r.Beat.Silent) > 0
				}
				is.Equal(found, c.relayed)
			}
		})
	}
}
