package bytebudget

import (
	"expvar"
	"sync"

	"tarragonwalk/core/fault"
)

// freeBytes of each message are not counted, so that ordinary messages take no lock.
const freeBytes = 8 << 10

// ErrDropped is the reason for which the largest message is dropped when there is no memory for all.
var ErrDropped = fault.New(fault.CodeOutcomeUnknown, "the message is the largest in memory, and there is no memory for more")

var dropped = expvar.NewMap("MessagesDropped")

// Budget is the number of bytes that messages may take together. When they take more, the largest one is dropped, since a sender that
// does not stop sends it rather than the others. It is safe for concurrent use.
type Budget struct {
	limit int
	// lock guards all fields below, and those of the messages.
	lock     sync.Mutex
	used     int
	messages map[*message]struct{}
}

// New returns a budget of a number of bytes.
func New(limit int) *Budget {
	return &Budget{
		limit:    limit,
		messages: map[*message]struct{}{},
	}
}

// Open begins a message of some kind. The first function sets its size in bytes; it fails with ErrDropped if the message was dropped, or has
// to be. The second one ends the message and has to be called. When the message is dropped on behalf of another one, drop is called, which
// has to end the goroutine that receives the message.
func (b *Budget) Open(kind string, drop func()) (resize func(size int) error, end func()) {
	m := &message{
		budget: b,
		kind:   kind,
		drop:   drop,
	}

	return m.resize, m.end
}

// largest returns the message that holds the most, preferably the given one; it needs the lock.
func (b *Budget) largest(preferred *message) *message {
	found := preferred
	for m := range b.messages {
		if m.held > found.held {
			found = m
		}
	}

	return found
}

// release takes a message out of the budget; it needs the lock.
func (b *Budget) release(m *message) {
	b.used -= m.held
	m.held = 0
	delete(b.messages, m)
}
