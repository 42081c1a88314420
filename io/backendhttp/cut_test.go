package backendhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/io/tcp"
)

// toldByWrite is a connection whose reads, after the first one, wait until the system has told a write of its reset. The write returns after
// the next read, which finds nothing but the end.
type toldByWrite struct {
	*net.TCPConn
	lock   sync.Mutex
	reads  int
	failed chan struct{}
	ended  chan struct{}
}

func (c *toldByWrite) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.ended
	}

	return n, err
}

func (c *toldByWrite) Read(p []byte) (int, error) {
	c.lock.Lock()
	c.reads++
	first := c.reads == 1
	c.lock.Unlock()
	if first {
		return c.TCPConn.Read(p)
	}
	<-c.failed
	defer close(c.ended)

	return c.TCPConn.Read(p)
}

// Guards against a part of an answer that is passed on as a whole one: the server resets the connection while a long request is sent, and the
// system tells the write of it, so that the read of the answer, which has no length, finds nothing but the end.
func TestResetWhileRequestIsSent(t *testing.T) {
	is := is.New(t)
	partRead := make(chan struct{})
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+names.RequestID+": "+r.Header.Get(names.RequestID)+"\r\n\r\npart")
		<-partRead
		_ = tcp.ResetOnClose(conn)
	})
	client := New(names, &departures{}, noBudget(), time.Now)
	defer client.Close()
	client.transport.DialContext = dial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := tcp.NewDialer(dialTimeout).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return &toldByWrite{TCPConn: c.(*net.TCPConn), failed: make(chan struct{}), ended: make(chan struct{})}, nil
	})
	q := newCall()
	q.Body = make([]byte, 16<<20)
	resp, err := client.Send(t.Context(), s, q, 0)
	is.NoErr(err)
	defer resp.Body.Close()
	first := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err)
	is.Equal(string(first), "part")
	close(partRead)
	rest, err := io.ReadAll(resp.Body)
	is.Equal(len(rest), 0)
	is.True(err != nil)
	is.True(!errors.Is(err, net.ErrClosed))
}
