package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedState is the state of a connection that was reset, TCP_CLOSE in the kernel.
const closedState = 7

// Acknowledged reports whether the system of a connection's peer has acknowledged all that was sent and has not reset the connection. It is
// false for a connection that hides its socket.
func Acknowledged(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})

	return err == nil && failure == nil && info.State != closedState && info.Unacked == 0 && info.Notsent_bytes == 0
}
