package apiclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// Guards against a submission that the HTTP library sends again after a kept connection was closed without an answer.
func TestLostAnswerIsNotAskedForAgain(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	posts := &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerReads(c, posts)
		}
	}()
	client := New("http://"+l.Addr().String(), "key")
	_, err = client.Get("/a")
	is.NoErr(err)
	_, err = client.Post("/b", []byte("{}"), nil)
	is.Equal(fault.CodeOf(err), fault.CodeUnavailable)
	is.Equal(posts.Load(), int32(1))
}

// answerReads answers each GET on a connection and closes it at the first other request.
func answerReads(c net.Conn, others *atomic.Int32) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method != http.MethodGet {
			others.Add(1)

			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
}
