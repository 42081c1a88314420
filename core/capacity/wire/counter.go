package wire

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"tarragonwalk/core/fault"
)

// Counter counts the connections of its listeners and the payload bytes on them; it is safe for concurrent use.
type Counter struct {
	bytes    atomic.Int64
	accepted atomic.Int64
	open     atomic.Int64
}

// New returns a counter without listeners.
func New() *Counter {
	return &Counter{}
}

// Listen opens a loopback listener whose connections are counted.
func (c *Counter) Listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fault.Wrap(err, fault.CodeUnavailable, "cannot listen on loopback")
	}

	return &listener{
		Listener: l,
		counter:  c,
	}, netip.MustParseAddrPort(l.Addr().String()), nil
}

// Bytes returns the number of bytes read and written so far.
func (c *Counter) Bytes() float64 {
	return float64(c.bytes.Load())
}

// Accepted returns the number of connections accepted so far.
func (c *Counter) Accepted() float64 {
	return float64(c.accepted.Load())
}

// Open returns the number of connections that are open.
func (c *Counter) Open() float64 {
	return float64(c.open.Load())
}

type listener struct {
	net.Listener
	counter *Counter
}

func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counter.accepted.Add(1)
	l.counter.open.Add(1)

	return &connection{
		Conn:    n,
		counter: l.counter,
	}, nil
}

type connection struct {
	net.Conn
	counter *Counter
	once    sync.Once
}

func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))

	return n, err
}

func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))

	return n, err
}

func (c *connection) Close() error {
	c.once.Do(func() { c.counter.open.Add(-1) })

	return c.Conn.Close()
}
