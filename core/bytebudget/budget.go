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
	// lock guards all fields below, and those of the shares.
	lock   sync.Mutex
	used   int
	shares map[*Share]struct{}
}

// New returns a budget of a number of bytes.
func New(limit int) *Budget {
	return &Budget{
		limit:  limit,
		shares: map[*Share]struct{}{},
	}
}

// Open returns an empty share for a message of some kind; drop is called when the message is dropped on behalf of another one, and has to
// end the goroutine that receives it. The share has to be closed.
func (b *Budget) Open(kind string, drop func()) *Share {
	return &Share{
		budget: b,
		kind:   kind,
		drop:   drop,
	}
}

// largest returns the share that holds the most, preferably the given one; it needs the lock.
func (b *Budget) largest(preferred *Share) *Share {
	found := preferred
	for s := range b.shares {
		if s.held > found.held {
			found = s
		}
	}

	return found
}

// release takes a share out of the budget; it needs the lock.
func (b *Budget) release(s *Share) {
	b.used -= s.held
	s.held = 0
	delete(b.shares, s)
}
