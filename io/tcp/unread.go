package tcp

import (
	"net"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether the kernel holds bytes that have arrived on a connection and that the process has not read. It is false for a
// connection that hides its socket.
func HasUnread(c net.Conn) bool {
	waiting := 0
	known := control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			waiting = n
		}
	})

	return known && waiting > 0
}
