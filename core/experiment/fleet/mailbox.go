package fleet

import (
	"time"

	"tarragonwalk/core/message"
)

// mailboxLimit bounds the notices in transit; further ones are dropped, and the periodic exchange repeats their counts.
const mailboxLimit = 4096

type notice struct {
	// sent are the counts that the notice answers, nil if it is no answer.
	sent   []message.OnlineCount
	counts []message.OnlineCount
	due    time.Time
}

// mailbox delivers notices from one instance to another in order, each at its due time.
type mailbox struct {
	notices chan notice
}

func newMailbox() *mailbox {
	return &mailbox{notices: make(chan notice, mailboxLimit)}
}

func (m *mailbox) post(sent, counts []message.OnlineCount, due time.Time) {
	select {
	case m.notices <- notice{
		sent:   sent,
		counts: counts,
		due:    due,
	}:
	default:
	}
}

func (m *mailbox) run(stop <-chan struct{}, deliver func(sent, counts []message.OnlineCount)) {
	for {
		select {
		case <-stop:
			return
		case n := <-m.notices:
			time.Sleep(time.Until(n.due))
			deliver(n.sent, n.counts)
		}
	}
}
