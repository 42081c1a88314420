package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// Guards against a status that ends no request and is passed on: the caller's connection is closed without an answer, or it waits for one.
func TestStatusIsFinal(t *testing.T) {
	for _, c := range []struct {
		status string
		code   fault.Code
	}{
		{"000 None", fault.CodeOutcomeUnknown},
		{"099 None", fault.CodeOutcomeUnknown},
		{"101 Switching Protocols", fault.CodeOutcomeUnknown},
		{"200 OK", ""},
		{"599 Odd", ""},
		{"999 Odd", ""},
	} {
		t.Run(c.status, func(t *testing.T) {
			is := is.New(t)
			s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				id, err := readRequest(reader)
				if err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", c.status, names.RequestID, id)
				}
			})
			client := New(names, &departures{}, noBudget(), time.Now)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := client.Send(ctx, s, newCall(), 0)
			is.Equal(fault.CodeOf(err), c.code)
			if err == nil {
				resp.Body.Close()
			}
		})
	}
}
