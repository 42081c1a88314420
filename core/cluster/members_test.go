package cluster

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against the share of a silent instance, which may run behind a partition, being used by others before it is forgotten.
func TestGone(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	c := New(member(0, "1"), at, slog.New(slog.DiscardHandler))
	for n := range 4 {
		c.Observe(&gossip.Heartbeat{Sender: member(n+1, "1"), Sequence: 1}, at)
	}
	is.Equal(c.Members(), 5)
	left := gossip.Heartbeat{Sender: member(1, "1"), Sequence: 2}
	left.Sender.Leaving = true
	c.Observe(&left, at)
	for s := range 10 {
		c.Expire(at.Add(time.Duration(s) * 500 * time.Millisecond))
		c.Observe(&gossip.Heartbeat{Sender: member(4, "1"), Sequence: s + 2}, at.Add(time.Duration(s)*500*time.Millisecond))
	}
	is.True(c.Gone(member(1, "1").Name))
	is.True(!c.Gone(member(2, "1").Name))
	is.True(!c.Gone(member(4, "1").Name))
	is.True(c.Gone("never heard of"))
}
