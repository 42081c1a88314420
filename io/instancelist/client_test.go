package instancelist

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	standin "tarragonwalk/io/standin/instancelist"
)

// Guards against mistaking an outage for an empty list, and against a follower that does not recover from it.
func TestFollow(t *testing.T) {
	is := is.New(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := standin.New(0)
	go func() { _ = s.Serve(n) }()
	defer s.Close()
	c := New(netip.MustParseAddrPort(n.Addr().String()))
	defer c.Close()
	i := membership.Instance{
		Name:   "w1",
		Role:   membership.RoleBackend,
		State:  membership.StateLive,
		Zone:   "z",
		Region: "r",
	}
	s.Set(i)
	s.Lag(time.Hour)
	i.State = membership.StateLeaving
	s.Set(i)
	s.Outage(true)
	_, err = c.Fetch(context.Background())
	is.Equal(fault.CodeOf(err), fault.CodeUnavailable)
	s.Outage(false)
	s.Lag(0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	calls := 0
	c.Follow(ctx, func(l []membership.Instance, _ time.Time) {
		calls++
		is.Equal(len(l), 1)
		is.Equal(l[0], i)
		if calls == 2 {
			cancel()
		}
	})
	is.Equal(calls, 2)
}

// Guards against input that makes the decoder panic or return a list with duplicate names.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Instances":[]}`))
	f.Add([]byte(`{"Instances":[{"Name":"a","Role":"entry","State":"live","Zone":"z","Region":"r","CallerAddress":"127.0.0.1:1","PeerAddress":""}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var l membership.InstanceList
		if decode(b, &l) != nil {
			return
		}
		names := make(map[string]bool)
		for _, i := range l.Instances {
			if names[i.Name] {
				t.Fatal("repeated name")
			}
			names[i.Name] = true
		}
	})
}
