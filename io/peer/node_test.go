package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/message"
)

type fakeHandler struct {
	delay  time.Duration
	online atomic.Int64
	block  chan struct{}
}

func (f *fakeHandler) HandleExchange(m *message.Exchange) *message.Exchange {
	if f.block != nil {
		<-f.block
	}

	return &message.Exchange{
		Sender:               "server",
		ConfigurationVersion: m.ConfigurationVersion + 1,
	}
}

func (f *fakeHandler) HandleConfiguration(*message.ConfigurationRequest) (*message.ConfigurationReply, error) {
	return nil, fault.New(fault.CodeNotFound, "no configuration")
}

func (f *fakeHandler) HandleOnline(m *message.OnlineNotice) []message.OnlineCount {
	time.Sleep(f.delay)
	f.online.Add(int64(m.Online[0].InFlight))

	return []message.OnlineCount{
		{
			BackendServer: m.Online[0].BackendServer,
			InFlight:      9,
		},
	}
}

func startNode(t *testing.T, secret string, h handler) (*Node, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := New("server", []byte(secret), time.Now, h)
	go n.Serve(l)
	t.Cleanup(func() {
		l.Close()
		n.Close()
	})

	return n, netip.MustParseAddrPort(l.Addr().String())
}

func TestNodeCalls(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{}
	_, a := startNode(t, "secret-of-the-fleet", h)
	c := New("client", []byte("secret-of-the-fleet"), time.Now, h)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := c.Exchange(ctx, a, &message.Exchange{
		Sender:               "client",
		ConfigurationVersion: 7,
	})
	is.NoErr(err)
	is.Equal(reply.ConfigurationVersion, 8)
	others, err := c.Online(ctx, a, []message.OnlineCount{
		{
			BackendServer: "w1",
			InFlight:      3,
		},
	})
	is.NoErr(err)
	is.Equal(others[0].InFlight, 9)
	is.Equal(h.online.Load(), int64(3))
	_, err = c.Configuration(ctx, a, 1)
	is.True(err != nil)          // the handler's error reaches the caller
	is.Equal(len(c.outgoing), 1) // the connection stays in the pool
}

// Guards against a process without the secret reading or changing the state of the fleet.
func TestNodeRefusesWrongSecret(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{}
	_, a := startNode(t, "secret-of-the-fleet", h)
	c := New("client", []byte("another-secret-0000"), time.Now, h)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Online(ctx, a, []message.OnlineCount{
		{
			BackendServer: "w1",
			InFlight:      3,
		},
	})
	is.True(err != nil)
	is.Equal(h.online.Load(), int64(0))
}

// Guards against reusing a connection on which a call has timed out.
func TestNodeDropsSilentConnection(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{
		block: make(chan struct{}),
	}
	_, a := startNode(t, "secret-of-the-fleet", h)
	c := New("client", []byte("secret-of-the-fleet"), time.Now, h)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Exchange(ctx, a, &message.Exchange{
		Sender: "client",
	})
	is.Equal(fault.CodeOf(err), fault.CodeUnavailable)
	is.Equal(len(c.outgoing), 0)
	close(h.block)
}

// Guards against reading a reply that arrives when its call has just timed out; only the race detector shows it.
func TestLateReplyIsNotRead(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{delay: 2 * time.Millisecond}
	_, a := startNode(t, "secret-of-the-fleet", h)
	c := New("client", []byte("secret-of-the-fleet"), time.Now, h)
	defer c.Close()
	group := pool.New()
	for range 8 {
		group.Go(func() {
			for range 100 {
				ctx, cancel := context.WithTimeout(context.Background(), h.delay)
				others, err := c.Online(ctx, a, []message.OnlineCount{{BackendServer: "w1"}})
				cancel()
				is.True(err == nil || others == nil)
			}
		})
	}
	group.Wait()
}

// Guards against a file descriptor leak: connections to instances that are not called again, such as replaced ones, must
// not stay open.
func TestNodeClosesExpiredConnections(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{}
	now := time.Now()
	c := New("client", []byte("secret-of-the-fleet"), func() time.Time { return now }, h)
	defer c.Close()
	for range 5 {
		_, a := startNode(t, "secret-of-the-fleet", h)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := c.Exchange(ctx, a, &message.Exchange{
			Sender: "client",
		})
		cancel()
		is.NoErr(err)
		is.Equal(len(c.outgoing), 1) // the connections to the earlier instances have expired
		now = now.Add(2 * connectionAge)
	}
}
