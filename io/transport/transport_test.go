package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serve answers each request on its connections with what a function writes, and returns the address.
func serve(t *testing.T, answer func(c net.Conn, path string)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer(c, q.URL.Path)
				}
			}()
		}
	}()

	return netip.MustParseAddrPort(l.Addr().String())
}

// get returns the status and body of a path.
func get(t *testing.T, tr *Transport, a netip.AddrPort, path string) (status int, body string, err error) {
	t.Helper()
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.SetRequestURI(path)
	_, err = tr.Do(t.Context(), a, q, 5*time.Second, 1<<10, func(p *fasthttp.Response, _ func(time.Duration)) error {
		status, body = p.StatusCode(), string(p.Body())

		return nil
	})

	return status, body, err
}

// Guards against an interim answer that is taken for the final one, and a final one that is taken for the answer to the next request.
func TestInterimAnswers(t *testing.T) {
	is := is.New(t)
	a := serve(t, func(c net.Conn, path string) {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
	})
	tr := New()
	defer tr.Close()
	for _, path := range []string{"/a", "/bc", "/def"} {
		status, body, err := get(t, tr, a, path)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, path)
	}
}

// Guards against bytes that are no answer by the grammar of HTTP and are taken for one.
func TestInvalidAnswers(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: \x02\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		strings.Repeat("x", 100) + "\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			a := serve(t, func(c net.Conn, _ string) {
				_, _ = io.WriteString(c, answer)
				c.Close()
			})
			tr := New()
			defer tr.Close()
			if status, body, err := get(t, tr, a, "/"); err == nil {
				t.Errorf("answer with status %d and body %q", status, body)
			}
		})
	}
}
