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

// minReadBytes is the least size of a buffer for reads from the connection, which has to hold the beginning of a status line.
const minReadBytes = 64

// Conn is a connection to a server. Its reads leave out interim answers, such as 103 Early Hints, and fail at the first byte that belongs to no
// answer, and at an end of the connection that ends no answer. Reads and writes may be concurrent, but not two reads.
type Conn struct {
	net.Conn
	// lock guards answer; it is not held during calls.
	lock   sync.Mutex
	answer answer
	// failure and unread, which holds what did not fit into the buffer of a read, are used by reads only.
	failure error
	unread  []byte
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
	if len(p) == 0 {
		return 0, nil
	}
	for len(c.unread) == 0 && c.failure == nil {
		if len(p) >= minReadBytes {
			n, err := c.read(p)
			if n > 0 || err != nil {
				return n, err
			}

			continue
		}
		buffer := make([]byte, minReadBytes)
		n, err := c.read(buffer)
		c.unread, c.failure = buffer[:n], err
	}
	if len(c.unread) == 0 {
		return 0, c.failure
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]

	return n, nil
}

// read is Read for a buffer that is long enough. It returns no byte and no failure if there was only an interim answer.
func (c *Conn) read(p []byte) (int, error) {
	c.lock.Lock()
	held := c.answer.held()
	c.lock.Unlock()
	n, err := c.Conn.Read(p[held:])
	c.lock.Lock()
	kept, failure := c.answer.filter(p, held, held+n)
	end := c.answer.end()
	c.lock.Unlock()
	switch {
	case failure != nil:
		c.failure = failure
		if kept > 0 {
			return kept, nil
		}

		return 0, failure
	case !errors.Is(err, io.EOF):
		return kept, err
	case end == endOfConnection && c.reset():
		return kept, fault.Wrap(syscall.ECONNRESET, fault.CodeOutcomeUnknown, "the answer was cut")
	case end == endMissing:
		return kept, io.ErrUnexpectedEOF
	default:
		return kept, err
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
