package objectstore

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// network is a listener that can be closed and opened again while the server keeps accepting from it.
type network struct {
	mu       sync.Mutex
	wake     *sync.Cond
	listener net.Listener
	address  net.Addr
	conns    map[*conn]struct{}
	closed   bool
	refused  bool
}

type conn struct {
	net.Conn
	silent  atomic.Bool
	network *network
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()

	return c.Conn.Close()
}

func (n *network) init() {
	n.wake = sync.NewCond(&n.mu)
	n.conns = map[*conn]struct{}{}
}

func (n *network) start(l net.Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.address = l.Addr()
	if n.closed || n.refused {
		l.Close()

		return
	}
	n.listener = l
}

// Accept waits for the next connection, across periods in which the listener is closed.
func (n *network) Accept() (net.Conn, error) {
	for {
		n.mu.Lock()
		for n.listener == nil && !n.closed {
			n.wake.Wait()
		}
		l := n.listener
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return nil, io.EOF
		}
		accepted, err := l.Accept()
		n.mu.Lock()
		if err != nil {
			if n.listener == l {
				n.listener = nil
			}
			n.mu.Unlock()

			continue
		}
		c := &conn{
			Conn:    accepted,
			network: n,
		}
		if n.listener != l {
			n.mu.Unlock()
			accepted.Close()

			continue
		}
		n.conns[c] = struct{}{}
		n.mu.Unlock()

		return c, nil
	}
}

// Close stops accepting.
func (n *network) Close() error {
	n.stop()

	return nil
}

// Addr returns the address given to start.
func (n *network) Addr() net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.address
}

func (n *network) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.disconnect()
	n.wake.Broadcast()
}

func (n *network) refuse(on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = on
	if on {
		n.disconnect()

		return nil
	}
	if n.listener != nil || n.closed || n.address == nil {
		return nil
	}
	l, err := net.Listen("tcp", n.address.String())
	if err != nil {
		return err
	}
	n.listener = l
	n.wake.Broadcast()

	return nil
}

// disconnect closes the listener and all connections; n.mu is held.
func (n *network) disconnect() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
	for c := range n.conns {
		c.Conn.Close()
	}
	clear(n.conns)
}

func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.silent.Store(true)
	}
}
