package datagram

import (
	"fmt"
	"net/netip"
	"testing"

	"tarragonwalk/core/gossip"
)

func benchHeartbeat(n int) gossip.Heartbeat {
	address := netip.AddrFrom4([4]byte{10, 0, byte(n / 256), byte(n)})
	b := gossip.Heartbeat{
		Sender: gossip.Member{
			Name: fmt.Sprint("edge-aegean-aydin-", n), Incarnation: fmt.Sprintf("1b4e28ba-2fa1-11d2-883f-%012d", n),
			Zone: "aegean-aydin", Region: "aegean",
			Caller: netip.AddrPortFrom(address, 8080), Peer: netip.AddrPortFrom(address, 7000), Ready: true, Millicores: 400,
		},
		Sequence: n + 1000, RouteVersion: 30, ServerRevision: 4000 + n, ServerDigest: 1 << 60, CheckedMillis: 300 + n,
		Waiting: gossip.HeartbeatWaiting{"route": 9000}, Held: []string{"9c41d07be2a35f68"}, Queued: 3,
	}
	for s := range 8 {
		b.Counts = append(b.Counts, gossip.Count{Server: fmt.Sprintf("i-%08x", (n*7+s)*7919), Online: 1, Batch: s % 2})
	}

	return b
}

func BenchmarkDecodeNear(b *testing.B) {
	x := benchHeartbeat(1)
	p, _ := codec.Encode(&x)
	b.SetBytes(int64(len(p)))
	for range b.N {
		_, _ = Decode(p)
	}
}

func BenchmarkEncodeNear(b *testing.B) {
	x := benchHeartbeat(1)
	for range b.N {
		_, _ = codec.Encode(&x)
	}
}

func BenchmarkDecodeRelayed62(b *testing.B) {
	x := benchHeartbeat(1)
	for n := range 62 {
		x.Relayed = append(x.Relayed, gossip.RelayedHeartbeat{AgeMillis: n, Beat: benchHeartbeat(n)})
	}
	p, _ := codec.Encode(&x)
	b.SetBytes(int64(len(p)))
	for range b.N {
		_, _ = Decode(p)
	}
}

// benchDigest is a digest of a zone with 42 instances that use 166 backend servers.
func benchDigest() gossip.Heartbeat {
	x := benchHeartbeat(1)
	r := gossip.Report{Zone: x.Sender.Zone, AgeMillis: 3, Waiting: gossip.ReportWaiting{"route": 9000}}
	for n := range 42 {
		m := benchHeartbeat(n).Sender
		r.Heard = append(r.Heard, gossip.MemberStatus{Name: m.Name, Incarnation: m.Incarnation, AgeMillis: n, Queued: n % 3})
	}
	for s := range 166 {
		r.Counts = append(r.Counts, gossip.Count{Server: fmt.Sprintf("i-%010x", s*7919), Online: 4, Batch: s % 3})
	}
	x.Reports = []gossip.Report{r}

	return x
}

func BenchmarkDecodeDigest(b *testing.B) {
	x := benchDigest()
	p, _ := codec.Encode(&x)
	b.SetBytes(int64(len(p)))
	for range b.N {
		_, _ = Decode(p)
	}
}

func BenchmarkEncodeDigest(b *testing.B) {
	x := benchDigest()
	for range b.N {
		_, _ = codec.Encode(&x)
	}
}
