package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Closed reports whether a connection is closed in both directions, as after a reset; known is false for one that hides its socket or its
// state.
func Closed(c net.Conn) (closed, known bool) {
	info, known := infoOf(c)
	if !known {
		return false, false
	}

	return info.State == closedState, info.State != 0
}

// infoOf returns what the system knows of a connection, false for one that hides its socket.
func infoOf(c net.Conn) (info *unix.TCPInfo, known bool) {
	var failure error
	known = control(c, func(fd int) { info, failure = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })

	return info, known && failure == nil
}

// EndedByReset reports whether the end of a connection that a read has found is a reset by its peer. The system tells a reset once, to the
// read or to a write; writeErr is the first failure of a write, nil if there is none. After a write to a peer that has ended the connection in
// order before, EPIPE is told.
func EndedByReset(c net.Conn, writeErr error) bool {
	if errno := syscall.Errno(0); errors.As(writeErr, &errno) {
		return errno != syscall.EPIPE
	}
	closed, known := Closed(c)
	if !closed || !known {
		return false
	}
	pending, ok := 0, false
	ok = control(c, func(fd int) { pending, _ = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR) })

	return !ok || syscall.Errno(pending) != syscall.EPIPE //nolint:gosec // a small number
}

// control calls f with the socket of a connection, and reports whether it did. Unlike a read, it does not wait for one that is in progress.
func control(c net.Conn, f func(fd int)) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}

	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
