package forward

import (
	"sync"
	"time"
)

// watchdog calls expired when there is no progress within an allowed time, and repeats the call until it returns true.
type watchdog struct {
	// lock guards done, and makes stop wait until a running call of expired has returned.
	lock    sync.Mutex
	done    bool
	timer   *time.Timer
	gap     time.Duration
	expired func() bool
}

// newWatchdog starts a watchdog that allows the time first until the first progress, and then gap from each progress to the
// next, or any time if gap is 0. Without expired, or if first is 0, it does nothing.
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

// progress restarts the allowed time.
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
