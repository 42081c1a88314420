package link

import (
	"sync"
	"time"
)

// Link is a serial link with a fixed rate; it is safe for concurrent use.
type Link struct {
	perSecond int

	lock sync.Mutex
	free time.Time
}

// New returns an idle link with a rate in bytes per second.
func New(perSecond int) *Link {
	return &Link{perSecond: perSecond}
}

// Reserve queues n bytes that arrive at the given time and returns when the last of them has been transmitted.
func (l *Link) Reserve(n int, at time.Time) time.Time {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.free.Before(at) {
		l.free = at
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.perSecond))

	return l.free
}
