package drain

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonwalk/core/fault"
)

const backlogInterval = 2 * time.Millisecond

// WaitBacklog waits until the process has accepted all connections that the kernel has accepted for a listener, or until ctx ends.
// Closing the listener resets the others, together with the requests that their callers have sent. It does not wait for a listener
// that hides its socket, such as one for TLS.
func WaitBacklog(ctx context.Context, l net.Listener) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot access the listener")
	}
	for {
		waiting, err := backlog(raw)
		if err != nil {
			return fault.Wrap(err, fault.CodeInternal, "cannot read the state of the listener")
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-time.After(backlogInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// backlog returns how many connections wait to be accepted by the process.
func backlog(raw syscall.RawConn) (int, error) {
	var info *unix.TCPInfo
	var failure error
	err := raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return 0, errors.Join(err, failure)
	}

	// For a listener, this is the length of its accept queue.
	return int(info.Unacked), nil
}
