package objectstore_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/io/objectstore"
)

// answerOnce answers the first request, of which it reads the head only, with a function, and closes all further connections.
func answerOnce(t *testing.T, answer func(c net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if first {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				answer(c)
			}
			c.Close()
		}
	}()

	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against a value that is read from bytes which are no answer.
func TestInvalidAnswers(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nX\x01: b\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			a := answerOnce(t, func(c net.Conn) { _, _ = io.WriteString(c, answer) })
			c := objectstore.New(a, 1000, 1000)
			defer c.Close()
			if value, version, err := c.Get(t.Context(), "k"); err == nil {
				t.Errorf("value %q with version %d", value, version)
			}
		})
	}
}

// Guards against an interim answer that is taken for the final one.
func TestInterimAnswer(t *testing.T) {
	is := is.New(t)
	a := answerOnce(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\nok")
	})
	c := objectstore.New(a, 1000, 1000)
	defer c.Close()
	value, version, err := c.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(value), "ok")
	is.Equal(version, int64(7))
}
