package isolation

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fleet is a cluster of which only the addresses up to reachable accept connections.
type fleet struct {
	isolatedSince time.Time
	isolated      bool
	reachable     int
	calls         atomic.Int32
	forgotten     bool
	dialTime      time.Duration
	// unexpected is set if nobody would miss this instance.
	unexpected bool
	// asked is the number of questions, askedAt when the last one was asked.
	asked   int
	askedAt time.Time
	// answer returns what the store says.
	answer func() (bool, error)
	// others returns whether another instance was seen there, nil for never.
	others func() (bool, error)
}

func (f *fleet) Answered(context.Context) (bool, error) { return f.answer() }

func (f *fleet) Ask(context.Context) error {
	f.asked++
	f.askedAt = time.Now()

	return nil
}

func (f *fleet) OthersSeen(context.Context) (bool, error) {
	if f.others == nil {
		return false, nil
	}

	return f.others()
}

func (f *fleet) IsolatedSince() (time.Time, bool) { return f.isolatedSince, f.isolated && !f.forgotten }
func (f *fleet) ForgetPeers(time.Time)            { f.forgotten = true }

func (f *fleet) PeerAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for n := range 20 {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1))
	}

	return list
}

func (f *fleet) Expected() bool { return !f.unexpected }

func (f *fleet) Reachable(_ context.Context, a netip.AddrPort) bool {
	f.calls.Add(1)
	time.Sleep(f.dialTime)

	return f.accepts(a)
}

func (f *fleet) accepts(a netip.AddrPort) bool { return int(a.Addr().As4()[3]) >= 20-f.reachable }

// Guards against an instance that takes the jobs of others over because it receives no heartbeats or is cut off from all others but not
// from the store, and against one that never takes over those of lost instances since it is the only one left.
func TestIsolationEndsWhenAlone(t *testing.T) {
	none := func() (bool, error) { return false, nil }
	for _, c := range []struct {
		name      string
		isolated  bool
		reachable int
		answer    func() (bool, error)
		forgotten bool
	}{
		{"not isolated", false, 0, none, false},
		{"one of the others is reachable", true, 1, none, false},
		{"none is reachable", true, 0, none, true},
		{"one answers in the store", true, 0, func() (bool, error) { return true, nil }, false},
		{"the store does not answer", true, 0, func() (bool, error) { return false, errors.New("no response") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fleet{isolatedSince: time.Now(), isolated: c.isolated, reachable: c.reachable, answer: c.answer, unexpected: true}
				ctx, cancel := context.WithCancel(t.Context())
				go New(f, f, f, time.Now, slog.New(slog.DiscardHandler)).Run(ctx)
				time.Sleep(checkAfter - time.Second)
				is.Equal(f.calls.Load(), int32(0))
				time.Sleep(20 * time.Second)
				synctest.Wait()
				is.Equal(f.forgotten, c.forgotten)
				time.Sleep(5 * time.Minute)
				synctest.Wait()
				is.Equal(f.forgotten, c.forgotten)
				cancel()
			})
		})
	}
}

// Guards against an answer that comes while the addresses of the others are tried, which takes long if they do not respond.
func TestAnswerDuringDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{isolatedSince: time.Now(), isolated: true, dialTime: 500 * time.Millisecond}
		f.answer = func() (bool, error) { return f.calls.Load() > 0, nil }
		ctx, cancel := context.WithCancel(t.Context())
		go New(f, f, f, time.Now, slog.New(slog.DiscardHandler)).Run(ctx)
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		is.True(f.calls.Load() > 0)
		is.True(!f.forgotten)
		cancel()
	})
}

// Guards against an instance that hears the others for a moment while their addresses are tried, and counts as the last one all the same.
func TestIsolationEndsDuringDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{isolatedSince: time.Now(), isolated: true, unexpected: true, dialTime: 500 * time.Millisecond}
		f.answer = func() (bool, error) { return false, nil }
		begin := time.Now()
		f.others = func() (bool, error) {
			if time.Since(begin) < time.Minute {
				f.isolatedSince = time.Now() // isolated again
			}

			return false, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go New(f, f, f, time.Now, slog.New(slog.DiscardHandler)).Run(ctx)
		time.Sleep(70 * time.Second)
		synctest.Wait()
		is.True(!f.forgotten)
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		is.True(f.forgotten)
		cancel()
	})
}

// Guards against an instance that waits for most of a minute though the others would have answered long before, and against one that does not
// wait for others that do not miss it, accept connections or answer.
func TestExpectedInstanceWaitsForLess(t *testing.T) {
	none := func() (bool, error) { return false, nil }
	for _, c := range []struct {
		name   string
		fleet  *fleet
		answer func() (bool, error)
		// after is when the instance counts as the last one, zero for never.
		after time.Duration
	}{
		{"nobody answers", &fleet{}, none, answerTime},
		{"one accepts connections", &fleet{reachable: 1}, none, 0},
		{"nobody would miss it", &fleet{unexpected: true}, none, unexpectedAnswerTime},
		{"one answers in the store", &fleet{}, func() (bool, error) { return true, nil }, 0},
		{"the store does not answer", &fleet{}, func() (bool, error) { return false, errors.New("no response") }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := c.fleet
				f.isolatedSince, f.isolated, f.answer = time.Now(), true, c.answer
				go New(f, f, f, time.Now, slog.New(slog.DiscardHandler)).Run(t.Context())
				time.Sleep(c.after)
				synctest.Wait()
				is.True(!f.forgotten)
				time.Sleep(2*interval + time.Second)
				synctest.Wait()
				is.Equal(f.forgotten, c.after > 0)
				time.Sleep(2 * time.Minute)
				synctest.Wait()
				is.Equal(f.forgotten, c.after > 0)
			})
		})
	}
}

// Guards against an instance that counts as the last one though another one answers its questions, later than most look for them.
func TestAnswersHaveToStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{isolatedSince: time.Now(), isolated: true}
		f.answer = func() (bool, error) { return time.Since(f.askedAt) >= answerTime-firstInterval, nil }
		go New(f, f, f, time.Now, slog.New(slog.DiscardHandler)).Run(t.Context())
		time.Sleep(20 * answerTime)
		synctest.Wait()
		is.True(!f.forgotten)
		is.True(f.asked > 5)
		is.True(f.asked <= int(20*answerTime/(answerTime-firstInterval+interval))+1)
	})
}
