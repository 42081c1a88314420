package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/inference"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
	"tarragonwalk/core/onlinecount"
)

// sharing is a fleet of several entry instances whose notices take a while.
type sharing struct {
	*fakeFleet
	instances   int
	delay       time.Duration
	dispatchers []*Dispatcher
	// lock guards the fields below.
	lock    sync.Mutex
	running int
	most    int
}

func (s *sharing) Live(at time.Time) []membership.Instance {
	var list []membership.Instance
	for n := range s.instances {
		i := s.fakeFleet.Live(at)[0]
		i.Name = fmt.Sprintf("e%d", n)
		i.PeerAddress = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n))
		list = append(list, i)
	}

	return list
}

// Stream counts the streams at the backend server. All take the same time, so that those that start together end together.
func (s *sharing) Stream(ctx context.Context, a netip.AddrPort, r *inference.Request, on func(inference.Event) error) error {
	s.lock.Lock()
	s.running++
	s.most = max(s.most, s.running)
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.running--
	}()
	e := &fakeEngine{step: 3 * time.Millisecond, tokens: 20}

	return e.Stream(ctx, a, r, on)
}

func (s *sharing) Cancel(context.Context, netip.AddrPort, string) error {
	return nil
}

// peer sends the notices of one instance.
type peer struct {
	*sharing
	name string
}

func (p *peer) Online(_ context.Context, a netip.AddrPort, counts []message.OnlineCount) ([]message.OnlineCount, error) {
	time.Sleep(p.delay)
	batchOwner := p.dispatchers[a.Port()]
	batchOwner.ObserveOnline(p.name, counts, time.Now())
	others := batchOwner.OthersOnline(p.name, counts, time.Now())
	time.Sleep(p.delay)

	return others, nil
}

// Guards against instances that each fill the slots of a backend server that they find free at the same time, so that requests queue
// inside the engine.
func TestInstancesFindSlotsFreeAtOnce(t *testing.T) {
	const callers, slots, instances = 12, 8, 4
	for _, delay := range []time.Duration{100 * time.Microsecond, time.Millisecond, 12 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sharing{fakeFleet: fleet(1, slots), instances: instances, delay: delay}
				ctx, stop := context.WithCancel(t.Context())
				var notifiers sync.WaitGroup
				for n, self := range s.Live(time.Now()) {
					var notifier *onlinecount.Notifier
					notify := func(batchOwner string, c message.OnlineCount) { notifier.Notify(batchOwner, c) }
					d := New(s, s, s, self, notify, time.Now, rand.New(rand.NewPCG(1, uint64(n))), 64, 1<<20, 2*time.Second, 5*time.Second)
					s.dispatchers = append(s.dispatchers, d)
					notifier = onlinecount.New(&peer{sharing: s, name: self.Name}, s, d, time.Now, slog.New(slog.DiscardHandler))
					notifiers.Go(func() { notifier.Run(ctx) })
				}
				end := time.Now().Add(3 * time.Second)
				answered := 0
				var group sync.WaitGroup
				for n := range callers * instances {
					group.Go(func() {
						for time.Now().Before(end) {
							if _, err := run(s.dispatchers[n%instances], request(fmt.Sprint(n), inference.ClassOnline)); err == nil {
								s.lock.Lock()
								answered++
								s.lock.Unlock()
							}
						}
					})
				}
				group.Wait()
				stop()
				notifiers.Wait()
				t.Logf("%d answered, at most %d in the engine", answered, s.most)
				is.True(s.most <= slots+instances) // each instance may have started one that the others do not know of yet
			})
		})
	}
}
