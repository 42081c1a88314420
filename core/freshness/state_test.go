package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const bound = 4750 * time.Millisecond

// start is a reading of the boot clock.
var start = time.Unix(1000, 0)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// Guards against a configuration that counts as fresh without evidence, by evidence for another version, or for longer than the bound.
func TestFresh(t *testing.T) {
	for _, c := range []struct {
		name   string
		record func(s *State)
		// until is the last millisecond at which the configuration is fresh, -1 if it never is.
		until int
	}{
		{"just started", func(*State) {}, -1},
		{"cut off alone after a read", func(s *State) { s.RecordRead(7, 7, start) }, 4750},
		{"read of stale state", func(s *State) { s.RecordRead(6, 7, start) }, -1},
		{"read that was not applied", func(s *State) { s.RecordRead(8, 7, start) }, -1},
		{"hears the same version", func(s *State) { s.RecordPeer("e2", 7, 7, time.Second, start, start) }, 3700},
		{"hears an older version", func(s *State) { s.RecordPeer("e2", 6, 7, time.Second, start, start) }, 3700},
		{"hears a newer version", func(s *State) { s.RecordPeer("e2", 8, 7, 0, start, start) }, -1},
		{"hears one without a check", func(s *State) { s.RecordPeer("e2", 7, 7, -time.Millisecond, start, start) }, -1},
		{"hears one without a configuration", func(s *State) { s.RecordPeer("e2", 0, 7, 0, start, start) }, -1},
		{"older evidence later", func(s *State) {
			s.RecordRead(7, 7, start)
			s.RecordRead(7, 7, after(-3000))
			s.RecordPeer("e2", 7, 7, 2*time.Second, start, start)
		}, 4750},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(bound)
			c.record(s)
			is.Equal(s.Fresh(after(0)), c.until >= 0)
			is.Equal(s.Fresh(after(c.until)), c.until >= 0)
			is.True(!s.Fresh(after(c.until + 1)))
		})
	}
}

// Guards against evidence that arrived before or during a pause of the process, or of its machine, and looks as if it was new. The clock
// of the tests goes on meanwhile, as the boot clock does.
func TestFrozen(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  int
		before bool
	}{
		{"3 s", 3000, true},
		{"6 s", 6000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(bound)
			s.RecordRead(7, 7, start)
			s.MarkActive(start)
			end := after(c.pause)
			is.Equal(s.Fresh(end), c.before)
			// A heartbeat that waited in the socket is as old as the time at which the socket was last empty.
			s.RecordPeer("e2", 7, 7, 0, after(10), end)
			// One that the machine's network held arrives after the pause.
			s.RecordPeer("e2", 7, 7, 0, end, end.Add(50*time.Millisecond))
			is.Equal(s.Fresh(end.Add(60*time.Millisecond)), c.before)
			is.True(!s.Fresh(after(4761)) || c.pause > 4761)
			later := end.Add(settleTime)
			is.True(s.RecordPeer("e2", 7, 7, 0, later, later))
			is.True(s.Fresh(later))
		})
	}
}

// Guards against a clock that is read before the evidence, such as one that was set back, and makes old state look fresh for longer.
func TestClockBehindEvidence(t *testing.T) {
	is := is.New(t)
	s := New(bound)
	s.RecordRead(7, 7, start)
	is.True(!s.Fresh(after(-1)))
	is.True(!s.RecordPeer("e2", 7, 7, 0, after(1), start)) // arrived after it was received
}
