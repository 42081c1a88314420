package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"tarragonwalk/core/fault"
	"tarragonwalk/io/http1"
	"tarragonwalk/io/tcp"
)

// errResent ends an attempt that the transport is about to send again, which it does with some requests without a body if a used connection
// is lost before the response begins. The server may have run the request.
var errResent = fault.Wrap(io.ErrUnexpectedEOF, fault.CodeOutcomeUnknown, "the connection was lost before the response began")

// connection is a pooled connection. It is spent after a refusal and after a response to another request: a faulty server may write
// that response once more, and if it then came in place of the next one, a request that runs would count as refused.
type connection struct {
	*http1.Conn
	// lock guards the fields below.
	lock  sync.Mutex
	spent bool
	// user is the attempt that took the connection last.
	user *attempt
	// unread is set while the server may leave what was sent unread.
	unread bool
}

func dial(
	next func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return &connection{
			Conn: http1.New(c),
		}, nil
	}
}

// take reports whether an attempt may use the connection; it closes a spent one. The transport returns a connection to its pool
// just before it delivers a response without a body, which closing the connection at that moment would lose.
func (c *connection) take(a *attempt) bool {
	c.lock.Lock()
	spent, former := c.spent, c.user
	if !spent {
		c.user = a
	}
	c.lock.Unlock()
	if !spent {
		return true
	}
	if former != a {
		<-former.done
	}
	c.Close()

	return false
}

// allowUnread sets whether the server may leave a request unread for long. Servers may answer before they have read a long body.
func (c *connection) allowUnread(allowed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.unread != allowed && tcp.AllowUnread(c.Conn, allowed) == nil {
		c.unread = allowed
	}
}

// Read counts the bytes of a response's head.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	user := c.user
	c.lock.Unlock()
	if user == nil || n == 0 {
		return n, err
	}
	if failure := user.received(n); failure != nil {
		return 0, failure
	}

	return n, err
}

// Write marks the present attempt as sent before it sends anything.
func (c *connection) Write(p []byte) (int, error) {
	c.lock.Lock()
	user := c.user
	c.lock.Unlock()
	if user != nil {
		user.sent.Store(true)
	}

	return c.Conn.Write(p)
}

// spend lets no further attempt take the connection, and closes it unless another one has taken it already.
func (c *connection) spend(a *attempt) {
	c.lock.Lock()
	c.spent = true
	closes := c.user == a
	c.lock.Unlock()
	if closes {
		c.Close()
	}
}

// retire lets no further attempt take the connection, on which a body may still be read.
func (c *connection) retire() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.spent = true
}

// attempt is one request on one connection.
type attempt struct {
	connection *connection
	method     string
	// long is set if the request has a long body.
	long bool
	// reused is set if an earlier request was sent on the connection.
	reused bool
	// done is closed when the transport has returned the response.
	done chan struct{}
	// unsent is set if the pool returned a spent connection, on which nothing was written.
	unsent bool
	// sent is set before the first bytes of the request are written.
	sent atomic.Bool
	// lock guards the fields below; a budget's lock may be taken while it is held.
	lock sync.Mutex
	// headBytes is the size of the response's head so far. resizeHead and endHead count it in a budget; resizeHead is nil once the head is
	// complete.
	headBytes  int
	resizeHead func(size int) error
	endHead    func()
}

// received records bytes of the response's head.
func (a *attempt) received(n int) error {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.resizeHead == nil {
		return nil
	}
	a.headBytes += n

	return a.resizeHead(a.headBytes)
}

// finish records that the transport has returned.
func (a *attempt) finish() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.endHead()
	a.resizeHead = nil
	close(a.done)
}

// trace returns a context with which the transport reports the connection that it has got for the attempt.
// It cancels the context if the transport is about to send a request again of which bytes were written before.
func (a *attempt) trace(ctx context.Context, cancel context.CancelCauseFunc) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport writes the request after this call, and calls it again if it takes another connection.
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*connection)
			if !ok {
				return
			}
			if a.sent.Load() {
				cancel(errResent)
				// The transport may not look at the context before it writes.
				c.Close()

				return
			}
			a.connection, a.reused = c, info.Reused
			c.Begin(a.method)
			a.unsent = !c.take(a)
			if !a.unsent {
				c.allowUnread(a.long)
			}
		},
	})
}

// failure returns the error of an attempt without a response.
func (a *attempt) failure(err error) error {
	if a.connection == nil {
		return fault.Wrap(err, fault.CodeBackendUnreachable, "cannot connect to the backend server")
	}

	return fault.Wrap(err, fault.CodeOutcomeUnknown, "the backend server did not answer")
}
