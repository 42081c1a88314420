package http1

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/io/tcp"
)

// stream is a connection on which a text comes, in reads of some bytes.
type stream struct {
	net.Conn
	io.Reader
}

func (s stream) Read(p []byte) (int, error) { return s.Reader.Read(p) }

// readAll reads a connection on which a text comes to its end, first with whole reads, then with reads of single bytes.
func readAll(t *testing.T, method, text string) (string, error) {
	t.Helper()
	var results []string
	var failures []error
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		c := New(stream{Reader: r})
		c.Begin(method)
		got, err := io.ReadAll(c)
		results, failures = append(results, string(got)), append(failures, err)
	}
	small := New(stream{Reader: strings.NewReader(text)})
	small.Begin(method)
	got, err := io.ReadAll(iotest.OneByteReader(small))
	results, failures = append(results, string(got)), append(failures, err)
	for n := range results {
		if results[n] != results[0] || (failures[n] == nil) != (failures[0] == nil) {
			t.Errorf("results depend on the reads: %q, %v and %q, %v", results[0], failures[0], results[n], failures[n])
		}
	}

	return results[0], failures[0]
}

// Guards against answers that are changed on their way to the library that reads them.
func TestAnswersArePassedOn(t *testing.T) {
	for _, c := range []struct{ name, method, text string }{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: \t b\x80 c\r\n\r\nhello"},
		{"two answers", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 404 \r\ncontent-length: 0\r\n\r\n"},
		{"same length twice", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
		{"until the end", "GET", "HTTP/1.0 200 Fine\r\nX-A:\r\n\r\nwhatever\r\n\x00"},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n00A;x;y=z;q=\"a \\\"b\"\r\n0123456789\r\n0\r\n\r\n"},
		{"trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		{"odd status", "GET", "HTTP/1.1 999 \r\nContent-Length: 0\r\n\r\n"},
		{"another protocol", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\x01\x02"},
		{"nothing", "GET", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := readAll(t, c.method, c.text)
			is.NoErr(err)
			is.Equal(got, c.text)
		})
	}
}

// Guards against an interim answer that is taken for the final one, so that the final one is taken for that to the next request.
func TestInterimAnswersAreLeftOut(t *testing.T) {
	is := is.New(t)
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	got, err := readAll(t, "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+final+"HTTP/1.1 102 \r\n\r\n"+final)
	is.NoErr(err)
	is.Equal(got, final+final)
	got, err = readAll(t, "GET", final+strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 6000)+final)
	is.True(err != nil)
	is.Equal(got, final)
}

// Guards against bytes that are no answer by the grammar, which libraries take for one, or for one with another body.
func TestInvalidBytesEndTheConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunks = ok + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, text string
		// passed is how many bytes are read before the failure.
		passed int
	}{
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", 0},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", 0},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", 12},
		{"signed status", "HTTP/1.1 +20 OK\r\n\r\n", 0},
		{"status line without a blank at its end", "HTTP/1.1 200\r\n\r\n", 12},
		{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", 0},
		{"blank before the status line", " HTTP/1.1 200 OK\r\n\r\n", 0},
		{"empty line before the status line", "\r\n" + ok + "\r\n", 0},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n\r\n", 14},
		{"other version", "HTTP/2.0 200 OK\r\n\r\n", 0},
		{"other protocol", "SSH-2.0-x\r\n", 0},
		{"line ended by LF", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", 15},
		{"CR inside a line", "HTTP/1.1 200 OK\rX\r\n\r\n", 16},
		{"blank in a name", ok + "X A: b\r\n\r\n", len(ok) + 1},
		{"blank after a name", ok + "Content-Length : 5\r\n\r\nhello", len(ok) + 14},
		{"control byte in a name", ok + "X\x01A: b\r\n\r\n", len(ok) + 1},
		{"byte over 127 in a name", ok + "X\x80A: b\r\n\r\n", len(ok) + 1},
		{"empty name", ok + ": b\r\n\r\n", len(ok)},
		{"line without a colon", ok + "Xab\r\n\r\n", len(ok) + 3},
		{"folded line", ok + "X: a\r\n b\r\n\r\n", len(ok) + 6},
		{"control byte in a value", ok + "X: a\x00\r\n\r\n", len(ok) + 4},
		{"DEL in a value", ok + "X: a\x7f\r\n\r\n", len(ok) + 4},
		{"name with a blank in an interim answer", "HTTP/1.1 103 Hints\r\nX A: b\r\n\r\n" + ok + "\r\n", 0},
		{"two lengths", ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", len(ok) + 37},
		{"list of lengths", ok + "Content-Length: 5, 5\r\n\r\nhello", len(ok) + 21},
		{"signed length", ok + "Content-Length: +5\r\n\r\nhello", len(ok) + 19},
		{"empty length", ok + "Content-Length:\r\n\r\nhello", len(ok) + 16},
		{"length out of range", ok + "Content-Length: 9223372036854775808\r\n\r\n", len(ok) + 36},
		{"long length", ok + "Content-Length: 00000000000000000000000000000000005\r\n\r\nhello", len(ok) + 52},
		{"length beside chunks", ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(ok) + 48},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(ok) + 29},
		{"unknown coding", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", len(ok) + 33},
		{"coding twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", len(ok) + 55},
		{"no chunk size", chunks + "\r\nhello\r\n", len(chunks) + 1},
		{"signed chunk size", chunks + "+5\r\nhello\r\n", len(chunks) + 3},
		{"chunk size with a prefix", chunks + "0x5\r\nhello\r\n", len(chunks) + 4},
		{"chunk size followed by a blank", chunks + "5 \r\nhello\r\n", len(chunks) + 3},
		{"chunk size out of range", chunks + "8000000000000000\r\nhello\r\n", len(chunks) + 17},
		{"chunk line ended by LF", chunks + "5\nhello\r\n", len(chunks) + 1},
		{"chunk extension without a name", chunks + "5;\r\nhello\r\n", len(chunks) + 3},
		{"chunk extension with an open quote", chunks + "5;a=\"b\r\nhello\r\n", len(chunks) + 7},
		{"control byte in a chunk extension", chunks + "5;a\x01\r\nhello\r\n", len(chunks) + 3},
		{"chunk longer than its size", chunks + "5\r\nhello!\r\n", len(chunks) + 8},
		{"chunk ended by LF", chunks + "5\r\nhello\n", len(chunks) + 8},
		{"name with a blank in a trailer", chunks + "0\r\nX A: b\r\n\r\n", len(chunks) + 4},
		{"control byte in a trailer", chunks + "0\r\nX: \x02\r\n\r\n", len(chunks) + 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := readAll(t, "GET", c.text)
			is.True(err != nil)
			is.Equal(got, c.text[:c.passed])
		})
	}
}

// Guards against an answer that breaks off and looks complete.
func TestEndInsideAnswer(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
	} {
		for n := range len(text) {
			_, err := readAll(t, "GET", text[:n])
			if (err == nil) != (n == 0) {
				t.Errorf("%q: %v", text[:n], err)
			}
		}
	}
}

