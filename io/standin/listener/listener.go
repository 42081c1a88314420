package listener

import (
	"net"
	"sync"
)

// Listener can refuse new connections and drop or silence established ones; it is safe for concurrent use.
type Listener struct {
	lock    sync.Mutex
	inner   net.Listener // nil while refusing
	address net.Addr
	changed chan struct{}
	closed  bool
	open    map[*connection]struct{}
}

// New wraps a TCP listener.
func New(l net.Listener) *Listener {
	return &Listener{
		inner:   l,
		address: l.Addr(),
		changed: make(chan struct{}),
		open:    make(map[*connection]struct{}),
	}
}

// Accept waits for a connection. While connections are refused, it blocks.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.lock.Lock()
		inner, changed, closed := l.inner, l.changed, l.closed
		l.lock.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-changed

			continue
		}
		n, err := inner.Accept()
		if err == nil {
			return l.add(n), nil
		}
		l.lock.Lock()
		same := l.inner == inner && !l.closed
		l.lock.Unlock()
		if same {
			return nil, err
		}
	}
}

// Addr returns the address, even while connections are refused.
func (l *Listener) Addr() net.Addr {
	return l.address
}

// Close stops accepting connections and leaves established ones open.
func (l *Listener) Close() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.replace(nil)

	return nil
}

// Refuse closes the listening socket if on, and otherwise opens it again on the same address.
func (l *Listener) Refuse(on bool) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed || on == (l.inner == nil) {
		return nil
	}
	if on {
		l.replace(nil)

		return nil
	}
	n, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		return err
	}
	l.replace(n)

	return nil
}

// Silence makes all established connections discard all data for the rest of their lifetime; new connections work.
func (l *Listener) Silence() {
	for _, c := range l.connections() {
		c.silence()
	}
}

// Drop closes all established connections.
func (l *Listener) Drop() {
	for _, c := range l.connections() {
		_ = c.Close()
	}
}

func (l *Listener) connections() []*connection {
	l.lock.Lock()
	defer l.lock.Unlock()
	r := make([]*connection, 0, len(l.open))
	for c := range l.open {
		r = append(r, c)
	}

	return r
}

func (l *Listener) replace(n net.Listener) {
	if l.inner != nil {
		l.inner.Close()
	}
	l.inner = n
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Listener) add(n net.Conn) net.Conn {
	c := &connection{
		Conn:     n,
		owner:    l,
		silenced: make(chan struct{}),
		done:     make(chan struct{}),
	}
	l.lock.Lock()
	l.open[c] = struct{}{}
	l.lock.Unlock()

	return c
}
