package peersync

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
	"tarragonwalk/io/tcp"
)

// callTimeout bounds a copy from another region.
const callTimeout = time.Second

// snapshot is what one instance tells another.
type snapshot struct {
	Table    *route.Table
	Servers  []backend.Server
	Revision int64
}

type request struct{}

// service answers calls; its methods are those of net/rpc.
type service struct {
	read func() (*route.Table, []backend.Server, int64)
}

// Snapshot copies the state of this instance.
func (s *service) Snapshot(_ request, reply *snapshot) error {
	reply.Table, reply.Servers, reply.Revision = s.read()

	return nil
}

// Node is both ends of the copy.
type Node struct {
	listener net.Listener
	dialer   *net.Dialer
}

// New listens for other instances; a failure has code unavailable.
func New(local netip.AddrPort) (*Node, error) {
	l, err := net.Listen("tcp4", local.String())
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot listen on "+local.String())
	}

	return &Node{
		listener: l,
		dialer:   tcp.NewDialer(callTimeout / 2),
	}, nil
}

// Serve answers other instances with what read returns until the node is closed.
func (n *Node) Serve(read func() (*route.Table, []backend.Server, int64)) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &service{read: read}); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot register the peer service")
	}
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.CodeUnavailable, "cannot accept peers")
		}
		go server.ServeConn(c)
	}
}

// Close ends Serve.
func (n *Node) Close() {
	n.listener.Close()
}

// Fetch copies the state of another instance; a failure has code unavailable.
func (n *Node) Fetch(ctx context.Context, from netip.AddrPort) (*route.Table, []backend.Server, int64, error) {
	c, err := n.dialer.DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return nil, nil, 0, fault.Wrap(err, fault.CodeUnavailable, "peer cannot be reached")
	}
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		c.Close()

		return nil, nil, 0, fault.Wrap(err, fault.CodeUnavailable, "peer connection failed")
	}
	client := rpc.NewClient(c)
	defer client.Close()
	reply := snapshot{}
	if err := client.Call("Peer.Snapshot", request{}, &reply); err != nil {
		return nil, nil, 0, fault.Wrap(err, fault.CodeUnavailable, "peer did not answer")
	}

	return reply.Table, reply.Servers, reply.Revision, nil
}
