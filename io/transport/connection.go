package transport

import (
	"bufio"
	"syscall"
	"time"

	"tarragonwalk/io/http1"
)

// connection is a TCP connection that sets its progress deadline on every read and write.
type connection struct {
	*http1.Conn
	reader      *bufio.Reader
	opened      time.Time
	idleSince   time.Time
	deadline    time.Time
	mayHaveSent bool
}

// Read reads with the current progress deadline.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline); err != nil {
		return 0, err
	}

	return c.Conn.Read(p)
}

// Write writes with the current progress deadline and records that bytes may have been sent.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.deadline); err != nil {
		return 0, err
	}
	c.mayHaveSent = true

	return c.Conn.Write(p)
}

// reusable reports whether an idle connection is open and has no unread input.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	r, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		open = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK //nolint:errorlint // A system call returns a plain Errno.

		return true
	})

	return err == nil && open
}
