package datagram

import (
	"slices"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	"tarragonwalk/io/messagecodec"
)

// maxMessageBytes bounds an encoded heartbeat before compression, in bytes.
const maxMessageBytes = 512 << 10

var codec = messagecodec.New(maxMessageBytes)

// Decode decodes and checks a heartbeat with the heartbeats and reports that it relays; a failure has code invalid.
func Decode(p []byte) (*gossip.Heartbeat, error) {
	b := &gossip.Heartbeat{}
	if err := codec.Decode(p, b); err != nil {
		return nil, err
	}
	if !validSender(b) {
		return nil, fault.New(fault.CodeInvalid, "heartbeat has no valid sender")
	}
	for _, list := range [][]gossip.RelayedHeartbeat{b.Relayed, b.PassedOn} {
		if slices.ContainsFunc(list, func(r gossip.RelayedHeartbeat) bool { return !validSender(&r.Beat) || r.AgeMillis < 0 }) {
			return nil, fault.New(fault.CodeInvalid, "relayed heartbeat has no valid sender or age")
		}
	}
	for i := range b.Reports {
		if !validReport(&b.Reports[i]) {
			return nil, fault.New(fault.CodeInvalid, "report has no valid zone, age or instances")
		}
	}

	return b, nil
}

func validReport(r *gossip.Report) bool {
	return r.Zone != "" && r.AgeMillis >= 0 && !slices.ContainsFunc(r.Heard, func(s gossip.MemberStatus) bool { return s.Name == "" || s.AgeMillis < 0 })
}

func validSender(b *gossip.Heartbeat) bool {
	return b.Sender.Name != "" && b.Sender.Incarnation != "" && b.Sender.Peer.IsValid()
}
