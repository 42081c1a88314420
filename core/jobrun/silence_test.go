package jobrun

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/load"
	"tarragonwalk/core/response"
	servers "tarragonwalk/core/roster"
	"tarragonwalk/core/work"
)

// silentServer sends a number of events of each request and then nothing.
type silentServer int

func (s silentServer) Send(ctx context.Context, _ backend.Server, _ *call.Call, after int64) (*response.Response, error) {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	events := strings.Builder{}
	for n := after + 1; n <= after+int64(s); n++ {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", n)
	}

	return &response.Response{Status: http.StatusOK, Body: struct {
		io.Reader
		io.Closer
	}{io.MultiReader(strings.NewReader(events.String()), r), r}}, nil
}

// Guards against a server that gets no requests for a while because it was silent for one item while it answered others.
func TestSilenceForOneItem(t *testing.T) {
	for _, c := range []struct {
		name   string
		server silentServer
		// others is whether the server sends events of other requests.
		others bool
		usable int
	}{
		{"before the first event, others are answered", 0, true, 1},
		{"after some events, others are answered", 2, true, 1},
		{"before the first event, for all", 0, false, 0},
		{"after some events, for all", 2, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r, stop := newFleet(1, 0).start("e1")
				stop()
				server := backend.Server{ID: "w", Service: "s", Slots: 8}
				list := servers.New("e1", "a", load.New(), slog.New(slog.DiscardHandler))
				list.Observe([]backend.Server{server}, 1, false, time.Now())
				r.roster, r.sender = list, c.server
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				defer func() { <-done }()
				defer cancel()
				go func() {
					defer close(done)
					for c.others && ctx.Err() == nil {
						time.Sleep(100 * time.Millisecond)
						list.RecordProgress(server.ID, time.Now())
					}
				}()
				it := &item{state: running, startedAt: time.Now(), progressAt: time.Now()}
				r.runItem(ctx, newJob(work.Job{ID: "j"}, nil), it, &testRoute, server)
				is.Equal(it.last, int64(c.server))
				is.Equal(it.state, waiting)
				is.Equal(len(list.Usable("s", time.Now())), c.usable)
			})
		})
	}
}
