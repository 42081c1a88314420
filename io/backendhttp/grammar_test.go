package backendhttp

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// Guards against bytes that are no answer by the grammar of HTTP and are passed on as one, in part or as another body, or taken for a refusal,
// so that a request which runs counts as not run.
func TestInvalidAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
	const refusal = "X-Id: r1\r\nX-Not-Run: 1\r\n"
	for _, c := range []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 None\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"},
		{"name with a blank", head + "X A: b\r\nContent-Length: 2\r\n\r\nok"},
		{"length whose name ends with a blank", head + "Content-Length : 2\r\n\r\nok"},
		{"coding whose name ends with a blank", head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"name with a control byte", head + "X\x01A: b\r\nContent-Length: 2\r\n\r\nok"},
		{"empty name", head + ": b\r\nContent-Length: 2\r\n\r\nok"},
		{"value with a control byte", head + "X-A: b\x02\r\nContent-Length: 2\r\n\r\nok"},
		{"reason with a control byte", "HTTP/1.1 200 O\x02K\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"},
		{"other version", "HTTP/3.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"},
		{"lines ended by LF", strings.ReplaceAll(head+"Content-Length: 2\r\n\r\nok", "\r\n", "\n")},
		{"length beside chunks", head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"invalid interim answer", "HTTP/1.1 103 Hints\r\nX A: b\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"},
		{"interim status line with a control byte", "HTTP/1.1 100 \x01\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"},
		{"invalid chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n2;\x01\r\nok\r\n0\r\n\r\n"},
		{"blank after a chunk size", head + "Transfer-Encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n"},
		{"name with a blank in a trailer", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n"},
		{"refusal with an invalid field", "HTTP/1.1 503 Full\r\n" + refusal + "X A: b\r\nContent-Length: 0\r\n\r\n"},
		{"refusal with an invalid interim answer", "HTTP/1.1 103 Hints\r\n: b\r\n\r\nHTTP/1.1 503 Full\r\n" + refusal + "Content-Length: 0\r\n\r\n"},
		{"another server with an invalid field", "HTTP/1.1 421 Misdirected\r\nX-Id: r1\r\nX A: b\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := readRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			client := New(names, &departures{}, noBudget(), time.Now)
			defer client.Close()
			resp, err := client.Send(t.Context(), s, newCall(), 0)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				is.True(err != nil)
			} else {
				is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
			}
		})
	}
}

// Guards against a departure that is taken from bytes which are no answer.
func TestDepartureInInvalidAnswer(t *testing.T) {
	is := is.New(t)
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nX A: b\r\nContent-Length: 0\r\n\r\n")
		}
	})
	d := &departures{}
	client := New(names, d, noBudget(), time.Now)
	defer client.Close()
	_, err := client.Send(t.Context(), s, newCall(), 0)
	is.True(err != nil)
	is.Equal(len(d.list), 0)
}
