package idleconn

import (
	"errors"
	"net"
	"sync"
)

// listener is a listener whose connections a Limiter knows from their first moment on.
type listener struct {
	net.Listener
	limiter *Limiter
	// lock guards the fields below.
	lock      sync.Mutex
	accepting int
	accepted  *sync.Cond
	closed    bool
}

func newListener(inner net.Listener, limiter *Limiter) *listener {
	l := &listener{
		Listener: inner,
		limiter:  limiter,
	}
	l.accepted = sync.NewCond(&l.lock)

	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.lock.Lock()
	l.accepting++
	l.lock.Unlock()
	defer l.finishAccept()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the error of the listener
	}
	if plain, ok := c.(*net.TCPConn); ok {
		known, err := newConnection(plain)
		if err != nil {
			return nil, errors.Join(err, plain.Close())
		}
		c = known
	}
	l.limiter.add(c)

	return c, nil
}

func (l *listener) finishAccept() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.accepting--
	l.accepted.Broadcast()
}

// Close closes the listener. After it, the limiter knows all connections that were accepted.
func (l *listener) Close() error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	err := l.Listener.Close()
	for l.accepting > 0 {
		l.accepted.Wait()
	}

	return err //nolint:wrapcheck // the error of the listener
}
