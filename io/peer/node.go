package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"net/rpc/jsonrpc"
	"sync"
	"time"

	"tarragonwalk/core/background"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/message"
	"tarragonwalk/io/rpccall"
	"tarragonwalk/io/tcp"
)

// connectionAge bounds the age of a pooled connection, since a middlebox may drop it without closing it.
const connectionAge = 60 * time.Second

// expiredGrace is how long an expired connection that is not used again stays open. It exceeds every call timeout, so that
// calls in flight can finish.
const expiredGrace = 5 * time.Second

// handler answers messages from other entry instances.
type handler interface {
	HandleExchange(m *message.Exchange) *message.Exchange
	HandleConfiguration(m *message.ConfigurationRequest) (*message.ConfigurationReply, error)
	HandleOnline(m *message.OnlineNotice) []message.OnlineCount
}

// Node sends messages to other entry instances and answers theirs. The lock guards the connections and the closed flag, and
// is never held during a call.
type Node struct {
	name     string
	secret   []byte
	clock    func() time.Time
	handler  handler
	lock     sync.Mutex
	outgoing map[netip.AddrPort]*outgoing
	incoming map[net.Conn]struct{}
	closed   bool
	tasks    background.Tasks
}

type outgoing struct {
	client    *rpc.Client
	expiresAt time.Time
}

// New returns a node that authenticates with secret and answers messages through h.
func New(name string, secret []byte, clock func() time.Time, h handler) *Node {
	return &Node{
		name:     name,
		secret:   secret,
		clock:    clock,
		handler:  h,
		outgoing: map[netip.AddrPort]*outgoing{},
		incoming: map[net.Conn]struct{}{},
	}
}

// Serve answers peers on l until l is closed.
func (n *Node) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &service{node: n}); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot register the peer service")
	}
	for {
		c, err := tcp.Accept(l)
		if err != nil {
			return nil //nolint:nilerr // the listener was closed
		}
		n.tasks.Go(func() { n.serveConnection(server, c) })
	}
}

// Close closes all connections and waits for their goroutines; the caller closes the listener first.
func (n *Node) Close() {
	n.lock.Lock()
	n.closed = true
	for c := range n.incoming {
		c.Close()
	}
	for _, o := range n.outgoing {
		o.client.Close()
	}
	n.lock.Unlock()
	n.tasks.Wait()
}

// Exchange sends the periodic exchange message and returns the peer's.
func (n *Node) Exchange(ctx context.Context, a netip.AddrPort, m *message.Exchange) (*message.Exchange, error) {
	reply := &message.Exchange{}

	return reply, n.call(ctx, a, "Peer.Exchange", m, reply)
}

// Configuration asks a peer for a configuration of at least version.
func (n *Node) Configuration(ctx context.Context, a netip.AddrPort, version int) (*message.ConfigurationReply, error) {
	reply := &message.ConfigurationReply{}
	request := &message.ConfigurationRequest{
		Sender:  n.name,
		Version: version,
	}

	return reply, n.call(ctx, a, "Peer.Configuration", request, reply)
}

// Online sends changed in-flight counts to the instance that owns the backend servers for batch work and returns the
// counts of all other instances.
func (n *Node) Online(ctx context.Context, a netip.AddrPort, counts []message.OnlineCount) (others []message.OnlineCount, err error) {
	notice := &message.OnlineNotice{
		Sender: n.name,
		Online: counts,
	}

	ack := &message.Ack{}
	// After a failure the reply may still be written to ack.
	if err := n.call(ctx, a, "Peer.Online", notice, ack); err != nil {
		return nil, err
	}

	return ack.Others, nil
}

func (n *Node) serveConnection(server *rpc.Server, c net.Conn) {
	defer c.Close()
	n.lock.Lock()
	if n.closed {
		n.lock.Unlock()

		return
	}
	n.incoming[c] = struct{}{}
	n.lock.Unlock()
	defer func() {
		n.lock.Lock()
		delete(n.incoming, c)
		n.lock.Unlock()
	}()
	if err := serverHandshake(c, n.secret, n.clock()); err != nil {
		return
	}
	server.ServeCodec(jsonrpc.NewServerCodec(c))
}

func (n *Node) call(ctx context.Context, a netip.AddrPort, method string, request, reply any) error {
	client, err := n.client(ctx, a)
	if err != nil {
		return err
	}
	usable, err := rpccall.Call(ctx, client, method, request, reply)
	if !usable {
		n.removeClient(a, client)
	}

	return err
}

func (n *Node) client(ctx context.Context, a netip.AddrPort) (*rpc.Client, error) {
	now := n.clock()
	n.lock.Lock()
	o := n.outgoing[a]
	if o != nil && now.After(o.expiresAt) {
		delete(n.outgoing, a)
		o.client.Close()
		o = nil
	}
	n.lock.Unlock()
	if o != nil {
		return o.client, nil
	}
	d := net.Dialer{}
	c, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "peer cannot be reached")
	}
	if err := clientHandshake(c, n.secret, now); err != nil {
		c.Close()

		return nil, err
	}

	return n.addClient(a, jsonrpc.NewClient(c), now)
}

// addClient adds a connection to the pool, or closes it if a concurrent call has already added one.
func (n *Node) addClient(a netip.AddrPort, client *rpc.Client, now time.Time) (*rpc.Client, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.closed {
		client.Close()

		return nil, fault.New(fault.CodeUnavailable, "peer node is closed")
	}
	if o := n.outgoing[a]; o != nil {
		client.Close()

		return o.client, nil
	}
	n.closeExpired(now.Add(-expiredGrace))
	n.outgoing[a] = &outgoing{
		client:    client,
		expiresAt: now.Add(connectionAge),
	}

	return client, nil
}

// closeExpired closes connections that expired before at, including those to instances that are never called again. The
// caller holds the lock.
func (n *Node) closeExpired(at time.Time) {
	for a, o := range n.outgoing {
		if o.expiresAt.Before(at) {
			delete(n.outgoing, a)
			o.client.Close()
		}
	}
}

func (n *Node) removeClient(a netip.AddrPort, client *rpc.Client) {
	n.lock.Lock()
	if o := n.outgoing[a]; o != nil && o.client == client {
		delete(n.outgoing, a)
	}
	n.lock.Unlock()
	client.Close()
}
