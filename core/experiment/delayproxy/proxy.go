package delayproxy

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

// Proxy forwards connections to a target and delays the data in both directions.
type Proxy struct {
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

// New starts a proxy on a free loopback port. The links up and down limit the rate to and from the target; a nil link
// sets no limit.
func New(target netip.AddrPort, delay time.Duration, up, down *link.Link) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot listen for a proxy")
	}
	p := &Proxy{
		target:    target,
		delay:     delay,
		up:        up,
		down:      down,
		listener:  l,
		connected: map[net.Conn]struct{}{},
	}
	p.tasks.Go(p.accept)

	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Close closes the listener and all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.lock.Lock()
	p.closed = true
	for c := range p.connected {
		c.Close()
	}
	p.lock.Unlock()
	p.tasks.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target.String())
		if err != nil {
			client.Close()

			continue
		}
		if !p.add(client, upstream) {
			return
		}
		// A real connection needs one round trip for the handshake before its first byte can be sent.
		p.forward(client, upstream, p.up, 2*p.delay)
		p.forward(upstream, client, p.down, 0)
	}
}

func (p *Proxy) add(conns ...net.Conn) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, c := range conns {
		if p.closed {
			c.Close()
		} else {
			p.connected[c] = struct{}{}
		}
	}

	return !p.closed
}

func (p *Proxy) remove(c net.Conn) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.connected, c)
}

func (p *Proxy) forward(from, to net.Conn, rate *link.Link, handshake time.Duration) {
	segments := make(chan segment, segmentLimit)
	p.tasks.Go(func() {
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
				due:  at.Add(p.delay),
			}
		}
	})
	p.tasks.Go(func() {
		broken := false
		for s := range segments {
			time.Sleep(time.Until(s.due))
			if !broken {
				_, err := to.Write(s.data)
				broken = err != nil
			}
		}
		time.Sleep(p.delay)
		to.Close()
		p.remove(to)
	})
}
