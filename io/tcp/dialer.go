package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonwalk/core/fault"
)

const (
	// probeIdle, probeInterval and probeCount make TCP keep-alive close an idle connection about two seconds after its peer has
	// become unreachable.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// userTimeout is how long sent bytes may stay unacknowledged, or unsent because the peer does not read, before the kernel closes the
	// connection.
	userTimeout = 2 * time.Second
)

// NewDialer returns a dialer with a connect timeout, whose connections detect an unreachable peer.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, userTimeout)
		},
	}
}

// AllowUnread sets whether a connection of such a dialer stays open while its peer acknowledges bytes but does not read them. An unreachable
// peer is then not detected while bytes are on the way.
func AllowUnread(c net.Conn, allowed bool) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot access the connection")
	}
	timeout := userTimeout
	if allowed {
		timeout = 0
	}

	return setUserTimeout(raw, timeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})

	return errors.Join(err, failure)
}
