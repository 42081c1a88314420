package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
)

// Guards against counts of a lost instance that keep places taken for good, and against own counts that leak.
func TestCounts(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	l.Add("s", 2, 1)
	l.Observe("peer", []gossip.Count{{Server: "s", Online: 3, Batch: 4}}, at)
	online, batch := l.On("s", at)
	is.Equal(online, 5)
	is.Equal(batch, 5)
	l.Observe("peer", nil, at)
	online, batch = l.On("s", at)
	is.Equal(online, 2)
	is.Equal(batch, 1)
	l.Observe("peer", []gossip.Count{{Server: "s", Online: 3}}, at)
	online, _ = l.On("s", at.Add(reportLife+1))
	is.Equal(online, 2)
	l.Add("s", -2, -1)
	is.Equal(len(l.Own()), 0)
	select {
	case <-l.Changed():
	default:
		t.Error("a change was not announced")
	}
}
