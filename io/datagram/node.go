package datagram

import (
	"errors"
	"expvar"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/io/bootclock"
)

const (
	// maxDatagramBytes is the size of the receive buffer, above the largest UDP payload.
	maxDatagramBytes = 64 << 10
	// failureLogPause is the least time between two logged failures to receive or to handle a heartbeat.
	failureLogPause = time.Second
	// firstReceivePause and maxReceivePause are the first and the longest pause after a failure to receive.
	firstReceivePause = 5 * time.Millisecond
	maxReceivePause   = 100 * time.Millisecond
)

var counters = expvar.NewMap("Beats")

// Node sends and receives heartbeats on a UDP socket; Send may be called concurrently.
type Node struct {
	socket *net.UDPConn
	log    *slog.Logger
	// quietUntil is when the next failure may be logged; only Receive uses it.
	quietUntil time.Time
	// emptyAt is the time of the boot clock at which the socket was last known to hold no datagram; only Receive uses it.
	emptyAt time.Time
}

// New binds a socket; a failure has code unavailable.
func New(local netip.AddrPort, log *slog.Logger) (*Node, error) {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot bind "+local.String())
	}

	return &Node{
		socket:  s,
		log:     log,
		emptyAt: bootclock.Now(),
	}, nil
}

// Close ends Receive.
func (n *Node) Close() {
	if err := n.socket.Close(); err != nil {
		n.log.Debug("cannot close socket", "error", err.Error())
	}
}

// Send sends a heartbeat to all addresses. Failures are only counted, since the next heartbeat repeats the whole state.
func (n *Node) Send(b *gossip.Heartbeat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	message, err := codec.Encode(b)
	if err != nil {
		n.log.Error("cannot encode heartbeat", "error", err.Error())

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

// Receive calls handle with each heartbeat until the node is closed.
func (n *Node) Receive(handle func(b *gossip.Heartbeat)) {
	buffer := make([]byte, maxDatagramBytes)
	pause := firstReceivePause
	raw, err := n.socket.SyscallConn()
	if err != nil {
		n.log.Error("cannot receive heartbeats", "error", err.Error())

		return
	}
	for {
		size, from, err := n.read(raw, buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			counters.Add("ReceiveFailed", 1)
			if n.mayLogFailure() {
				n.log.Error("cannot receive heartbeats", "error", err.Error())
			}
			time.Sleep(pause)
			pause = min(maxReceivePause, 2*pause)

			continue
		}
		pause = firstReceivePause
		n.apply(buffer[:size], from, handle)
	}
}

// ArrivedAfter returns a time of the boot clock after which the heartbeat has arrived that is being handled. Only handle may call it. A
// process that was frozen finds heartbeats of that time in the socket, which look as if they had just been received.
func (n *Node) ArrivedAfter() time.Time {
	return n.emptyAt
}

// read waits for a datagram and notes when the socket held none.
func (n *Node) read(raw syscall.RawConn, buffer []byte) (size int, from netip.AddrPort, err error) {
	failure := raw.Read(func(fd uintptr) bool {
		for {
			at := bootclock.Now()
			var sender unix.Sockaddr
			size, sender, err = unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if errors.Is(err, unix.EAGAIN) {
				n.emptyAt = at

				return false
			}
			if a, ok := sender.(*unix.SockaddrInet4); ok {
				from = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)) //nolint:gosec // a port
			}

			return true
		}
	})

	return size, from, errors.Join(failure, err)
}

// mayLogFailure reports whether failureLogPause has passed since it last returned true.
func (n *Node) mayLogFailure() bool {
	at := time.Now()
	if !at.After(n.quietUntil) {
		return false
	}
	n.quietUntil = at.Add(failureLogPause)

	return true
}

// apply decodes a heartbeat and calls handle. A panic drops the heartbeat only: a heartbeat repeats the sender's whole state several times a second, so one that
// cannot be handled would end the process of every instance that receives it.
func (n *Node) apply(message []byte, from netip.AddrPort, handle func(b *gossip.Heartbeat)) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		counters.Add("Failed", 1)
		if n.mayLogFailure() {
			n.log.Error("heartbeat not handled", "from", from.String(), "bytes", len(message), "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	b, err := Decode(message)
	if err != nil {
		counters.Add("Unreadable", 1)
		n.log.Warn("cannot decode heartbeat", "from", from.String(), "error", err.Error())

		return
	}
	counters.Add("Received", 1)
	handle(b)
}
