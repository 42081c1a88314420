package http1

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/tcp"
)

// writeGrace is how long the end of a connection waits for a write that is under way, which may be told of a reset in place of the read.
const writeGrace = 100 * time.Millisecond

// Conn is a connection to a server. Its reads fail at the first byte that belongs to no answer, and at an end of the connection that ends no
// answer. Reads and writes may be concurrent, but not two reads.
type Conn struct {
	net.Conn
	// lock guards answer; it is not held during calls.
	lock   sync.Mutex
	answer answer
	// failure is used by reads only.
	failure error
	// writeLock guards the fields below; it is not held during calls.
	writeLock sync.Mutex
	// written is closed when the write that is under way ends, nil if there is none.
	written chan struct{}
	// writeErr is the first failure of a write.
	writeErr error
}

// New returns a connection on which no answer has begun.
func New(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// Begin announces a request with a method, on which depends whether its answer has a body. Without it, answers are taken for those to GET.
func (c *Conn) Begin(method string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.answer.begin(method)
}

// Read returns bytes of answers; after a failure it returns no further ones.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	valid, failure := c.answer.feed(p[:n])
	end := c.answer.end()
	c.lock.Unlock()
	switch {
	case failure != nil:
		c.failure = failure
		if valid > 0 {
			return valid, nil
		}

		return 0, failure
	case !errors.Is(err, io.EOF):
		return n, err
	case end == endOfConnection && c.reset():
		return n, fault.Wrap(syscall.ECONNRESET, fault.CodeOutcomeUnknown, "the answer was cut")
	case end == endMissing:
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// Write records whether it has failed.
func (c *Conn) Write(p []byte) (int, error) {
	written := make(chan struct{})
	c.writeLock.Lock()
	c.written = written
	c.writeLock.Unlock()
	n, err := c.Conn.Write(p)
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.written = nil
	close(written)

	return n, err
}

// SyscallConn returns the socket of the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}

	return s.SyscallConn() //nolint:wrapcheck // it stands in for the connection
}

// reset reports whether the connection, whose end a read has found, was reset by its peer.
func (c *Conn) reset() bool {
	if closed, known := tcp.Closed(c.Conn); known && !closed {
		return false
	}
	c.writeLock.Lock()
	written := c.written
	c.writeLock.Unlock()
	if written != nil {
		t := time.NewTimer(writeGrace)
		defer t.Stop()
		select {
		case <-written:
		case <-t.C:
		}
	}
	c.writeLock.Lock()
	err := c.writeErr
	c.writeLock.Unlock()

	return tcp.EndedByReset(c.Conn, err)
}
