package forward

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/call"
	"tarragonwalk/core/route"
)

// Guards against a request that is taken from its sound server for the mere head of a second one, which then sends no event, or for a part of
// a long event.
func TestHeadIsNoReplacement(t *testing.T) {
	stream := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
	begun := reply{status: 200, body: whole, slow: 60 * time.Millisecond, first: time.Millisecond}
	late := reply{status: 200, body: whole, slow: 60 * time.Millisecond}
	part := "\ndata: " + strings.Repeat("x", 2*readBytes)
	for _, c := range []struct {
		name         string
		first, other reply
	}{
		{"begun, other breaks off after its head", begun, reply{status: 200, stream: true, broken: true}},
		{"begun, other is silent after its head", begun, reply{status: 200, stream: true, hung: true}},
		{"not begun, other breaks off after its head", late, reply{status: 200, stream: true, broken: true}},
		{"not begun, other is silent after its head", late, reply{status: 200, stream: true, hung: true}},
		{"begun, other breaks off within a long event", begun, reply{status: 200, body: "id: 2" + part, broken: true}},
		{"begun, other is silent within a long event", begun, reply{status: 200, body: "id: 2" + part, hung: true}},
		{"not begun, other breaks off within a long event", late, reply{status: 200, body: "id: 1" + part, broken: true}},
		{"not begun, other is silent within a long event", late, reply{status: 200, body: "id: 1" + part, hung: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fake{replies: []reply{c.first, c.other, c.other, c.other}, free: true}
				out := &recorder{}
				is.NoErr(newForwarder(f).Run(t.Context(), &stream, &call.Call{ID: "1"}, out))
				is.Equal(out.body.String(), whole)
			})
		})
	}
}

// Guards against a begun stream that stays at a server that is gone, because the second one takes longer than the overlap to answer.
func TestGoneServerOfBegunStreamIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		second := reply{status: 200, body: whole[15:], wait: 400 * time.Millisecond}
		f := &fake{replies: []reply{{status: 200, body: whole[:15], hung: true}, second, second}, free: true}
		out := &recorder{}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		time.Sleep(time.Second)
		is.NoErr(err)
		is.Equal(out.body.String(), whole)
	})
}

// Guards against a request that has not begun and is taken from its sound server when the overlap ends, before the second one has accepted it.
func TestOverlapKeepsSoundServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		first := reply{status: 200, body: whole, slow: 5 * time.Millisecond, first: 350 * time.Millisecond}
		other := reply{err: lost, wait: 400 * time.Millisecond}
		f := &fake{replies: []reply{first, other, other}, free: true}
		out := &recorder{}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		time.Sleep(time.Second)
		is.NoErr(err)
		is.Equal(out.body.String(), whole)
	})
}

// Guards against a stream that is cut with its server because a hedge, which was dropped when the server went on, used up its attempts.
func TestDroppedHedgeIsNoFurtherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		first := reply{status: 200, body: whole[:30], slow: 60 * time.Millisecond, first: time.Millisecond}
		f := &fake{replies: []reply{first, {mute: true}, {status: 200, body: whole[30:]}}, free: true}
		f.replies[0].body += "id: 3\ndata: z" // the connection ends inside an event
		out := &recorder{}
		is.NoErr(newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out))
		synctest.Wait()
		is.Equal(out.body.String(), whole)
		is.Equal(f.servers, []string{"a", "b", "b"})
		is.Equal(f.released, 3)
	})
}

// Guards against a request that stays at a server that is gone, or fails with it, because no further server has a free slot and the one whose
// hedge was dropped is not asked again.
func TestDroppedHedgeIsRepeatedWithoutFurtherServer(t *testing.T) {
	rest := reply{status: 200, body: whole[15:], wait: 400 * time.Millisecond}
	for _, c := range []struct {
		name  string
		first reply
	}{
		{"gone", reply{status: 200, body: whole[:15], hung: true}},
		{"lost later", reply{status: 200, body: whole[:15] + "id: 2\n", slow: 800 * time.Millisecond, first: time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := route.Route{Kind: route.KindStream, MaxAttempts: 4, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
				f := &fake{replies: []reply{c.first, rest, rest, rest, rest}, free: true}
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
				time.Sleep(time.Second)
				is.NoErr(err)
				is.Equal(out.body.String(), whole)
				is.Equal(f.servers, []string{"a", "b", "c", "c"})
				is.Equal(f.released, 4)
			})
		})
	}
}

// Guards against a sound server that is taken for a silent one because its caller has read slowly before.
func TestSlowCallerIsNoLongSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 9000}
		first := reply{status: 200, body: whole, slow: 500 * time.Millisecond, first: time.Millisecond}
		other := reply{err: lost, wait: 400 * time.Millisecond}
		f := &fake{replies: []reply{first, other, other}, free: true}
		out := &recorder{pause: 1500 * time.Millisecond}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		time.Sleep(time.Second)
		is.NoErr(err)
		is.Equal(out.body.String(), whole)
	})
}

// Guards against a stream that is cut because a second server replaced its server after an event without an id, from which none can go on.
func TestUnnumberedStreamIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const unnumbered = "retry: 1000\n\ndata: x\n\n"
		r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
		first := reply{status: 200, body: unnumbered, stream: true, slow: 100 * time.Millisecond, first: 50 * time.Millisecond}
		f := &fake{replies: []reply{first, {status: 200, body: whole, wait: 60 * time.Millisecond}}, free: true}
		out := &recorder{}
		err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
		time.Sleep(time.Second)
		is.NoErr(err)
		is.Equal(out.body.String(), unnumbered)
		is.Equal(f.released, 2)
	})
}

// Guards against a stream that ends as complete before its last event, because a second server ended its stream without one, and against one
// that has all events and waits for its end at a server that is gone.
func TestEmptyStreamIsNoReplacement(t *testing.T) {
	for _, first := range []reply{
		{status: 200, body: whole, slow: 60 * time.Millisecond, first: time.Millisecond},
		{status: 200, body: whole, hung: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := route.Route{Kind: route.KindStream, MaxAttempts: 2, Resumable: true, TargetMillis: 40, GapMillis: 40, TimeoutMillis: 4000}
			empty := reply{status: 200, stream: true}
			f := &fake{replies: []reply{first, empty, empty}, free: true}
			out := &recorder{}
			err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
			synctest.Wait()
			is.NoErr(err)
			is.Equal(out.body.String(), whole)
			is.Equal(f.released, len(f.servers))
		})
	}
}

// Guards against a request that is taken from its sound server, which needs longer than half of a long objective, for one that then fails.
func TestOverlapKeepsSoundServerOfLongObjective(t *testing.T) {
	other := reply{err: lost, wait: 500 * time.Millisecond}
	for _, c := range []struct {
		kind  route.Kind
		first reply
	}{
		{route.KindIdempotent, reply{status: 200, body: "ok", slow: 1600 * time.Millisecond}},
		{route.KindStream, reply{status: 200, body: whole, slow: 5 * time.Millisecond, first: 1600 * time.Millisecond}},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := route.Route{Kind: c.kind, MaxAttempts: 2, Resumable: true, TargetMillis: 2400, GapMillis: 40, TimeoutMillis: 9000}
				f := &fake{replies: []reply{c.first, other, other}, free: true}
				out := &recorder{}
				err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
				time.Sleep(time.Second)
				is.NoErr(err)
				is.Equal(out.body.String(), c.first.body)
			})
		})
	}
}
