package listener

import (
	"net"
	"sync"
)

// connection discards all data in both directions once it is silenced.
type connection struct {
	net.Conn
	owner       *Listener
	silenced    chan struct{}
	done        chan struct{}
	silenceOnce sync.Once
	doneOnce    sync.Once
}

func (c *connection) silence() {
	c.silenceOnce.Do(func() { close(c.silenced) })
}

// Read returns input until the connection is silenced; then it discards the input and blocks until Close.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silenced:
		<-c.done

		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write sends output until the connection is silenced; then it discards the output and reports success.
func (c *connection) Write(p []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	c.doneOnce.Do(func() {
		close(c.done)
		c.owner.lock.Lock()
		delete(c.owner.open, c)
		c.owner.lock.Unlock()
	})

	return c.Conn.Close()
}
