package datagram

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/gossip"
	"tarragonwalk/io/bootclock"
)

// Guards against a heartbeat that waited in the socket while the process was frozen, and looks as if it had just arrived.
func TestArrivalOfWaitingHeartbeat(t *testing.T) {
	is := is.New(t)
	n, err := New(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.DiscardHandler))
	is.NoErr(err)
	defer n.Close()
	to := netip.MustParseAddrPort(n.socket.LocalAddr().String())
	b := &gossip.Heartbeat{Sender: gossip.Member{Name: "e1", Incarnation: "1", Zone: "a", Region: "r", Peer: to, Caller: to}}
	n.Send(b, []netip.AddrPort{to})
	sentAt := bootclock.Now()
	time.Sleep(100 * time.Millisecond) // the process does not read the socket
	arrived := make(chan time.Time)
	go n.Receive(func(*gossip.Heartbeat) { arrived <- n.ArrivedAfter() })
	is.True(!(<-arrived).After(sentAt))
	time.Sleep(100 * time.Millisecond) // the socket is empty meanwhile
	n.Send(b, []netip.AddrPort{to})
	at := <-arrived
	is.True(at.After(sentAt) && !at.After(bootclock.Now()))
}
