package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/experiment/link"
	"tarragonwalk/core/fault"
)

const (
	bufferBytes = 16 << 10
	// segmentLimit bounds the segments in transit in one direction of a connection.
	segmentLimit = 1024
)

// Relay forwards connections to a target and delays the data in both directions.
type Relay struct {
	target    netip.AddrPort
	delay     time.Duration
	up, down  *link.Link
	listener  net.Listener
	tasks     sync.WaitGroup
	lock      sync.Mutex
	closed    bool
	connected map[net.Conn]struct{}
}

type segment struct {
	data []byte
	due  time.Time
}

// New starts a relay on a free loopback port. The links up and down limit the rate to and from the target; a nil link
// sets no limit.
func New(target netip.AddrPort, delay time.Duration, up, down *link.Link) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot listen for a relay")
	}
	r := &Relay{
		target:    target,
		delay:     delay,
		up:        up,
		down:      down,
		listener:  l,
		connected: map[net.Conn]struct{}{},
	}
	r.tasks.Go(r.accept)

	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// Close closes the listener and all connections and waits for their goroutines.
func (r *Relay) Close() {
	r.listener.Close()
	r.lock.Lock()
	r.closed = true
	for c := range r.connected {
		c.Close()
	}
	r.lock.Unlock()
	r.tasks.Wait()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target.String())
		if err != nil {
			client.Close()

			continue
		}
		if !r.add(client, upstream) {
			return
		}
		// A real connection needs one round trip for the handshake before its first byte can be sent.
		r.forward(client, upstream, r.up, 2*r.delay)
		r.forward(upstream, client, r.down, 0)
	}
}

func (r *Relay) add(conns ...net.Conn) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, c := range conns {
		if r.closed {
			c.Close()
		} else {
			r.connected[c] = struct{}{}
		}
	}

	return !r.closed
}

func (r *Relay) remove(c net.Conn) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.connected, c)
}

func (r *Relay) forward(from, to net.Conn, rate *link.Link, handshake time.Duration) {
	segments := make(chan segment, segmentLimit)
	r.tasks.Go(func() {
		defer close(segments)
		buffer := make([]byte, bufferBytes)
		established := time.Now().Add(handshake)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			at := time.Now()
			if at.Before(established) {
				at = established
			}
			if rate != nil {
				at = rate.Reserve(n, at)
			}
			segments <- segment{
				data: append([]byte(nil), buffer[:n]...),
				due:  at.Add(r.delay),
			}
		}
	})
	r.tasks.Go(func() {
		broken := false
		for p := range segments {
			time.Sleep(time.Until(p.due))
			if !broken {
				_, err := to.Write(p.data)
				broken = err != nil
			}
		}
		time.Sleep(r.delay)
		to.Close()
		r.remove(to)
	})
}
