package forward

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/eventstream"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

// lossRecorder counts the losses that are evidence against prompt parts, and the answers that clear them.
type lossRecorder struct {
	promptParts

	losses, answers int
}

func (l *lossRecorder) RecordAnswer(backend.Server, []string, time.Time, time.Time) { l.answers++ }

func (l *lossRecorder) RecordLoss(backend.Server, string, []string, time.Time) { l.losses++ }

// Guards against a sound part that is quarantined because streams that go on after earlier events lose their connections.
func TestLossAfterEventsIsNoEvidence(t *testing.T) {
	lost := fault.Wrap(io.EOF, fault.CodeOutcomeUnknown, "the backend server did not answer")
	for _, c := range []struct {
		name   string
		state  *requestState
		losses int
	}{
		{"never answered", &requestState{}, 1},
		{"answered by an earlier attempt", &requestState{answered: true}, 0},
		{"resumed by the caller", &requestState{splitter: eventstream.New(2)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &lossRecorder{promptParts: noQuarantine()}
			f := New(nil, nil, nil, nil, l, noBudget(), nil, time.Now, slog.New(slog.DiscardHandler))
			c.state.call, c.state.forwarder = &call.Call{Parts: []string{"shared"}}, f
			f.recordParts(t.Context(), c.state, &attempt{}, lost)
			is.Equal(l.losses, c.losses)
		})
	}
}

// Guards against a sound part that stays in quarantine until a whole response with it, and against losses that count although an earlier
// attempt, or the one beside, has sent events.
func TestFirstEventIsAnAnswer(t *testing.T) {
	is := is.New(t)
	lost := fault.Wrap(io.EOF, fault.CodeOutcomeUnknown, "the backend server did not answer")
	f := &fake{replies: []reply{{status: 200, body: whole[:15], broken: true}, {err: lost}}, free: true}
	l := &lossRecorder{promptParts: noQuarantine()}
	r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 1000, TimeoutMillis: 4000}
	err := New(f, f, f, f, l, noBudget(), nil, time.Now, slog.New(slog.DiscardHandler)).
		Run(t.Context(), &r, &call.Call{ID: "1", Parts: []string{"shared"}}, &recorder{})
	is.True(err != nil)
	is.Equal(len(f.servers), 2)
	is.Equal(l.answers, 1)
	is.Equal(l.losses, 0)
	rs := &requestState{route: &r, call: &call.Call{Parts: []string{"shared"}}, forwarder: New(f, f, f, f, l, noBudget(), nil, time.Now, slog.New(slog.DiscardHandler))}
	rs.recordHedge(t.Context(), &attempt{}, lost)
	is.Equal(l.losses, 1)
	rs.answered = true
	rs.recordHedge(t.Context(), &attempt{}, lost)
	is.Equal(l.losses, 1)
}
