package idleconn

import (
	"errors"
	"net"
	"net/http"
)

// listener is a listener whose connections a Limiter knows from their first moment on.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
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
	l.limiter.Observe(c, http.StateNew)

	return c, nil
}
