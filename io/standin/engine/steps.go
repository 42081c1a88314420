package engine

import "time"

// run executes steps until the engine is closed.
func (e *Engine) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	next := time.Now()
	for {
		d, work := e.plan()
		if !work {
			select {
			case <-e.stop:
				return
			case <-e.wake:
			}
			next = time.Now()

			continue
		}
		// Steps follow a fixed schedule, which compensates for late timers. If the loop itself is late, the schedule
		// shifts, so that missed steps are not made up for in a burst.
		next = next.Add(d)
		wait := time.Until(next)
		if wait < 0 {
			next = next.Add(-wait)
			wait = 0
		}
		timer.Reset(wait)
		select {
		case <-e.stop:
			return
		case <-timer.C:
		}
		e.step()
	}
}

// plan removes canceled streams and admits waiting ones to the batch. It returns the duration of the next step and
// whether there is any work.
func (e *Engine) plan() (time.Duration, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.running = e.removeCanceled(e.running)
	e.waiting = e.removeCanceled(e.waiting)
	for len(e.waiting) > 0 && len(e.running) < e.maxBatch {
		s := e.waiting[0]
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		s.prefill = time.Duration(s.size-e.cache.covered(s.blocks)) * e.perByte
		e.cache.store(s.blocks, time.Now())
		e.running = append(e.running, s)
	}
	e.counters.largestBatch = max(e.counters.largestBatch, len(e.running))
	e.recordLoad()
	if len(e.running) == 0 || e.faults.frozen {
		return 0, false
	}

	return time.Duration(float64(e.stepTime()) * max(1, e.faults.slow)), true
}

func (e *Engine) stepTime() time.Duration {
	return e.base + time.Duration(len(e.running))*e.perStream
}

// step generates one token for each stream that has completed its prefill.
func (e *Engine) step() {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.faults.frozen {
		return
	}
	d := e.stepTime()
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.prefill > 0 {
			s.prefill -= d
			remaining = append(remaining, s)

			continue
		}
		if s.isCanceled() {
			remaining = append(remaining, s)

			continue
		}
		repeat := e.faults.duplicates > 0
		if repeat {
			e.faults.duplicates--
		}
		e.counters.tokens++
		if !s.advance(repeat) {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

func (e *Engine) removeCanceled(l []*stream) []*stream {
	remaining := l[:0]
	for _, s := range l {
		if s.isCanceled() {
			e.counters.canceled++
		} else {
			remaining = append(remaining, s)
		}
	}
	clear(l[len(remaining):])

	return remaining
}

// add queues a stream for the next batch.
func (e *Engine) add(s *stream) {
	e.lock.Lock()
	e.counters.started[s.id]++
	if s.offset < s.answer.tokens { // A resumed stream may already be complete.
		e.waiting = append(e.waiting, s)
	}
	e.recordLoad()
	e.lock.Unlock()
	e.notify()
}

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// recordLoad records a load sample if the load has changed; the caller holds the lock.
func (e *Engine) recordLoad() {
	now := time.Now()
	n := sample{
		at:      now,
		running: len(e.running),
		waiting: len(e.waiting),
	}
	if k := len(e.samples); k > 0 && e.samples[k-1].running == n.running && e.samples[k-1].waiting == n.waiting {
		return
	}
	for len(e.samples) > 1 && now.Sub(e.samples[1].at) > e.loadLag {
		e.samples = e.samples[1:]
	}
	e.samples = append(e.samples, n)
}

// load returns the load as of loadLag ago.
func (e *Engine) load() sample {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := sample{
		at: time.Now().Add(-e.loadLag),
	}
	for _, s := range e.samples {
		if !s.at.After(r.at) {
			r.running, r.waiting = s.running, s.waiting
		}
	}

	return r
}
