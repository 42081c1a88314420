package fleet

import (
	"time"

	"tarragonwalk/core/message"
)

// mailboxLimit bounds the notices under way; further ones are dropped, and the regular exchange repeats their counts.
const mailboxLimit = 4096

type notice struct {
	counts []message.OnlineCount
	due    time.Time
}

// mailbox delivers the notices of one instance to another one in order, each after a delay.
type mailbox struct {
	notices chan notice
}

func newMailbox() *mailbox {
	return &mailbox{notices: make(chan notice, mailboxLimit)}
}

func (m *mailbox) post(counts []message.OnlineCount, due time.Time) {
	select {
	case m.notices <- notice{
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
		case n := <-m.notices:
			time.Sleep(time.Until(n.due))
			deliver(n.counts)
		}
	}
}
