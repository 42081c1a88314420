package caller

import (
	"net"
	"time"
)

// writeTimeout bounds one write to a caller that has stopped reading; fasthttp itself bounds only whole responses.
const writeTimeout = 30 * time.Second

type listener struct {
	net.Listener
}

type conn struct {
	net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &conn{Conn: c}, nil
}

// NetConn returns the connection below, as that of a TLS connection does.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}

	return c.Conn.Write(b)
}
