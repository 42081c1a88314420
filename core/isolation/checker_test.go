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
	// answer returns what the store says.
	answer func() (bool, error)
	// others returns whether another instance was seen there, nil for never.
	others func() (bool, error)
}

func (*fleet) Ask(context.Context) error                { return nil }
func (f *fleet) Answered(context.Context) (bool, error) { return f.answer() }
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

func (f *fleet) Reachable(_ context.Context, a netip.AddrPort) bool {
	f.calls.Add(1)
	time.Sleep(f.dialTime)

	return int(a.Addr().As4()[3]) >= 20-f.reachable
}

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
				f := &fleet{isolatedSince: time.Now(), isolated: c.isolated, reachable: c.reachable, answer: c.answer}
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
		f := &fleet{isolatedSince: time.Now(), isolated: true, dialTime: 500 * time.Millisecond}
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
