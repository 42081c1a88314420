package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"tarragonwalk/core/fault"
)

// ResetOnClose makes the close of a connection a reset, which its peer cannot take for the end of a message.
func ResetOnClose(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return fault.New(fault.CodeInternal, "the connection hides its socket")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot access the connection")
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})

	return errors.Join(err, failure)
}
