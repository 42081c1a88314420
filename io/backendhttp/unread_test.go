package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/call"
)

// Guards against an answer that is cut because the server has left a long body unread for some seconds, before it answers or meanwhile.
func TestUnreadBodyCutsNoAnswer(t *testing.T) {
	const size, parts, pause = 1 << 20, 35, 100 * time.Millisecond
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			q, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if q.Header.Get("X-Late") != "" {
				time.Sleep(parts * pause)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", names.RequestID, q.Header.Get(names.RequestID), parts)
			for range parts {
				if q.Header.Get("X-Late") == "" {
					time.Sleep(pause)
				}
				_, _ = io.WriteString(conn, "x")
			}
			if n, err := io.Copy(io.Discard, q.Body); err != nil || n != size {
				t.Errorf("the server read %d bytes: %v", n, err)

				return
			}
		}
	})
	client := New(names, &departures{}, noBudget(), time.Now)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var group pool.Pool
	for _, header := range []http.Header{{}, {"X-Late": {"1"}}} {
		group.Go(func() {
			q := &call.Call{ID: fmt.Sprint("r", len(header)), Method: http.MethodPost, Target: "/", Host: "h", Header: header, Body: make([]byte, size)}
			resp, err := client.Send(ctx, s, q, 0)
			if err != nil {
				t.Errorf("late %v: %v", header, err)

				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || len(body) != parts {
				t.Errorf("late %v: %d bytes of the answer: %v", header, len(body), err)
			}
		})
	}
	group.Wait()
}
