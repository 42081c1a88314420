package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether the kernel holds bytes that have arrived on a connection and that the process has not read. It is false for a
// connection that hides its socket.
func HasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	// Control, unlike Read, does not wait for a Read of the connection that is in progress.
	err = raw.Control(func(fd uintptr) {
		if n, e := unix.IoctlGetInt(int(fd), unix.TIOCINQ); e == nil {
			waiting = n
		}
	})

	return err == nil && waiting > 0
}
