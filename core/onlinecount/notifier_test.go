package onlinecount

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
)

// fakeFleet records the counts sent and replies that other instances have one request in flight.
type fakeFleet struct {
	lock     sync.Mutex
	size     int
	sent     []message.OnlineCount
	observed int
	block    chan struct{}
}

func (f *fakeFleet) Online(_ context.Context, _ netip.AddrPort, counts []message.OnlineCount) ([]message.OnlineCount, error) {
	if f.block != nil {
		<-f.block
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sent = append(f.sent, counts...)

	return []message.OnlineCount{{BackendServer: "w1", InFlight: 1}}, nil
}

func (f *fakeFleet) Live(time.Time) []membership.Instance {
	list := []membership.Instance{}
	for n := range f.size {
		list = append(list, membership.Instance{
			Name:        fmt.Sprintf("entry-%d", n),
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n)),
		})
	}

	return list
}

func (f *fakeFleet) ObserveAnswer(string, []message.OnlineCount, []message.OnlineCount, time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.observed++
}

func (f *fakeFleet) OnlineCounts(receiver string, _ time.Time) []message.OnlineCount {
	if receiver != "entry-1" {
		return nil
	}

	return []message.OnlineCount{{BackendServer: "w1", InFlight: 2}}
}

// Guards against a message for each request of a burst, and against ignoring the replies.
func TestBurstCostsFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFleet{size: 2, block: make(chan struct{})}
		n := New(f, f, f, time.Now, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		go n.Run(ctx)
		for count := range 100 {
			n.Notify("entry-1", message.OnlineCount{BackendServer: "w1", InFlight: count + 1})
		}
		synctest.Wait()
		close(f.block)
		synctest.Wait()
		is.True(len(f.sent) <= 2)
		is.Equal(f.sent[len(f.sent)-1].InFlight, 100) // the last count is not lost
		is.Equal(f.observed, len(f.sent))
		stop()
	})
}

// silent is a fleet of which one instance does not answer.
type silent struct {
	*fakeFleet
	address netip.AddrPort
}

func (s *silent) Online(ctx context.Context, a netip.AddrPort, counts []message.OnlineCount) ([]message.OnlineCount, error) {
	if a == s.address {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	return s.fakeFleet.Online(ctx, a, counts)
}

// Guards against a batch owner that does not answer and delays the counts for the others.
func TestSilentBatchOwnerDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &silent{
			fakeFleet: &fakeFleet{size: 3},
			address:   netip.MustParseAddrPort("127.0.0.1:2"),
		}
		n := New(f, f, f, time.Now, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { n.Run(ctx) })
		n.Notify("entry-2", message.OnlineCount{BackendServer: "w2", InFlight: 1})
		synctest.Wait()
		for count := range 3 {
			n.Notify("entry-1", message.OnlineCount{BackendServer: "w1", InFlight: count + 1})
			synctest.Wait()
			is.Equal(len(f.sent), count+1)
		}
		stop()
		running.Wait()
	})
}

// Guards against the batch owner dropping the counts of long streams in a large fleet, and against needless repeats in a
// small one.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		want int
	}{
		{name: "small fleet", size: 8, want: 0},
		{name: "large fleet", size: 40, want: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeFleet{size: c.size}
				n := New(f, f, f, time.Now, slog.New(slog.DiscardHandler))
				ctx, stop := context.WithCancel(t.Context())
				go n.Run(ctx)
				time.Sleep(2*repeatInterval + time.Millisecond)
				synctest.Wait()
				is.Equal(len(f.sent), c.want)
				stop()
				synctest.Wait()
			})
		})
	}
}
