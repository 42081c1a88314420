package forward

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
	"tarragonwalk/core/route"
)

// Guards against a request that is taken from its sound server for the mere head of a second one, which then sends no event.
func TestHeadIsNoReplacement(t *testing.T) {
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
	begun := reply{status: 200, body: whole, slow: 60 * time.Millisecond, first: time.Millisecond}
	late := reply{status: 200, body: whole, slow: 60 * time.Millisecond}
	for _, c := range []struct {
		name         string
		first, other reply
	}{
		{"begun, other breaks off after its head", begun, reply{status: 200, stream: true, broken: true}},
		{"begun, other is silent after its head", begun, reply{status: 200, stream: true, hung: true}},
		{"not begun, other breaks off after its head", late, reply{status: 200, stream: true, broken: true}},
		{"not begun, other is silent after its head", late, reply{status: 200, stream: true, hung: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{replies: []reply{c.first, c.other, c.other, c.other}, free: true}
				out := &recorder{}
				is.NoErr(New(f, f, f, f, noQuarantine(), noBudget(), time.Now, slog.New(slog.DiscardHandler)).Run(t.Context(), &stream, &call.Call{ID: "1"}, out))
				is.Equal(out.body.String(), whole)
			})
		})
	}
}
