package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tarragonwalk/core/route"
)

const (
	// maxOverlap bounds the time for which two servers work on one request.
	maxOverlap = 300 * time.Millisecond
	// maxSilence is the time after which a server that sends nothing is more likely to be gone than to go on.
	maxSilence = 1300 * time.Millisecond
)

// watchdog watches the current attempt of a request. While the server is silent, it sends the request to a second server as well. Only
// when that one has accepted the request, the current attempt ends: its server may be sound, and the second one may refuse or fail. A stream
// is accepted with its first event, and a response that is passed on whole when all of it has been received.
type watchdog struct {
	request *requestState
	// ctx is the context of the request.
	ctx     context.Context
	current *attempt

	// The lock of the request guards all fields below.

	done bool
	// paused is set while events are written to the caller, who may be slow.
	paused    bool
	timer     *time.Timer
	expiresAt time.Time
	// goneAt is when the current server counts as gone unless it makes progress. The time in which events are written to the caller is
	// no silence.
	goneAt time.Time
	// silence is the time without progress after which a server counts as gone.
	silence time.Duration
	// gap is the allowed time from each progress to the next, any time if it is 0, and retry the time after which a search for a
	// second server is repeated.
	gap, retry time.Duration
	// reported is set when the silence of the current server was reported to the roster.
	reported bool
	// hedge is the attempt on the second server until that has accepted it, and overlap bounds it.
	hedge   *attempt
	overlap *time.Timer
}

// startWatchdog starts a watchdog for an attempt of a repeatable request.
func (rs *requestState) startWatchdog(ctx context.Context, a *attempt) *watchdog {
	rs.lock.Lock()
	defer rs.lock.Unlock()
	gap := time.Duration(rs.route.GapMillis) * time.Millisecond / 2
	target := time.Duration(rs.route.TargetMillis) * time.Millisecond
	first, silence := target/2, max(maxSilence, target)
	if rs.began {
		first, silence = gap, maxSilence
	}
	w := &watchdog{
		request: rs,
		ctx:     ctx,
		current: a,
		silence: silence,
		goneAt:  rs.progressAt.Add(silence),
		gap:     gap,
		retry:   first / 2,
	}
	if first <= 0 || rs.exhausted() {
		w.done = true

		return w
	}
	w.expiresAt = rs.forwarder.now().Add(first)
	w.timer = time.AfterFunc(first, w.expire)

	return w
}

// expire begins a hedge if the server has been silent for the allowed time.
func (w *watchdog) expire() {
	w.request.lock.Lock()
	defer w.request.lock.Unlock()
	if w.done || w.paused || w.hedge != nil {
		return
	}
	if left := w.expiresAt.Sub(w.request.forwarder.now()); left > 0 {
		w.timer.Reset(left)

		return
	}
	w.startHedge()
}

// startHedge sends the request to a second server, or tries again later while no other server has a free slot.
func (w *watchdog) startHedge() {
	rs := w.request
	if w.ctx.Err() != nil || rs.exhausted() {
		w.done = true

		return
	}
	at := rs.forwarder.now()
	if rs.refused >= maxRefusals && at.Before(rs.readmitAt) {
		w.searchAgain(rs.readmitAt.Sub(at))

		return
	}
	h := rs.newHedge(w.ctx, at, !at.Before(w.goneAt))
	if h == nil {
		w.searchAgain(w.retry)

		return
	}
	w.begin(h)
}

// searchAgain searches a second server again after a pause. It needs the lock.
func (w *watchdog) searchAgain(pause time.Duration) {
	w.expiresAt = w.request.forwarder.now().Add(pause)
	w.timer.Reset(pause)
}

// begin sends the request to a second server. It needs the lock.
func (w *watchdog) begin(h *attempt) {
	rs := w.request
	if !w.reported {
		w.reported = true
		rs.forwarder.recordAttempt(w.ctx, rs, w.current, rs.progressAt, errSilent)
	}
	h.started = true
	w.hedge = h
	w.overlap = time.AfterFunc(maxOverlap, func() { w.endOverlap(h) })
	after := rs.lastID()
	rs.forwarder.log.Info("request hedged", "request", rs.call.ID, "route", rs.route.Name, "server", w.current.server.ID, "second", h.server.ID,
		"began", rs.began, "last_event", after, "silent_ms", h.sentAt.Sub(rs.progressAt).Milliseconds(), "attempts", rs.ran, "refusals", rs.refused)
	began, last := rs.began, after
	if rs.splitter == nil {
		last = rs.resumedAfter()
	}
	go func() {
		h.send(rs.forwarder, rs.call, after, func() error {
			switch {
			case rs.isStream(h.response):
				return h.awaitEvent(last, began)
			case began:
				return nil
			}
			w.extendOverlap(h)

			return h.readBody()
		})
		w.resolve(h)
	}()
}

