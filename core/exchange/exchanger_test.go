package exchange

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/message"
)

// fakeNode fakes all dependencies of one exchanger; its peers answer through the exchangers of the others.
type fakeNode struct {
	now       time.Time
	others    map[netip.AddrPort]*Exchanger
	delay     time.Duration
	holder    *configuration.Holder
	digest    int64
	confirmed time.Time
	canceled  []string
	fetches   int
	forged    *configuration.Configuration
}

func (w *fakeNode) clock() time.Time { return w.now }

func (w *fakeNode) Exchange(_ context.Context, a netip.AddrPort, m *message.Exchange) (*message.Exchange, error) {
	reply := w.others[a].HandleExchange(m)
	w.now = w.now.Add(w.delay)

	return reply, nil
}

func (w *fakeNode) Configuration(_ context.Context, a netip.AddrPort, version int) (*message.ConfigurationReply, error) {
	w.fetches++
	if w.forged != nil {
		encoded, err := json.Marshal(w.forged)

		return &message.ConfigurationReply{Configuration: encoded}, err
	}

	return w.others[a].HandleConfiguration(&message.ConfigurationRequest{Sender: "x", Version: version})
}

func (w *fakeNode) ConfirmOpen(digest int64, at time.Time) {
	if digest == w.digest && at.After(w.confirmed) {
		w.confirmed = at
	}
}

func (w *fakeNode) CancelJobs(ids []string) { w.canceled = append(w.canceled, ids...) }

func (w *fakeNode) ObserveOnline(string, []message.OnlineCount, time.Time) {}

func (w *fakeNode) ObserveOthers([]message.OnlineCount, time.Time) {}

func (w *fakeNode) OthersOnline(string, []message.OnlineCount, time.Time) []message.OnlineCount {
	return nil
}

func (w *fakeNode) OnlineCounts(string, time.Time) []message.OnlineCount { return nil }

func address(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name[0]))
}

// start returns an exchanger for each name, with all instances in its table.
func start(names ...string) (map[string]*Exchanger, map[string]*fakeNode, map[string]*membership.Table) {
	es, ws, ts := map[string]*Exchanger{}, map[string]*fakeNode{}, map[string]*membership.Table{}
	others := map[netip.AddrPort]*Exchanger{}
	var list []membership.Instance
	for _, n := range names {
		list = append(list, membership.Instance{Name: n, Role: membership.RoleEntry, State: membership.StateLive, PeerAddress: address(n)})
	}
	for _, n := range names {
		w := &fakeNode{now: time.Unix(1000, 0), others: others, holder: configuration.NewHolder()}
		t := membership.New()
		t.Observe(list, w.now)
		e := New(n, w.clock, t, w.holder, w, w, slog.New(slog.DiscardHandler))
		e.Attach(w)
		es[n], ws[n], ts[n], others[address(n)] = e, w, t, e
	}

	return es, ws, ts
}

func version(n int) *configuration.Configuration {
	c, err := configuration.ApplyPatch(nil, configuration.Patch{Patch: json.RawMessage(`{}`)})
	if err != nil {
		panic(err)
	}
	c.Version = n

	return c
}

// Guards against an instance keeping an old configuration although a peer has a newer one, and against reverting to an older
// one.
func TestConfigurationFromPeers(t *testing.T) {
	is := is.New(t)
	es, ws, _ := start("a", "b")
	ws["b"].holder.Apply(version(5))
	es["a"].round(t.Context())
	is.True(ws["a"].holder.Current() != nil)
	is.Equal(ws["a"].holder.Current().Version, 5)
	fetches := ws["b"].fetches
	es["b"].round(t.Context()) // equal
	ws["b"].holder.Apply(version(6))
	es["b"].round(t.Context()) // the peer is behind
	is.Equal(ws["b"].fetches, fetches)
	is.Equal(ws["b"].holder.Current().Version, 6)
	ws["a"].forged = version(4) // an older one than the peer announced
	es["a"].round(t.Context())
	is.Equal(ws["a"].holder.Current().Version, 5)
	_, err := es["a"].HandleConfiguration(&message.ConfigurationRequest{Sender: "b", Version: 6})
	is.Equal(fault.CodeOf(err), fault.CodeNotFound)
}

// Guards against starting items on a view of open jobs that no store answer confirms. The age of a confirmation counts from
// before the request, only an equal digest confirms the view, and a received message never does.
func TestConfirmOpen(t *testing.T) {
	for _, c := range []struct {
		name   string
		digest int64
		want   time.Duration
		own    bool
	}{
		{name: "equal", digest: 7, own: true, want: -400 * time.Millisecond},
		{name: "different", digest: 8, own: true},
		{name: "received only", digest: 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			es, ws, _ := start("a", "b")
			begin := ws["a"].now
			ws["a"].digest = 7
			ws["a"].delay = 900 * time.Millisecond
			es["b"].ObserveOpen(c.digest, begin.Add(-400*time.Millisecond))
			if c.own {
				es["a"].round(t.Context())
			} else {
				es["b"].round(t.Context())
			}
			if c.want == 0 {
				is.True(ws["a"].confirmed.IsZero())
			} else {
				is.Equal(ws["a"].confirmed, begin.Add(c.want))
			}
		})
	}
}

// Guards against cancellations and leaving marks that do not reach instances that never talk to their origin, and against ones
// that circulate forever.
func TestRelayedOnce(t *testing.T) {
	is := is.New(t)
	es, ws, ts := start("a", "b", "c")
	es["a"].ReportCancelled("job")
	ts["a"].MarkLeaving("worker", ws["a"].now)
	es["a"].ReportLeaving("worker")
	es["b"].HandleExchange(es["a"].message("b")) // the last message of a
	es["c"].HandleExchange(es["b"].message("c"))
	is.Equal(ws["c"].canceled, []string{"job"})
	is.True(!ts["c"].Usable("worker", ws["c"].now))
	last, lastMark := 0, 0
	for second := range 300 {
		for _, n := range []string{"b", "c"} {
			ws[n].now = ws[n].now.Add(time.Second)
		}
		for _, n := range []string{"b", "c"} {
			m := es[n].message("x")
			if len(m.CancelledJobs) > 0 {
				last = second
			}
			if len(m.Marks) > 0 {
				lastMark = second
			}
		}
		es["b"].HandleExchange(es["c"].message("b"))
		es["c"].HandleExchange(es["b"].message("c"))
	}
	is.True(last <= 31)
	is.True(lastMark <= 30)
	is.True(ts["b"].Usable("worker", ws["b"].now))
	is.True(ts["c"].Usable("worker", ws["c"].now))
}
