package peersync

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
	"tarragonwalk/io/rpccall"
	"tarragonwalk/io/tcp"
)

// callTimeout is added to the time that the receiver of a call may wait.
const callTimeout = time.Second

// Node makes calls to other instances and answers theirs; its methods may be called concurrently.
type Node struct {
	listener net.Listener
	dialer   *net.Dialer
	// lock guards clients; it is not held during calls.
	lock    sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
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
		clients:  map[netip.AddrPort]*rpc.Client{},
	}, nil
}

// Serve answers other instances until the node is closed.
func (n *Node) Serve(h handler) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &service{handler: h}); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot register the peer service")
	}
	for {
		c, err := tcp.Accept(n.listener)
		if err != nil {
			return nil //nolint:nilerr // the node was closed
		}
		go server.ServeConn(c)
	}
}

// Close ends Serve and closes all outgoing connections.
func (n *Node) Close() {
	n.listener.Close()
	n.lock.Lock()
	defer n.lock.Unlock()
	for a, c := range n.clients {
		c.Close()
		delete(n.clients, a)
	}
}

// Snapshot returns the route table and the server list of another instance if they are newer than version and revision; a
// table or list that is not newer is nil. Failures have code unavailable, or invalid for a reply that cannot be decoded.
func (n *Node) Snapshot(ctx context.Context, from netip.AddrPort, version, revision int64) (*route.Table, []backend.Server, int64, error) {
	reply := Snapshot{}
	if _, err := n.call(ctx, from, "Peer.Snapshot", &SnapshotRequest{
		Version:  int(version),
		Revision: int(revision),
	}, &reply, time.Now().Add(callTimeout)); err != nil {
		return nil, nil, 0, err
	}
	var table *route.Table
	if len(reply.Table) > 0 {
		table = &route.Table{}
		if err := codec.Decode(reply.Table, table); err != nil {
			return nil, nil, 0, err
		}
	}
	list := ServerList{}
	if len(reply.Servers) > 0 {
		if err := codec.Decode(reply.Servers, &list); err != nil {
			return nil, nil, 0, err
		}
	}

	return table, list.Servers, int64(reply.Revision), nil
}

// ReadResults reads results of a job from its holder; it returns false if the other instance does not hold the job. With true and code
// store_unavailable the holder cannot tell whether there are results; with code not_found the job is another workspace's.
func (n *Node) ReadResults(ctx context.Context, from netip.AddrPort, id, workspace string, after int, until time.Time) (jobpage.Page, bool, error) {
	reply := ReadReply{}
	_, err := n.call(ctx, from, "Peer.Read", &ReadRequest{
		Job:        id,
		Workspace:  workspace,
		After:      after,
		WaitMillis: max(0, int(time.Until(until).Milliseconds())),
	}, &reply, until.Add(callTimeout))
	if err != nil || !reply.Held {
		return jobpage.Page{}, false, err
	}
	if reply.Denied {
		return jobpage.Page{}, true, work.ErrUnknown
	}
	if reply.Unknown {
		return jobpage.Page{}, true, fault.New(fault.CodeStoreUnavailable, "the holder of the job cannot tell whether there are results")
	}
	page := jobpage.Page{
		Total: reply.Total,
		Next:  reply.Next,
	}
	if err := json.Unmarshal(reply.Results, &page.Results); err != nil {
		return jobpage.Page{}, false, fault.Wrap(err, fault.CodeInvalid, "cannot decode the results from a peer")
	}

	return page, true, nil
}

// ReadBody reads the body of an item from the holder of its job; it returns false if the other instance does not hold the job or
// the item is listed, and fails with code not_found if the job is another workspace's.
func (n *Node) ReadBody(ctx context.Context, from netip.AddrPort, id, workspace, item string) ([]byte, bool, error) {
	reply, err := n.body(ctx, from, id, workspace, item)

	return reply.Body, reply.Held, err
}

// CheckJob asks the holder of a job whether a workspace may use it; it returns false if the other instance does not hold the job, and fails
// with code not_found if the job is another workspace's.
func (n *Node) CheckJob(ctx context.Context, from netip.AddrPort, id, workspace string) (bool, error) {
	reply, err := n.body(ctx, from, id, workspace, "")

	return reply.Permitted, err
}

func (n *Node) body(ctx context.Context, from netip.AddrPort, id, workspace, item string) (BodyReply, error) {
	reply := BodyReply{}
	_, err := n.call(ctx, from, "Peer.Body", &BodyRequest{
		Job:       id,
		Workspace: workspace,
		Item:      item,
	}, &reply, time.Now().Add(callTimeout))
	// After a failure the reply may still be written to reply.
	if err != nil {
		return BodyReply{}, err
	}
	if reply.Denied {
		return BodyReply{}, work.ErrUnknown
	}

	return reply, nil
}

// CallStore makes a call to the store through another instance. Failures have code store_unavailable (the call had no
// effect), outcome_unknown, or the code that the other instance returned.
func (n *Node) CallStore(ctx context.Context, through netip.AddrPort, method, path string, body []byte, until time.Time) (int, []byte, error) {
	reply := StoreReply{}
	sent, err := n.call(ctx, through, "Peer.Store", &StoreRequest{
		Method:     method,
		Path:       path,
		Body:       body,
		WaitMillis: max(1, int(time.Until(until).Milliseconds())),
	}, &reply, until.Add(callTimeout/4))
	switch {
	case err != nil && !sent:
		return 0, nil, fault.Wrap(err, fault.CodeStoreUnavailable, "cannot reach another instance")
	case err != nil:
		return 0, nil, fault.Wrap(err, fault.CodeOutcomeUnknown, "the other instance did not answer")
	case reply.Code != "":
		return reply.Status, nil, fault.New(fault.Code(reply.Code), "the other instance got no response from the store")
	default:
		return reply.Status, reply.Body, nil
	}
}

// Reachable reports whether a process accepts connections at an address.
func (n *Node) Reachable(ctx context.Context, a netip.AddrPort) bool {
	c, err := n.dialer.DialContext(ctx, "tcp4", a.String())
	if err != nil {
		return false
	}
	c.Close()

	return true
}

// call fails with code unavailable; sent reports whether the other instance may have received the request.
func (n *Node) call(ctx context.Context, a netip.AddrPort, method string, request, reply any, until time.Time) (sent bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	c, err := n.client(ctx, a)
	if err != nil {
		return false, err
	}
	usable, err := rpccall.Call(ctx, c, method, request, reply)
	if !usable {
		n.removeClient(a, c)
	}

	return true, err
}

func (n *Node) client(ctx context.Context, a netip.AddrPort) (*rpc.Client, error) {
	n.lock.Lock()
	c := n.clients[a]
	n.lock.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := n.dialer.DialContext(ctx, "tcp4", a.String())
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "peer cannot be reached")
	}
	c = rpc.NewClient(conn)
	n.lock.Lock()
	defer n.lock.Unlock()
	if other := n.clients[a]; other != nil {
		c.Close()

		return other, nil
	}
	n.clients[a] = c

	return c, nil
}

func (n *Node) removeClient(a netip.AddrPort, c *rpc.Client) {
	n.lock.Lock()
	if n.clients[a] == c {
		delete(n.clients, a)
	}
	n.lock.Unlock()
	c.Close()
}
