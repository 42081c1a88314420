package idleconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"tarragonwalk/io/tcp"
)

// connection is a TCP connection of a caller that knows whether its server waits for the caller or still has bytes to work on.
type connection struct {
	net.Conn
	raw syscall.RawConn
	// reading guards the parameters and results of take, which is a value to spare each read an allocation.
	reading sync.Mutex
	take    func(fd uintptr) bool
	into    []byte
	taken   int
	failure error
	// lock guards the fields below, and bytes are taken from the kernel under it only.
	lock sync.Mutex
	// waiting is whether the server has read all that has arrived and waits for more.
	waiting bool
	// received is whether anything was read since the connection was accepted, or since its last response.
	received bool
	// closing is set once the connection is to be closed; nothing is read any more.
	closing bool
}

func newConnection(c *net.TCPConn) (*connection, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err //nolint:wrapcheck // a connection that is closed already
	}

	k := &connection{
		Conn: c,
		raw:  raw,
	}
	k.take = k.takeBytes

	return k, nil
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	c.into = p
	err := c.raw.Read(c.take)
	c.into = nil
	switch {
	case err != nil:
		c.lock.Lock()
		defer c.lock.Unlock()
		c.waiting = false

		return 0, c.readError(errors.Unwrap(err))
	case c.failure != nil:
		return 0, c.readError(c.failure)
	case c.taken == 0:
		return 0, io.EOF
	}

	return c.taken, nil
}

// takeBytes reads what the kernel has and reports whether there was anything, or the end of the connection.
func (c *connection) takeBytes(fd uintptr) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closing {
		c.taken, c.failure = 0, net.ErrClosed

		return true
	}
	n, err := unix.Read(int(fd), c.into)
	for err == unix.EINTR { //nolint:errorlint // a system call returns it unwrapped
		n, err = unix.Read(int(fd), c.into)
	}
	c.waiting = err == unix.EAGAIN //nolint:errorlint // as above
	if c.waiting {
		return false
	}
	c.taken, c.failure = max(0, n), os.NewSyscallError("read", err)
	c.received = c.received || n > 0

	return true
}

func (c *connection) readError(err error) error {
	return &net.OpError{
		Op:     "read",
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    err,
	}
}

// SyscallConn implements syscall.Conn.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	return c.raw, nil
}

// CloseWrite closes the sending side.
func (c *connection) CloseWrite() error {
	return c.Conn.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert,wrapcheck // see newConnection
}

// hasBegun reports whether a part of the next request has been read.
func (c *connection) hasBegun() bool {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.received
}

// becameIdle records that the response to all that was read is complete.
func (c *connection) becameIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.received = false
}

// beginClosing reports whether the server has nothing to work on but, if part is set, a part of a request. If so, nothing is read any
// more, and the connection has to be closed. Unless something is to be written to the caller before, the kernel takes nothing more for it
// either: Close takes effect only once the read in progress has returned, and what has arrived by then would be lost.
func (c *connection) beginClosing(part, write bool) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.waiting || c.received && !part || tcp.HasUnread(c.Conn) {
		return false
	}
	c.closing = true
	if !write {
		_ = c.raw.Control(func(fd uintptr) {
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // the caller may have closed it already
		})
	}

	return true
}
