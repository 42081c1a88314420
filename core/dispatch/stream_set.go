package dispatch

import (
	"context"
	"sync"
)

// streamSet decides which of an attempt's concurrent streams delivers to the caller: the first one with a token. A stream that
// is added later takes over with its first token, since it was started because the delivering one had become late.
type streamSet struct {
	mu       sync.Mutex
	activeID uint64
	streams  map[uint64]openStream
}

type openStream struct {
	serverStream serverStream
	cancel       context.CancelFunc
}

// add adds a stream. activeID is the delivering stream, 0 for none, when the decision to start it was made; if another one
// delivers by now, the new stream is canceled.
func (ss *streamSet) add(st serverStream, activeID uint64, cancel context.CancelFunc) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.activeID != activeID {
		cancel()

		return
	}
	ss.streams[st.id] = openStream{
		serverStream: st,
		cancel:       cancel,
	}
}

// activate reports whether a stream may deliver a token. With its first token it becomes the delivering stream, and all
// others are canceled.
func (ss *streamSet) activate(id uint64) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if _, in := ss.streams[id]; !in {
		return false
	}
	if id == ss.activeID {
		return true
	}
	ss.activeID = id
	for other, e := range ss.streams {
		if other != id {
			e.cancel()
			delete(ss.streams, other)
		}
	}

	return true
}

// remove drops a stream that has ended.
func (ss *streamSet) remove(id uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.streams, id)
}

func (ss *streamSet) cancelAll() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, e := range ss.streams {
		e.cancel()
	}
}

// only returns the only stream in flight and the ID of the stream that delivered last, 0 before the first token; false if
// the number of streams in flight is not one.
func (ss *streamSet) only() (st serverStream, activeID uint64, ok bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if len(ss.streams) != 1 {
		return serverStream{}, 0, false
	}
	for _, e := range ss.streams {
		st = e.serverStream
	}

	return st, ss.activeID, true
}
