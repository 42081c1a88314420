package bytebudget

import (
	"expvar"
	"sync"

	"tarragonwalk/core/fault"
)

const (
	// freeBytes of each message are not counted, so that ordinary messages take no lock.
	freeBytes = 8 << 10
	// patientBytes is the size up to which a message is not dropped only because dropped ones still hold their memory. Dropped ones of up to
	// this size do not count once their receivers are told.
	patientBytes = 64 << 10
)

// ErrDropped is the reason for which the largest message is dropped when there is no memory for all.
var ErrDropped = fault.New(fault.CodeOutcomeUnknown, "the message is the largest in memory, and there is no memory for more")

var dropped = expvar.NewMap("MessagesDropped")

// Budget is the number of bytes that messages may take together. When they take more, the largest one is dropped, since a sender that
// does not stop sends it rather than the others. Large messages that were dropped count until they end, and may take half as much again: on a
// busy machine their receivers give the memory back late, while others grow in their place. It is safe for concurrent use.
type Budget struct {
	limit int
	// lock guards all fields below, and those of the messages.
	lock sync.Mutex
	// used is what the messages take that are not dropped, ending what the dropped ones take.
	used     int
	ending   int
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
// has to end the goroutine that receives the message. A dropped message counts until its size is set to less or it ends.
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

// dropMessage drops a message, which still holds its memory; it needs the lock.
func (b *Budget) dropMessage(m *message) {
	m.dropped = true
	dropped.Add(m.kind, 1)
	b.used -= m.held
	b.ending += m.held
	delete(b.messages, m)
}

// release takes a message out of the budget; it needs the lock.
func (b *Budget) release(m *message) {
	if m.dropped {
		b.ending -= m.held
	} else {
		b.used -= m.held
	}
	m.held = 0
	delete(b.messages, m)
}
