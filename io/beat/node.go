package beat

import (
	"errors"
	"expvar"
	"log/slog"
	"net"
	"net/netip"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
)

// maxDatagram is the largest message over UDP.
const maxDatagram = 64 << 10

var counters = expvar.NewMap("Beats")

// Node sends and receives beats on one UDP socket; Send may be called concurrently.
type Node struct {
	socket *net.UDPConn
	log    *slog.Logger
}

// New binds a socket; a failure has code unavailable.
func New(local netip.AddrPort, log *slog.Logger) (*Node, error) {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot bind "+local.String())
	}

	return &Node{
		socket: s,
		log:    log,
	}, nil
}

// Close ends Receive.
func (n *Node) Close() {
	if err := n.socket.Close(); err != nil {
		n.log.Debug("socket not closed", "error", err.Error())
	}
}

// Send sends a beat to all addresses; failures are counted, since the next beat repeats everything.
func (n *Node) Send(b *gossip.Beat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	message, err := codec.Encode(b)
	if err != nil {
		n.log.Error("beat not encoded", "error", err.Error())

		return
	}
	for _, a := range to {
		if _, err := n.socket.WriteToUDPAddrPort(message, a); err != nil {
			counters.Add("SendFailed", 1)

			continue
		}
		counters.Add("Sent", 1)
	}
}

// Receive hands each beat to handle until the node is closed.
func (n *Node) Receive(handle func(b *gossip.Beat)) {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			counters.Add("ReceiveFailed", 1)

			continue
		}
		b, err := Decode(buffer[:size])
		if err != nil {
			counters.Add("Unreadable", 1)
			n.log.Warn("beat not readable", "from", from.String(), "error", err.Error())

			continue
		}
		counters.Add("Received", 1)
		handle(b)
	}
}
