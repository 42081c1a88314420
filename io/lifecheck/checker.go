package lifecheck

import (
	"context"
	"net"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/quarantine"
)

const (
	// Timeout bounds an attempt to connect; it allows for two round trips between regions and a busy accept queue.
	Timeout = 300 * time.Millisecond
	// delay lets other instances hear of the loss before they hear that the server lives; a server takes longer to start again.
	delay = 50 * time.Millisecond
	// maxChecks bounds the connections that are attempted at the same time.
	maxChecks = 16
)

// Checker records lost connections in a quarantine, and that a server lives if it accepts another one; its methods may be called
// concurrently.
type Checker struct {
	*quarantine.Quarantine
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time

	// lock guards the servers that are being checked.
	lock    sync.Mutex
	pending map[string]bool
}

// New returns a checker that connects with a dial function.
func New(q *quarantine.Quarantine, dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time) *Checker {
	return &Checker{
		Quarantine: q,
		dial:       dial,
		now:        now,
		pending:    map[string]bool{},
	}
}

// RecordLoss records that the connection of an attempt was lost before anything was answered, and checks the server.
func (c *Checker) RecordLoss(s backend.Server, prompt string, parts []string, at time.Time) {
	c.Quarantine.RecordLoss(s, prompt, parts, at)
	if len(parts) == 0 || !c.begin(s.ID) {
		return
	}
	go func() {
		defer c.end(s.ID)
		c.check(s)
	}()
}

// check connects to a server. A server that has crashed refuses, and one that is cut off leaves the question open.
func (c *Checker) check(s backend.Server) {
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	at := c.now()
	connection, err := c.dial(ctx, "tcp", s.Address.String())
	if err != nil {
		return
	}
	connection.Close()
	c.RecordProgress(s, at, at)
}

func (c *Checker) begin(id string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.pending[id] || len(c.pending) >= maxChecks {
		return false
	}
	c.pending[id] = true

	return true
}

func (c *Checker) end(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.pending, id)
}
