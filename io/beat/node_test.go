package beat

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
)

func newNode(t *testing.T) *Node {
	n, err := New(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)

	return n
}

// Guards against a field that is lost between two instances.
func TestBeatArrivesWhole(t *testing.T) {
	is := is.New(t)
	from, to := newNode(t), newNode(t)
	got := make(chan *gossip.Beat, 1)
	go to.Receive(func(b *gossip.Beat) { got <- b })
	sent := &gossip.Beat{
		Sender: gossip.Member{
			Name: "e1", Incarnation: "i", Zone: "z", Region: "r", Ready: true,
			Caller: netip.MustParseAddrPort("10.0.0.1:1"), Peer: netip.MustParseAddrPort("10.0.0.1:2"),
		},
		Sequence: 7, RouteVersion: 3, ServerRevision: 4, ServerDigest: -5, CheckedMillis: 20, StoreLost: true,
		Counts: []gossip.Count{{Server: "s", Online: 1, Batch: 2}}, Waiting: gossip.BeatWaiting{"route": 9},
		Ended: []string{"a"}, Released: []string{"b"}, Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:2")},
	}
	from.Send(sent, []netip.AddrPort{netip.MustParseAddrPort(to.socket.LocalAddr().String())})
	select {
	case b := <-got:
		is.Equal(b, sent)
	case <-time.After(20 * time.Second):
		t.Fatal("no beat")
	}
}

// Guards against bytes of a stranger that crash an instance or make it believe in one without a name.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x80})
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, p []byte) {
		b, err := Decode(p)
		if err != nil && fault.CodeOf(err) != fault.CodeInvalid {
			t.Fatal(err)
		}
		if err == nil && b.Sender.Name == "" {
			t.Fatal("a beat without a sender was taken")
		}
	})
}
