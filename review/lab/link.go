package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a TCP proxy with a one-way delay and a bandwidth for all its connections together in each direction. While it is dark it
// passes nothing on, in either direction, and neither closes nor resets a connection, as a machine without power.
type link struct {
	listener net.Listener
	target   string
	delay    time.Duration
	dark     atomic.Bool
	up, down *lane
}

// lane is one direction of a link.
type lane struct {
	lock sync.Mutex
	// bytesPerSecond is 0 for no limit.
	bytesPerSecond float64
	freeAt         time.Time
}

func newLink(address, target string, delay time.Duration, megabits float64) (*link, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	k := &link{
		listener: l,
		target:   target,
		delay:    delay,
		up: &lane{
			bytesPerSecond: megabits * 1e6 / 8,
		},
		down: &lane{
			bytesPerSecond: megabits * 1e6 / 8,
		},
	}
	go k.accept()

	return k, nil
}

func (k *link) address() string {
	return k.listener.Addr().String()
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	if k.dark.Load() {
		return
	}
	t, err := net.Dial("tcp4", k.target)
	if err != nil {
		if !k.dark.Load() {
			c.Close()
		}

		return
	}
	go k.pass(t, c, k.up)
	k.pass(c, t, k.down)
}

type piece struct {
	bytes []byte
	due   time.Time
}

// pass copies from one connection to another until either ends; the other one is closed then, unless the link is dark.
func (k *link) pass(to, from net.Conn, n *lane) {
	queue := make(chan piece, 64)
	go func() {
		for p := range queue {
			time.Sleep(time.Until(p.due))
			if k.dark.Load() {
				continue
			}
			if _, err := to.Write(p.bytes); err != nil {
				break
			}
		}
		for range queue {
		}
		if !k.dark.Load() {
			to.Close()
			from.Close()
		}
	}()
	defer close(queue)
	for {
		b := make([]byte, 16<<10)
		m, err := from.Read(b)
		if m > 0 {
			queue <- piece{
				bytes: b[:m],
				due:   n.take(m).Add(k.delay),
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}

			return
		}
	}
}

// take waits until bytes may be sent and returns when they have left.
func (n *lane) take(m int) time.Time {
	n.lock.Lock()
	defer n.lock.Unlock()
	at := time.Now()
	if n.bytesPerSecond == 0 {
		return at
	}
	if n.freeAt.Before(at) {
		n.freeAt = at
	}
	n.freeAt = n.freeAt.Add(time.Duration(float64(m) / n.bytesPerSecond * float64(time.Second)))
	// The sender is held back like by a small window.
	if ahead := time.Until(n.freeAt); ahead > 20*time.Millisecond {
		time.Sleep(ahead - 20*time.Millisecond)
	}

	return n.freeAt
}
