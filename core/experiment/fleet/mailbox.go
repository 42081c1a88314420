package fleet

import (
	"time"

	"tarragonwalk/io/peer"
)

// mailLimit bounds the notices under way; further ones are dropped, and the regular exchange repeats their counts.
const mailLimit = 4096

type letter struct {
	counts []peer.OnlineCount
	due    time.Time
}

// mailbox delivers the notices of one instance to another one in order, each after a delay.
type mailbox struct {
	letters chan letter
}

func newMailbox() *mailbox {
	return &mailbox{letters: make(chan letter, mailLimit)}
}

func (m *mailbox) post(counts []peer.OnlineCount, due time.Time) {
	select {
	case m.letters <- letter{
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
		case l := <-m.letters:
			time.Sleep(time.Until(l.due))
			deliver(l.counts)
		}
	}
}
