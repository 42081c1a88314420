package delayproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/experiment/link"
)

// Guards against a delay that loses or reorders bytes, and against connections that stay open after Close.
func TestForwardsInOrder(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
			c.Close()
		}
	}()
	r, err := New(netip.MustParseAddrPort(l.Addr().String()), 1000, link.New(10<<20), link.New(10<<20))
	is.NoErr(err)
	c, err := net.Dial("tcp", r.Address().String())
	is.NoErr(err)
	sent := make([]byte, 100_000)
	for n := range sent {
		sent[n] = byte(n % 251)
	}
	go func() { _, _ = c.Write(sent) }()
	got := make([]byte, len(sent))
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.Equal(got, sent)
	r.Close()
	_, err = c.Read(got)
	is.True(err != nil)
	c.Close()
}