// extendOverlap lets the second server go on with a response that it has begun to answer.
func (w *watchdog) extendOverlap(h *attempt) {
	rs := w.request
	rs.lock.Lock()
	defer rs.lock.Unlock()
	if w.hedge == h && rs.route.Kind != route.KindStream && h.response.Status < http.StatusInternalServerError {
		w.overlap.Reset(w.silence)
	}
}

// resolve decides on a hedge that was answered: the current attempt ends if the second server has accepted the request.
func (w *watchdog) resolve(h *attempt) {
	rs := w.request
	rs.lock.Lock()
	defer rs.lock.Unlock()
	if w.hedge != h {
		return
	}
	err := rs.acceptance(h)
	if err == nil && h.empty {
		w.settle()

		return
	}
	if err == nil {
		w.replaceCurrent()

		return
	}
	w.overlap.Stop()
	w.hedge = nil
	rs.recordHedge(w.ctx, h, err)
	h.end()
	w.startHedge()
}

// endOverlap ends one of two attempts that are both without an answer: the second one for as long as the first server may be sound.
func (w *watchdog) endOverlap(h *attempt) {
	w.request.lock.Lock()
	defer w.request.lock.Unlock()
	if w.hedge == h {
		w.settle()
	}
}

// settle chooses between two attempts of which none has an event or a whole response. It needs the lock.
func (w *watchdog) settle() {
	rs := w.request
	at := rs.forwarder.now()
	switch {
	case at.Before(w.goneAt):
		w.dropHedge()
		w.searchAgain(w.retry)
	case rs.route.Kind == route.KindStream:
		w.replaceCurrent()
	default:
		// Both may be sound, so the second attempt ends only for a further one.
		w.overlap.Reset(w.retry)
		if w.ctx.Err() != nil || rs.dangerous() || rs.forwarder.sendable(rs.call) != nil {
			return
		}
		if h := rs.newFurther(w.ctx, at, 2); h != nil {
			w.dropHedge()
			w.begin(h)
		}
	}
}

// replaceCurrent makes the hedge the next attempt and ends the current one.
func (w *watchdog) replaceCurrent() {
	w.overlap.Stop()
	w.done = true
	w.request.next = w.hedge
	w.request.replaced = w.current.server.ID
	w.hedge = nil
	w.current.cancel(errSilent)
}

// dropHedge abandons the hedge; the second server may have run the request.
func (w *watchdog) dropHedge() {
	w.overlap.Stop()
	w.request.recordHedge(w.ctx, w.hedge, errAbandoned)
	w.request.dropped = w.hedge.server.ID
	w.hedge.abandon()
	w.hedge = nil
}

// accept calls split, which takes events from the current attempt and reports whether any of them contains data, and pauses the watchdog
// until resume. It returns false without a call if another server continues the request.
func (w *watchdog) accept(split func() (progress bool)) bool {
	rs := w.request
	rs.lock.Lock()
	defer rs.lock.Unlock()
	if rs.next != nil {
		return false
	}
	last := rs.lastID()
	progress := split()
	w.paused = true
	if progress {
		rs.progressAt = rs.forwarder.now()
		if !rs.progressed {
			rs.forwarder.parts.RecordAnswer(w.current.server, rs.call.Parts, w.current.sentAt, rs.progressAt)
		}
		rs.progressed, rs.answered = true, true
		w.done = w.done || w.gap <= 0
	}
	if w.hedge != nil && (progress || rs.lastID() != last || !rs.splitter.Resumable()) {
		w.dropHedge()
	}

	return true
}

// resume continues after accept, once the caller has the events.
func (w *watchdog) resume(progress bool) {
	rs := w.request
	rs.lock.Lock()
	defer rs.lock.Unlock()
	w.paused = false
	if w.done || w.hedge != nil {
		return
	}
	at := rs.forwarder.now()
	if progress {
		w.goneAt = at.Add(maxSilence)
		w.expiresAt = at.Add(w.gap)
	}
	w.timer.Reset(max(0, w.expiresAt.Sub(at)))
}

// stop ends the watchdog of an attempt that has ended with err. If the request has failed there, a hedge is its next attempt.
func (w *watchdog) stop(err error) {
	rs := w.request
	rs.lock.Lock()
	defer rs.lock.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
	h := w.hedge
	if h == nil {
		return
	}
	w.hedge = nil
	w.overlap.Stop()
	if err == nil || w.ctx.Err() != nil || errors.Is(err, errSink) {
		h.abandon()

		return
	}
	rs.next = h
}
