package forward

import (
	"sync"
	"time"
)

// watchdog calls expired when nothing has happened for a while, again and again until that returns true.
type watchdog struct {
	// lock guards done, and makes stop wait for a call of expired.
	lock    sync.Mutex
	done    bool
	timer   *time.Timer
	gap     time.Duration
	expired func() bool
}

// newWatchdog allows first until the first progress and gap between later ones; without expired it does nothing.
func newWatchdog(first, gap time.Duration, expired func() bool) *watchdog {
	w := &watchdog{
		gap:     gap,
		expired: expired,
	}
	if expired == nil || first <= 0 {
		w.done = true

		return w
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(first, func() { w.fire(first / 2) })

	return w
}

func (w *watchdog) fire(next time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.done {
		return
	}
	if w.expired() {
		w.done = true

		return
	}
	w.timer.Reset(next)
}

// progress restarts the time that is allowed.
func (w *watchdog) progress() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.done {
		return
	}
	if w.gap <= 0 {
		w.done = true
		w.timer.Stop()

		return
	}
	w.timer.Reset(w.gap)
}

func (w *watchdog) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
