package streams

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/fault"
)

// tokenTime separates the tokens, so that each is read individually, as with a real engine.
const tokenTime = 2 * time.Millisecond

// source is a stand-in engine that uses little processor time: it answers each request with the same prebuilt tokens.
type source struct {
	listener net.Listener
	address  netip.AddrPort
	head     []byte
	events   [][]byte
	serving  conc.WaitGroup
}

func newSource(tokens int) (*source, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeUnavailable, "cannot listen on loopback")
	}
	s := &source{
		listener: l,
		address:  netip.MustParseAddrPort(l.Addr().String()),
		head:     []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"),
	}
	for n := 1; n <= tokens; n++ {
		finish := ""
		if n == tokens {
			finish = `,"finish_reason":"stop"`
		}
		event := fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\" mould\"},\"index\":0%s}],\"created\":1764806400,"+
			"\"id\":\"0123456789abcdef0123456789abcdef\",\"model\":\"model-0\",\"object\":\"chat.completion.chunk\"}\n\n", n, finish)
		if n == tokens {
			event += "data: [DONE]\n\n"
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if n == tokens {
			chunk += "0\r\n\r\n"
		}
		s.events = append(s.events, []byte(chunk))
	}
	s.serving.Go(s.serve)

	return s, nil
}

func (s *source) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() { s.answer(c) })
	}
}

func (s *source) answer(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if _, err := c.Write(s.head); err != nil {
			return
		}
		for _, e := range s.events {
			time.Sleep(tokenTime)
			if _, err := c.Write(e); err != nil {
				return
			}
		}
	}
}

// read sends one request over a new connection and reads the whole answer without parsing it.
func (s *source) read(request []byte) error {
	c, err := net.Dial("tcp", s.address.String())
	if err != nil {
		return fault.Wrap(err, fault.CodeUnavailable, "cannot connect on loopback")
	}
	defer c.Close()
	if _, err := c.Write(request); err != nil {
		return fault.Wrap(err, fault.CodeUnavailable, "cannot send on loopback")
	}
	left := len(s.head)
	for _, e := range s.events {
		left += len(e)
	}
	buffer := make([]byte, 4096)
	for left > 0 {
		n, err := c.Read(buffer)
		if err != nil {
			return fault.Wrap(err, fault.CodeUnavailable, "cannot read on loopback")
		}
		left -= n
	}

	return nil
}

// close closes the listener and waits for the connections, which clients must have closed before.
func (s *source) close() {
	s.listener.Close()
	s.serving.Wait()
}
