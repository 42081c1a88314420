package datagram

import (
	"bytes"
	"expvar"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
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

// Guards against a field of a heartbeat that is lost between two instances.
func TestHeartbeatRoundTrip(t *testing.T) {
	is := is.New(t)
	from, to := newNode(t), newNode(t)
	got := make(chan *gossip.Heartbeat, 1)
	go to.Receive(func(b *gossip.Heartbeat) { got <- b })
	sent := &gossip.Heartbeat{
		Sender: gossip.Member{
			Name: "e1", Incarnation: "i", Zone: "z", Region: "r", Ready: true,
			Caller: netip.MustParseAddrPort("10.0.0.1:1"), Peer: netip.MustParseAddrPort("10.0.0.1:2"),
		},
		Sequence: 7, RouteVersion: 3, ServerRevision: 4, ServerDigest: -5, CheckedMillis: 20, StoreLost: true,
		Counts: []gossip.Count{{Server: "s", Online: 1, Batch: 2}}, Waiting: gossip.HeartbeatWaiting{"route": 9},
		Ended: []string{"a"}, Released: []string{"b"}, Addresses: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:2")},
	}
	from.Send(sent, []netip.AddrPort{netip.MustParseAddrPort(to.socket.LocalAddr().String())})
	select {
	case b := <-got:
		is.Equal(b, sent)
	case <-time.After(20 * time.Second):
		t.Fatal("no heartbeat received")
	}
}

// Guards against relayed heartbeats that are lost in encoding, and against messages that do not fit a datagram or are so large that
// they saturate slow links. A zone of the largest fleet has 42 instances; the test relays ten times as many.
func TestRelayedHeartbeatsAreCompressed(t *testing.T) {
	is := is.New(t)
	sent := &gossip.Heartbeat{Sender: gossip.Member{Name: "e0", Incarnation: "i", Peer: netip.MustParseAddrPort("10.0.0.1:2")}}
	for n := range 420 {
		sent.Relayed = append(sent.Relayed, gossip.RelayedHeartbeat{AgeMillis: n, Beat: gossip.Heartbeat{
			Sender: gossip.Member{
				Name: fmt.Sprint("edge-", n), Incarnation: fmt.Sprintf("1b4e28ba-2fa1-11d2-883f-%012d", n), Zone: "zone-a", Region: "north",
				Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n)}), 8080),
				Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n)}), 7000), Ready: true,
			},
			Sequence: 1000 + n, RouteVersion: 17, ServerRevision: 23456, ServerDigest: -559038737, CheckedMillis: 3 * n,
			Counts: []gossip.Count{{Server: fmt.Sprint("worker-", n), Online: 3}, {Server: fmt.Sprint("worker-", n+1), Batch: 2}},
		}})
	}
	message, err := codec.Encode(sent)
	is.NoErr(err)
	is.True(len(message) < maxDatagramBytes)
	is.True(len(message) < 420*100)
	got, err := Decode(message)
	is.NoErr(err)
	is.Equal(got, sent)
	got.Relayed[3].Beat.Sender.Name = ""
	message, err = codec.Encode(got)
	is.NoErr(err)
	_, err = Decode(message)
	is.Equal(fault.CodeOf(err), fault.CodeInvalid)
}

// Guards against untrusted bytes that crash an instance or are accepted as a heartbeat without a sender's name.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x80})
	f.Add([]byte("garbage"))
	f.Add([]byte{0x78, 0x01, 0x00})
	f.Fuzz(func(t *testing.T, p []byte) {
		b, err := Decode(p)
		if err != nil && fault.CodeOf(err) != fault.CodeInvalid {
			t.Fatal(err)
		}
		if err == nil && b.Sender.Name == "" {
			t.Fatal("a heartbeat without a sender was accepted")
		}
	})
}

// Guards against an instance that receives no further heartbeats after one that it cannot handle, and against a log that is filled by
// repetitions of it.
func TestHeartbeatThatCannotBeHandled(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	from := newNode(t)
	to, err := New(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.NewJSONHandler(&logged, nil)))
	is.NoErr(err)
	handled := make(chan int, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		to.Receive(func(b *gossip.Heartbeat) {
			if b.Sequence < 3 {
				panic("cannot handle the heartbeat")
			}
			handled <- b.Sequence
		})
	}()
	for n := range 3 {
		from.Send(&gossip.Heartbeat{
			Sender:   gossip.Member{Name: "e1", Incarnation: "i", Peer: netip.MustParseAddrPort("10.0.0.1:2")},
			Sequence: n + 1,
		}, []netip.AddrPort{netip.MustParseAddrPort(to.socket.LocalAddr().String())})
	}
	select {
	case n := <-handled:
		is.Equal(n, 3)
	case <-time.After(20 * time.Second):
		t.Fatal("no heartbeat received")
	}
	to.Close()
	<-done
	is.Equal(strings.Count(logged.String(), "heartbeat not handled"), 1)
}

// Guards against an instance that uses all its processor time, without a line in the log, while its socket cannot be read.
func TestLastingReceiveFailure(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	n, err := New(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.NewTextHandler(&logged, nil)))
	is.NoErr(err)
	failures := func() int64 {
		v, _ := counters.Get("ReceiveFailed").(*expvar.Int)
		if v == nil {
			return 0
		}

		return v.Value()
	}
	before := failures()
	is.NoErr(n.socket.SetReadDeadline(time.Now()))
	received, ended := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(ended)
		n.Receive(func(b *gossip.Heartbeat) { received <- b.Sender.Name })
	}()
	time.Sleep(500 * time.Millisecond)
	count := failures() - before
	is.True(count > 0)
	is.True(count < 30)
	is.NoErr(n.socket.SetReadDeadline(time.Time{}))
	self := netip.MustParseAddrPort(n.socket.LocalAddr().String())
	n.Send(&gossip.Heartbeat{Sender: gossip.Member{Name: "e1", Incarnation: "i", Caller: self, Peer: self}}, []netip.AddrPort{self})
	select {
	case name := <-received:
		is.Equal(name, "e1")
	case <-time.After(20 * time.Second):
		t.Fatal("no heartbeat received after the failure")
	}
	n.Close()
	<-ended
	is.Equal(strings.Count(logged.String(), "cannot receive heartbeats"), 1)
}
