package dispatch

import (
	"context"
	"sync"
)

// race decides which of an attempt's concurrent streams delivers to the caller: the first one with a token. A stream that
// is added later takes over with its first token, since it was started because the delivering one had become late.
type race struct {
	mu     sync.Mutex
	winner uint64
	lanes  map[uint64]entrant
}

type entrant struct {
	lane   lane
	cancel context.CancelFunc
}

// join adds a stream. winner is the delivering stream, 0 for none, when the decision to start it was made; if another one
// delivers by now, the new stream is canceled.
func (ra *race) join(l lane, winner uint64, cancel context.CancelFunc) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if ra.winner != winner {
		cancel()

		return
	}
	ra.lanes[l.id] = entrant{
		lane:   l,
		cancel: cancel,
	}
}

// claim reports whether a stream may deliver a token. With its first token it becomes the delivering stream, and all
// others are canceled.
func (ra *race) claim(id uint64) bool {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if _, in := ra.lanes[id]; !in {
		return false
	}
	if id == ra.winner {
		return true
	}
	ra.winner = id
	for other, e := range ra.lanes {
		if other != id {
			e.cancel()
			delete(ra.lanes, other)
		}
	}

	return true
}

// leave removes a stream that has ended.
func (ra *race) leave(id uint64) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	delete(ra.lanes, id)
}

func (ra *race) stop() {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	for _, e := range ra.lanes {
		e.cancel()
	}
}

// alone returns the only stream in flight and the ID of the stream that delivered last, 0 before the first token; false if
// the number of streams in flight is not one.
func (ra *race) alone() (l lane, winner uint64, ok bool) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if len(ra.lanes) != 1 {
		return lane{}, 0, false
	}
	for _, e := range ra.lanes {
		l = e.lane
	}

	return l, ra.winner, true
}
