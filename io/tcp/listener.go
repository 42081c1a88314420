package tcp

import (
	"log/slog"
	"net"
)

// Listener is a listener whose Accept only fails once it is closed. Servers that stop at the first failure of Accept, and close their
// listener then, stay available with it.
type Listener struct {
	net.Listener
	log *slog.Logger
}

// NewListener returns a listener that logs the failures of another one.
func NewListener(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{
		Listener: l,
		log:      log,
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	return accept(l.Listener, func(err error) {
		l.log.Warn("cannot accept a connection", "address", l.Addr().String(), "error", err.Error())
	})
}
