package peersync

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/keyring"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

// state is a handler that returns fixed state and holds no job.
type state struct {
	table    *route.Table
	servers  []backend.Server
	revision int64
}

func (s *state) Snapshot() (*route.Table, []backend.Server, int64) {
	return s.table, s.servers, s.revision
}

func (*state) ReadHeldResults(context.Context, string, string, int, time.Time) (p jobpage.Page, held bool, err error) {
	return p, false, nil
}

func (*state) HeldBody(id, workspace, item string) (body []byte, held bool, err error) {
	switch {
	case id != "held":
		return nil, false, nil
	case workspace != "w":
		return nil, true, work.ErrUnknown
	default:
		return []byte(id + item), true, nil
	}
}

func (*state) CallStore(context.Context, string, string, []byte, time.Time) (status int, answer []byte, code string) {
	return 0, nil, ""
}

func largeTable(version int) *route.Table {
	highest := 0
	t := &route.Table{Version: version, Services: []route.Service{{Name: "s", Slots: 7, MaxConnections: 100}}}
	for n := range 1600 {
		t.Routes = append(t.Routes, route.Route{
			Name: fmt.Sprint("route-", n), Host: "host.example", Prefix: fmt.Sprintf("/prefix%d/", n), Kind: route.KindStream, Resumable: true,
			MaxAttempts: 3, TargetMillis: 300, GapMillis: 500, TimeoutMillis: 5000, Shares: []route.Share{{Service: "s", Weight: 1}}, Public: n%3 == 0,
		})
	}
	t.Routes[1].Priority = &highest
	for n := range 70 {
		t.Workspaces = append(t.Workspaces, route.Workspace{
			Name: fmt.Sprint("workspace-", n), KeyHashes: []string{keyring.Hash(fmt.Sprint(n)), keyring.Hash(fmt.Sprint(-n))}, RatePerSecond: 1.5, Burst: 30,
		})
	}
	t.Workspaces[1].Priority = &highest

	return t
}

func start(t *testing.T, s *state) *Node {
	t.Helper()
	n, err := New(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.Serve(s) }()
	t.Cleanup(n.Close)

	return n
}

// Guards against a route table that loses a field when it is copied, and against copying tables and lists that the other
// instance already has: with the routes of a large site, each copy took 0.1 s on a small machine.
func TestSnapshotCopiesWhatIsNewer(t *testing.T) {
	is := is.New(t)
	s := &state{table: largeTable(7), revision: 40, servers: []backend.Server{
		{ID: "i1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 7, StartedAt: 1700000000000},
	}}
	other := start(t, s)
	n := start(t, &state{})
	from := netip.MustParseAddrPort(other.listener.Addr().String())
	for _, c := range []struct {
		name              string
		version, revision int64
		table, servers    bool
	}{
		{"nothing known", 0, 0, true, true},
		{"older table", 6, 40, true, false},
		{"older list", 7, 39, false, true},
		{"all known", 7, 40, false, false},
		{"newer", 8, 41, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, servers, revision, err := n.Snapshot(t.Context(), from, c.version, c.revision)
			is.NoErr(err)
			is.Equal(revision, int64(40))
			is.Equal(table != nil, c.table)
			is.Equal(servers != nil, c.servers)
			if c.table {
				is.Equal(table, s.table)
			}
			if c.servers {
				is.Equal(servers, s.servers)
			}
		})
	}
	s.table = largeTable(8)
	table, _, _, err := n.Snapshot(t.Context(), from, 7, 40)
	is.NoErr(err)
	is.Equal(table.Version, 8) // not the cached encoding of the earlier version
}

// Guards against an encoded table that saturates the links of small machines when all instances of a zone copy it.
func TestPackedTableIsSmall(t *testing.T) {
	is := is.New(t)
	s := &service{}
	encoded, err := s.encodeTable(largeTable(1))
	is.NoErr(err)
	is.True(len(encoded) < 100<<10)
}

// Guards against an item's body that is taken from an instance that does not hold the job, or that callers of another workspace get.
func TestReadBody(t *testing.T) {
	is := is.New(t)
	a, err := New(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer a.Close()
	go func() { _ = a.Serve(&state{}) }()
	from := netip.MustParseAddrPort(a.listener.Addr().String())
	body, held, err := a.ReadBody(t.Context(), from, "held", "w", "x")
	is.NoErr(err)
	is.True(held)
	is.Equal(string(body), "heldx")
	_, held, err = a.ReadBody(t.Context(), from, "other", "w", "x")
	is.NoErr(err)
	is.True(!held)
	_, held, err = a.ReadBody(t.Context(), from, "held", "v", "x")
	is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	is.True(!held)
	for workspace, code := range map[string]fault.Code{"w": "", "v": fault.CodeNotFound} {
		held, err = a.CheckJob(t.Context(), from, "held", workspace)
		is.Equal(fault.CodeOf(err), code)
		is.Equal(held, code == "")
	}
}
