package drain

import (
	"errors"
	"math"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"tarragonwalk/core/fault"
)

// RefuseNew makes the kernel refuse further connections to a listener, while the process can still accept those that the kernel has
// accepted. Closing the listener would reset these.
func RefuseNew(l net.Listener) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return fault.New(fault.CodeInternal, "the listener hides its socket")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot access the listener")
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		// No packet comes from this interface.
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, math.MaxInt32)
	})
	if err = errors.Join(err, failure); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot refuse connections")
	}

	return nil
}
