package fleet

import (
	"time"

	"tarragonwalk/core/message"
)

// mailLimit bounds the notices under way; further ones are dropped, and the regular exchange repeats their counts.
const mailLimit = 4096

type notice struct {
	counts []message.OnlineCount
	due    time.Time
}

// mailbox delivers the notices of one instance to another one in order, each after a delay.
type mailbox struct {
	messages chan notice
}

func newMailbox() *mailbox {
	return &mailbox{messages: make(chan notice, mailLimit)}
}

func (m *mailbox) post(counts []message.OnlineCount, due time.Time) {
	select {
	case m.messages <- notice{
		counts: counts,
		due:    due,
	}:
	default:
	}
}

func (m *mailbox) run(stop <-chan struct{}, deliver func([]message.OnlineCount)) {
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
