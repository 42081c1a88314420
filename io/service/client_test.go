package service

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	standin "tarragonwalk/io/standin/service"
)

// Guards against a call that runs twice, and against code backend_unreachable for a call that may have run.
func TestCall(t *testing.T) {
	cases := []struct {
		name   string
		before func(*standin.Service)
		method string
		path   string
		code   fault.Code
		runs   int
	}{
		{name: "answered", path: "/a?x=1", runs: 1},
		{name: "lost", path: "/a", before: func(s *standin.Service) { s.LoseAnswers(1) }, code: fault.CodeOutcomeUnknown, runs: 1},
		{name: "lost get", method: "GET", path: "/a", before: func(s *standin.Service) { s.LoseAnswers(1) }, code: fault.CodeOutcomeUnknown, runs: 1},
		{name: "late", path: "/a", before: func(s *standin.Service) { s.Delay(time.Second) }, code: fault.CodeOutcomeUnknown, runs: 1},
		{name: "silent", path: "/a", before: func(s *standin.Service) { s.Silence() }, code: fault.CodeOutcomeUnknown},
		{name: "refused", path: "/a", before: func(s *standin.Service) { _ = s.Refuse(true) }, code: fault.CodeBackendUnreachable},
		{name: "crashed", path: "/a", before: func(s *standin.Service) { s.Crash() }, code: fault.CodeBackendUnreachable},
		{name: "second request in the path", path: "/a HTTP/1.1\r\nX: y", code: fault.CodeInvalid},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := standin.New()
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c := New(500 * time.Millisecond)
			defer c.Close()
			a := netip.MustParseAddrPort(l.Addr().String())
			_, _, err = c.Call(context.Background(), a, "POST", "/warm", nil, nil) // Leaves a connection in the pool.
			is.NoErr(err)
			if k.before != nil {
				k.before(s)
				time.Sleep(20 * time.Millisecond) // Gives the client time to notice a closed connection.
			}
			if k.method == "" {
				k.method = "POST"
			}
			status, answer, err := c.Call(context.Background(), a, k.method, k.path, map[string]string{
				"Idempotency-Key": "k",
				"Content-Length":  "1",
			}, []byte("abc"))
			is.Equal(fault.CodeOf(err), k.code)
			if k.code == "" {
				is.Equal(status, 200)
				is.Equal(string(answer), "abc")
			}
			deadline := time.Now().Add(3 * time.Second)
			for s.Keys()["k"] < k.runs && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			is.Equal(s.Keys()["k"], k.runs)
			is.Equal(s.Paths()["/a"], k.runs)
		})
	}
}
