package instance_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/sys/unix"

	"tarragonwalk/internal/fleet"
	"tarragonwalk/io/openai"
	"tarragonwalk/io/standin/engine"
)

// reuseTime is how long after an answer its connection has to stay open if the answer does not announce that it closes.
const reuseTime = 250*time.Millisecond - clockTick

// clockTick is the precision of the times that the kernel tells of a connection.
const clockTick = 10 * time.Millisecond

// errNotSent is the error of a request whose connection is refused, or was closed as idle before it arrived.
var errNotSent = errors.New("the request was not sent")

// looping is a caller that sends one request after the other on a connection as long as it stays open. Unlike the client of the
// API, it looks before each request whether the instance has closed the connection, as callers have to who were idle for a while.
type looping struct {
	address    string
	connection *net.TCPConn
	reader     *bufio.Reader
	// answers counts the complete answers on the connection.
	answers int
	// closedIdle counts the connections that were found closed.
	closedIdle int
	// crossed counts the requests that arrived after their idle connection was closed.
	crossed int
}

func (l *looping) open() error {
	if l.connection != nil && !closedByPeer(l.connection) {
		return nil
	}
	if l.connection != nil {
		l.closedIdle++
		_, idle, err := kernelState(l.connection)
		l.connection.Close()
		l.connection = nil
		if err != nil || idle < reuseTime {
			return fmt.Errorf("the connection was closed within %s of an answer that did not announce it", idle)
		}
	}
	c, err := net.Dial("tcp", l.address)
	if errors.Is(err, unix.ECONNREFUSED) {
		return errors.Join(errNotSent, err)
	}
	if err != nil {
		return err
	}
	l.connection = c.(*net.TCPConn)
	l.reader = bufio.NewReader(c)
	l.answers = 0

	return nil
}

// closedByPeer reports whether the peer has closed a connection on which nothing is to be read.
func closedByPeer(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n <= 0 && !errors.Is(err, unix.EAGAIN)
	})

	return err != nil || closed
}

// kernelState returns how many bytes the peer's kernel has taken from a connection, and the time since bytes last arrived on it,
// which the caller may have read later.
func kernelState(c *net.TCPConn) (acknowledged uint64, idle time.Duration, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, failure); err != nil {
		return 0, 0, err
	}

	return info.Bytes_acked, time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

// send returns the tokens of the complete answer. After a failure the connection is not used again.
func (l *looping) send(body []byte, id string) (string, error) {
	if err := l.open(); err != nil {
		return "", err
	}
	before, _, err := kernelState(l.connection)
	if err != nil {
		return "", err
	}
	kept := l.answers > 0
	text, err := l.exchange(body, id)
	if err == nil {
		return text, nil
	}
	after, idle, failure := kernelState(l.connection)
	switch {
	case failure != nil:
		err = errors.Join(err, failure)
	case after == before && kept && idle >= reuseTime:
		l.crossed++
		err = errors.Join(errNotSent, err)
	default:
		err = fmt.Errorf("%w; kept connection: %t, idle for %s, %d bytes acknowledged", err, kept, idle, after-before)
	}
	l.connection.Close()
	l.connection = nil

	return text, err
}

func (l *looping) exchange(body []byte, id string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://entry/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+keyA)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	if err := r.Write(l.connection); err != nil {
		return "", err
	}
	p, err := http.ReadResponse(l.reader, r)
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	answer, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d, %w", p.StatusCode, err)
	}
	l.answers++
	text, done := strings.Builder{}, false
	for line := range strings.Lines(string(answer)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			done = done || ok

			continue
		}
		chunk := openai.ChatChunk{}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if !done {
		return "", errors.New("the stream ended before its answer was complete")
	}
	if p.Close {
		l.connection.Close()
		l.connection = nil
	}

	return text.String(), nil
}

// Guards against a planned stop that cuts requests. Callers keep sending while the instance stops. A request whose connection
// is refused, or has been idle and is closed before any byte of the request arrives, is not cut; every other one has to get its
// complete answer.
func TestStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	const callers = 12
	is := is.New(t)
	f := startFleet(t, 3)
	answered, refused, closedIdle, crossed, cut := atomic.Int64{}, atomic.Int64{}, atomic.Int64{}, atomic.Int64{}, atomic.Int64{}
	done := atomic.Bool{}
	p := pool.New()
	address := f.Instances["entry-1"].CallerAddress().String()
	for n := range callers {
		p.Go(func() {
			c := &looping{address: address}
			for k := 0; !done.Load(); k++ {
				r, body := newRequest(fmt.Sprintf("Note %d of caller %d", k, n), 10+n*10)
				began := time.Now()
				text, err := c.send(body, fmt.Sprintf("r-%d-%d", n, k))
				want, _, _ := engine.Answer(r)
				switch {
				case err == nil && text == want:
					answered.Add(1)
				case errors.Is(err, errNotSent):
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
				default:
					cut.Add(1)
					t.Logf("caller %d, request %d: %q, %v after %s", n, k, text, err, time.Since(began))
				}
			}
			closedIdle.Add(int64(c.closedIdle))
			crossed.Add(int64(c.crossed))
		})
	}
	is.NoErr(fleet.Await(func() bool { return answered.Load() >= callers }))
	before := answered.Load()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(f.Stop(ctx, "entry-1"))
	done.Store(true)
	p.Wait()
	t.Logf("%d answered, %d of them during the stop, %d not sent, %d of them after the close of an idle connection, "+
		"%d connections found closed, %d cut", answered.Load(), answered.Load()-before, refused.Load(), crossed.Load(),
		closedIdle.Load(), cut.Load())
	is.Equal(cut.Load(), int64(0))
}

// Guards against a request that is cut at a planned stop because its connection was in use when the stop began: the response in
// progress could not announce that the connection would close, and the caller uses it again at once.
func TestStopAnswersReusedConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3)
	c, err := net.Dial("tcp", f.Instances["entry-1"].CallerAddress().String())
	is.NoErr(err)
	defer c.Close()
	reader := bufio.NewReader(c)
	send := func(tokens int) {
		t.Helper()
		_, body := newRequest("Note", tokens)
		r, err := http.NewRequest(http.MethodPost, "http://entry/v1/chat/completions", bytes.NewReader(body))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+keyA)
		r.Header.Set("Content-Type", "application/json")
		is.NoErr(r.Write(c))
	}
	read := func() (closes bool) {
		t.Helper()
		r, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		defer r.Body.Close()
		is.Equal(r.StatusCode, http.StatusOK)
		text, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(text), "[DONE]"))

		return r.Close
	}
	send(400) // takes four times the time in which a stopping instance still accepts requests
	is.NoErr(fleet.Await(func() bool {
		running := 0
		for _, e := range f.Engines {
			n, _ := e.Running()
			running += n
		}

		return running == 1
	}))
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		stopped <- f.Stop(ctx, "entry-1")
	}()
	is.True(!read())
	send(10)
	is.True(read()) // this response announces that the connection closes
	is.NoErr(<-stopped)
}
