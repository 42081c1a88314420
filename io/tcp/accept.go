package tcp

import (
	"errors"
	"net"
	"time"
)

const (
	firstAcceptPause = 5 * time.Millisecond
	maxAcceptPause   = time.Second
)

// Accept returns the next connection of a listener. It tries again after a failure, such as one for want of file descriptors, with growing
// pauses; the only error that it returns is net.ErrClosed.
func Accept(l net.Listener) (net.Conn, error) {
	return accept(l, func(error) {})
}

// accept is Accept; failed is called before each pause.
func accept(l net.Listener, failed func(err error)) (net.Conn, error) {
	pause := firstAcceptPause
	for {
		c, err := l.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		failed(err)
		time.Sleep(pause)
		pause = min(maxAcceptPause, 2*pause)
	}
}
