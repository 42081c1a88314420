package operator

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log line that calls a request unhandled although it was answered, on a connection that ends with the answer.
func TestAnsweredRequestIsNotLoggedAsUnhandled(t *testing.T) {
	is := is.New(t)
	f := &fake{current: configured(1)}
	lines, writer := io.Pipe()
	logged := make(chan string, 1)
	go func() {
		text, _ := io.ReadAll(lines)
		logged <- string(text)
	}()
	s := New(f, f, nil, nil, nil, hash("first"), slog.New(slog.NewTextHandler(writer, &slog.HandlerOptions{Level: slog.LevelDebug})), time.Now)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/admin/v1/configuration", nil)
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer read")
	r.Close = true
	p, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, p.Body)
	is.NoErr(err)
	is.NoErr(p.Body.Close())
	is.NoErr(s.Shutdown(t.Context())) // returns when the connection has ended
	<-ended
	is.NoErr(writer.Close())
	is.True(!strings.Contains(<-logged, "before its request was handled"))
}