// pair returns the two ends of a connection.
func pair(t *testing.T) (own, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	p, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { c.Close(); p.Close() })

	return c.(*net.TCPConn), p.(*net.TCPConn)
}

// Guards against a body without a length that looks complete since the system has told a write of the reset, and a read of nothing but the
// end; and against one that is taken for cut since its server was still sent a request when it had ended the connection in order.
func TestResetEndsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	reset := func(peer *net.TCPConn) { _ = peer.SetLinger(0); peer.Close() }
	for _, c := range []struct {
		name string
		end  func(peer *net.TCPConn)
		// write is how the client writes before it reads.
		write func(own *net.TCPConn, c *Conn) error
		told  error
		cut   bool
	}{
		{"read is told", reset, nil, nil, true},
		{"write is told", reset, func(_ *net.TCPConn, c *Conn) error { _, err := c.Write([]byte("x")); return err }, syscall.ECONNRESET, true},
		{"write is told and has not returned", reset, func(own *net.TCPConn, _ *Conn) error { _, err := own.Write([]byte("x")); return err }, syscall.ECONNRESET, true},
		{"ended in order", func(peer *net.TCPConn) { peer.Close() }, nil, nil, false},
		{
			"ended in order, reset since it was sent more",
			func(peer *net.TCPConn) { peer.Close() },
			func(own *net.TCPConn, c *Conn) error {
				_, err := c.Write([]byte("x"))
				waitClosed(own)

				return err
			}, nil, false,
		},
		{
			"ended in order, write is told of the reset",
			func(peer *net.TCPConn) { peer.Close() },
			func(own *net.TCPConn, c *Conn) error {
				_, _ = c.Write([]byte("x"))
				waitClosed(own)
				_, err := c.Write([]byte("x"))

				return err
			}, syscall.EPIPE, false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			own, peer := pair(t)
			conn := New(own)
			_, err := io.WriteString(peer, head+"part")
			is.NoErr(err)
			_, err = io.ReadFull(conn, make([]byte, len(head+"part")))
			is.NoErr(err)
			c.end(peer)
			if c.cut {
				waitClosed(own)
			}
			if c.write != nil {
				is.True(errors.Is(c.write(own, conn), c.told))
			}
			_, err = conn.Read(make([]byte, 100))
			is.True(err != nil)
			is.Equal(!errors.Is(err, io.EOF), c.cut)
		})
	}
}

// waitClosed waits until the system has received a reset.
func waitClosed(c *net.TCPConn) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if closed, _ := tcp.Closed(c); closed {
			return
		}
	}
}
