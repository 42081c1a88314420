package drain

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a stopping process that goes on taking connections, or loses those that the kernel has accepted for it.
func TestRefuseNew(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	early, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer early.Close()
	is.NoErr(RefuseNew(l))
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(errors.Is(err, unix.ECONNREFUSED))
	_, err = io.WriteString(early, "x")
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1))
	is.NoErr(err)
}
