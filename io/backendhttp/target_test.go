package backendhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
)

// Guards against a request that reaches the backend server with another path, query or host than its caller sent.
func TestTargetIsForwardedByteForByte(t *testing.T) {
	lines := make(chan string, 1)
	s := rawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		host, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		lines <- strings.TrimSpace(line) + " " + strings.TrimSpace(host)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 204 No Content\r\n%s: 1\r\nConnection: close\r\n\r\n", names.RequestID)
		_, _ = io.Copy(io.Discard, reader)
	})
	client := New(names, &departures{}, noBudget(), time.Now)
	defer client.Close()
	for _, c := range []struct {
		target  string
		forward bool
	}{
		{"/", true},
		{"/x", true},
		{"//other/x", true},
		{"//other", true},
		{"///x", true},
		{"////", true},
		{"//other/x?y=//z", true},
		{"//a%2Fb/%41", true},
		{"//user:pw@other:80/x", true},
		{"/a//b", true},
		{"/a%2Fb", true},
		{"/a%2fb%20c", true},
		{"/.", true},
		{"/../x", true},
		{"//../x", true},
		{"/a?", true},
		{"/?", true},
		{"/a??b", true},
		{"/a;b=c?d;e", true},
		{"/a:b", true},
		{"/%", true},
		{"/%zz", true},
		{"/a+b|c", true},
		{"/a\xff\xfe", true},
		{"/\u00e9?\u00e9", true},
		{"/a#b", true},
		// These cannot be told from a host and a path, or are not paths.
		{"//%zz", false},
		{"//a\xff", false},
		{"//a|b", false},
		{"*", false},
		{"http://other/x", false},
		{"other:80", false},
		{"", false},
	} {
		t.Run(c.target, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CanForward(c.target), c.forward)
			if !c.forward {
				return
			}
			resp, err := client.Send(t.Context(), s, &call.Call{ID: "1", Method: http.MethodPost, Target: c.target, Host: "h.example", Header: http.Header{}}, 0)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(<-lines, "POST "+c.target+" HTTP/1.1 Host: h.example")
		})
	}
}
