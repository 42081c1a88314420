package pausinglistener

import "net"

// limit bounds the reads of a test.
const limit = 1000

// Listener is a listener whose connections pause in each read, before it takes bytes and before it returns them.
type Listener struct {
	net.Listener
	before, after, taken chan struct{}
}

// New returns a listener over another one.
func New(l net.Listener) *Listener {
	return &Listener{
		Listener: l,
		before:   make(chan struct{}, limit),
		after:    make(chan struct{}, limit),
		taken:    make(chan struct{}, limit),
	}
}

// Take lets one read take bytes and waits until it has.
func (l *Listener) Take() {
	l.before <- struct{}{}
	<-l.taken
}

// Return lets one read return.
func (l *Listener) Return() {
	l.after <- struct{}{}
}

// Resume ends all pauses.
func (l *Listener) Resume() {
	close(l.before)
	close(l.after)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the error of the listener
	}

	return &conn{
		Conn:     c,
		listener: l,
	}, nil
}

type conn struct {
	net.Conn
	listener *Listener
}

// NetConn returns the connection below, as that of a TLS connection does.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

func (c *conn) Read(p []byte) (int, error) {
	<-c.listener.before
	n, err := c.Conn.Read(p)
	c.listener.taken <- struct{}{}
	<-c.listener.after

	return n, err //nolint:wrapcheck // the error of the connection
}
