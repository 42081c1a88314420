package dispatch

import (
	"context"
	"sync"
)

// race decides which stream of an attempt answers: the first one with a token, and a later one from its first token on,
// since it was started because the answering stream had become late.
type race struct {
	mu     sync.Mutex
	winner uint64
	lanes  map[uint64]entrant
}

type entrant struct {
	lane   lane
	cancel context.CancelFunc
}

// join adds a stream that was started because of what the winner, 0 for none, did; it ends the stream if another one
// answers by now.
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

// claim reports whether a stream may deliver, and ends the others when it is the one to answer from now on.
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

// alone returns the only stream of the race and the winner, 0 before the first token; false if there is not just one.
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
