package fleet

import (
	"time"

	"tarragonwalk/io/peer"
)

// mailLimit bounds the notices under way; further ones are dropped, and the regular exchange repeats their counts.
const mailLimit = 4096

type message struct {
	counts []peer.OnlineCount
	due    time.Time
}

// mailbox delivers the notices of one instance to another one in order, each after a delay.
type mailbox struct {
	messages chan message
}

func newMailbox() *mailbox {
	return &mailbox{messages: make(chan message, mailLimit)}
}

func (m *mailbox) post(counts []peer.OnlineCount, due time.Time) {
	select {
	case m.messages <- message{
		counts: counts,
		due:    due,
	}:
	default:
	}
}

func (m *mailbox) run(stop <-chan struct{}, deliver func([]peer.OnlineCount)) {
	for {
		select {
		case <-stop:
			return
		case g := <-m.messages:
			time.Sleep(time.Until(g.due))
			deliver(g.counts)
		}
	}
}
