package wire

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes or connections that are not counted or counted twice.
func TestCounter(t *testing.T) {
	is := is.New(t)
	c := New()
	l, address, err := c.Listen()
	is.NoErr(err)
	defer l.Close()
	client, err := net.Dial("tcp", address.String())
	is.NoErr(err)
	defer client.Close()
	server, err := l.Accept()
	is.NoErr(err)
	_, err = client.Write([]byte("ping"))
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, 4))
	is.NoErr(err)
	_, err = server.Write([]byte("answer"))
	is.NoErr(err)
	is.Equal(c.Bytes(), 10.0)
	is.Equal(c.Accepted(), 1.0)
	is.Equal(c.Open(), 1.0)
	is.NoErr(server.Close())
	_ = server.Close()
	is.Equal(c.Open(), 0.0)
}
