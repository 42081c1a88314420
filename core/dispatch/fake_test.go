package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
)

// fakeEngine streams tokens "<id>:<offset> " at intervals of step, and can make the server of a port fail, hang or stall.
type fakeEngine struct {
	mu     sync.Mutex
	step   time.Duration
	tokens int
	// dieAt is the offset after which the server of a port fails with its code.
	dieAt map[uint16]int
	code  map[uint16]fault.Code
	hang  map[uint16]bool
	// stallAt is the offset after which the server of a port sends nothing more and keeps the stream open.
	stallAt map[uint16]int
	started []string
	offsets []int
	ports   []uint16
}

func (e *fakeEngine) Stream(ctx context.Context, a netip.AddrPort, r *inference.Request, on func(inference.Event) error) error {
	e.mu.Lock()
	e.started = append(e.started, r.ID)
	e.offsets = append(e.offsets, r.Offset)
	e.ports = append(e.ports, a.Port())
	dieAt, dies := e.dieAt[a.Port()]
	code, hang := e.code[a.Port()], e.hang[a.Port()]
	stallAt, stalls := e.stallAt[a.Port()]
	e.mu.Unlock()
	for n := r.Offset + 1; n <= e.tokens; n++ {
		if dies && n > dieAt {
			return fault.New(code, "fake failure")
		}
		if hang || stalls && n > stallAt {
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(e.step):
		}
		v := inference.Event{
			Offset: n,
			Text:   fmt.Sprintf("%s:%d ", r.ID, n),
		}
		if n == e.tokens {
			v.Finish = "stop"
		}
		if err := on(v); err != nil {
			return err
		}
	}

	return nil
}

func (e *fakeEngine) Cancel(context.Context, netip.AddrPort, string) error {
	return nil
}

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.started)
}

type fakeFleet struct {
	mu      sync.Mutex
	conf    *configuration.Configuration
	leaving map[string]bool
}

func (f *fakeFleet) Current() *configuration.Configuration {
	return f.conf
}

func (f *fakeFleet) Usable(name string, _ time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return !f.leaving[name]
}

func (f *fakeFleet) Live(time.Time) []membership.Instance {
	return []membership.Instance{{
		Name:   "e1",
		Role:   membership.RoleEntry,
		Region: "r",
		Zone:   "z",
	}}
}

func fleet(servers, slots int) *fakeFleet {
	c := &configuration.Configuration{BackendServers: configuration.ConfigurationBackendServers{}}
	for n := 1; n <= servers; n++ {
		c.BackendServers[fmt.Sprintf("w%d", n)] = configuration.BackendServer{
			Address:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n)),
			Deployment: "d",
			Region:     "r",
			Zone:       "z",
			Slots:      slots,
		}
	}

	return &fakeFleet{
		conf:    c,
		leaving: map[string]bool{},
	}
}

func newDispatcher(e *fakeEngine, f *fakeFleet, queue int) *Dispatcher {
	self := f.Live(time.Time{})[0]

	return New(e, f, f, self, func(string, message.OnlineCount) {}, time.Now, rand.New(rand.NewPCG(1, 2)),
		queue, 1<<20, 2*time.Second, 5*time.Second)
}

func request(id string, class inference.Class) *inference.Request {
	return &inference.Request{
		ID:         id,
		Stream:     id,
		Class:      class,
		Deployment: "d",
		Workspace:  "ws",
		Deadline:   time.Now().Add(20 * time.Second),
		MaxTokens:  10,
	}
}

// pair is a fleet with a second entry instance, which owns some of the backend servers for batch work.
type pair struct {
	*fakeFleet
}

func (p pair) Live(at time.Time) []membership.Instance {
	other := p.fakeFleet.Live(at)[0]
	other.Name = "e2"

	return append(p.fakeFleet.Live(at), other)
}
