package forward

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
	"tarragonwalk/core/route"
)

// Guards against responses without a log line, so that a caller's complaint cannot be explained, and against ordinary responses
// whose log lines displace those of late and repeated ones.
func TestResponsesAreLogged(t *testing.T) {
	for _, c := range []struct {
		name    string
		target  int
		replies []reply
		level   string
		late    bool
	}{
		{"on time", 10000, []reply{{status: 200, body: "ok"}}, "DEBUG", false},
		{"late", 1, []reply{{status: 200, body: "ok"}}, "INFO", true},
		{"second attempt", 10000, []reply{{err: refused}, {status: 200, body: "ok"}}, "INFO", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{replies: c.replies, free: true}
			at := time.Now()
			now := func() time.Time {
				at = at.Add(2 * time.Millisecond)

				return at
			}
			var out bytes.Buffer
			r := route.Route{Name: "r", Kind: route.KindOnce, MaxAttempts: 2, TargetMillis: c.target}
			q := &call.Call{ID: "1", Deadline: at.Add(time.Hour)}
			is.NoErr(New(f, f, f, f, noQuarantine(), noBudget(), nil, now, slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))).Run(t.Context(), &r, q, &recorder{}))
			lines := 0
			for line := range bytes.Lines(out.Bytes()) {
				var l struct {
					Message string `json:"msg"`
					Request string
					Server  string
					Level   string
					Late    bool
				}
				is.NoErr(json.Unmarshal(line, &l))
				if l.Message == "request answered" {
					lines++
					is.Equal(l.Request, "1")
					is.Equal(l.Level, c.level)
					is.Equal(l.Late, c.late)
					is.True(l.Server != "")
				}
			}
			is.Equal(lines, 1)
		})
	}
}

// Guards against a long pause between events that goes unnoticed because only the first event is timed.
func TestLate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := route.Route{TargetMillis: 300, GapMillis: 500}
	for _, c := range []struct {
		name   string
		millis []int
		late   bool
	}{
		{"on time", []int{300, 800, 1300}, false},
		{"first event late", []int{301, 400}, true},
		{"pause too long", []int{100, 601, 700}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := timing{startedAt: start}
			for _, m := range c.millis {
				g.deliver(start.Add(time.Duration(m) * time.Millisecond))
			}
			is.Equal(g.late(&r), c.late)
		})
	}
}
