package dispatch

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"tarragonwalk/core/background"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

var (
	errPreempted = fault.New(fault.CodePreempted, "preempted by an online request")
	errStopped   = fault.New(fault.CodeCancelled, "another stream answers the request")
)

// serverStream is one stream of a request on one backend server; a call to a plain service counts as a stream.
type serverStream struct {
	id      uint64
	server  string
	address netip.AddrPort
	class   inference.Class
}

type outcome struct {
	serverStream serverStream
	err          error
	failed       bool
}

// attempt streams from the ticket's backend server, and starts a second stream on another one when a token is late. It
// returns the last failure after all streams have ended.
func (d *Dispatcher) attempt(ctx context.Context, s *requestState, t *ticket) error {
	ss := &streamSet{streams: map[uint64]openStream{}}
	results := make(chan outcome, 2)
	var group background.Tasks
	defer group.Wait()
	launch := func(st serverStream, activeID uint64) {
		streamCtx, cancel := context.WithCancel(ctx)
		r := s.nextRequest()
		ss.add(st, activeID, cancel)
		group.Go(func() {
			defer cancel()
			results <- d.runStream(streamCtx, s, ss, st, r)
		})
	}
	first := serverStream{
		id:      t.id,
		server:  t.server,
		address: t.address,
		class:   s.request.Class,
	}
	launch(first, 0)
	var late <-chan time.Time
	var timer *time.Timer
	if first.class == inference.ClassOnline && !d.hedgingDisabled {
		timer = time.NewTimer(d.hedgeDelay(s.request.Deployment, first.server))
		defer timer.Stop()
		late = timer.C
	}
	var failure error
	for streams := 1; streams > 0; {
		select {
		case o := <-results:
			streams--
			if o.failed {
				s.recordFailure(o.serverStream.server, o.err)
				failure = o.err
			} else {
				s.mayHaveRun.Store(true)
			}
			if ss.remove(o.serverStream.id); s.finished() || s.callerError() != nil {
				ss.cancelAll()
			}
		case <-late:
			next := lateCheckInterval
			if st, activeID, ok := ss.only(); ok && ctx.Err() == nil {
				st, ok, next = d.secondStreamIfLate(s, st, activeID != 0)
				if ok {
					launch(st, activeID)
					streams++
				}
			}
			timer.Reset(next)
		}
	}
	if failure == nil {
		failure = fault.New(fault.CodeStreamLost, "the stream ended before its last event")
	}

	return failure
}

// runStream runs one stream to its end. The outcome is not a failure if this instance stopped the stream or the request has
// finished.
func (d *Dispatcher) runStream(ctx context.Context, s *requestState, ss *streamSet, st serverStream, r *inference.Request) outcome {
	d.recordStart(r.Deployment, st)
	sent, err := d.send(ctx, s, ss, st, r)
	failed := err != nil && ctx.Err() == nil && s.callerError() == nil && !s.finished() && !errors.Is(err, errStopped)
	d.release(st, err, failed)
	if sent && err != nil && !fault.NotRun(err) {
		d.cancel(ctx, st.address, r.Stream)
	}

	return outcome{
		serverStream: st,
		err:          err,
		failed:       failed,
	}
}

// send streams from the backend server. It sends nothing if the context has ended: a request that is canceled while it
// waits can be granted a slot at the same moment.
func (d *Dispatcher) send(ctx context.Context, s *requestState, ss *streamSet, st serverStream, r *inference.Request) (sent bool, err error) {
	if ctx.Err() != nil {
		return false, contextError(ctx)
	}
	err = d.engine.Stream(ctx, st.address, r, func(e inference.Event) error {
		if ctx.Err() != nil || !ss.activate(st.id) {
			return errStopped
		}
		before := d.recordToken(st)
		err := s.deliver(e)
		if after := d.now(); after.Sub(before) > time.Millisecond {
			d.restartGap(st, after)
		}

		return err
	})
	if err == nil && !s.finished() {
		err = fault.New(fault.CodeStreamLost, "the stream ended before its last event")
	}

	return true, err
}

// cancel ends a stream on its backend server in the background; it does nothing if cancelLimit cancellations are in flight.
func (d *Dispatcher) cancel(ctx context.Context, a netip.AddrPort, stream string) {
	select {
	case d.cancelSlots <- struct{}{}:
	default:
		counters.Add("CancelsSkipped", 1)

		return
	}
	go func() {
		defer func() { <-d.cancelSlots }()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		if err := d.engine.Cancel(ctx, a, stream); err != nil {
			counters.Add("CancelsFailed", 1)
		}
	}()
}

func (d *Dispatcher) recordStart(deployment string, st serverStream) {
	d.mu.Lock()
	defer d.unlock()
	d.latency.StartStream(deployment, st.server, st.id, d.now())
}

func (d *Dispatcher) recordToken(st serverStream) time.Time {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	d.latency.Token(st.server, st.id, at)

	return at
}

func (d *Dispatcher) restartGap(st serverStream, at time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.latency.RestartGap(st.server, st.id, at)
}

// release frees the stream's slot, records a failure of its backend server, and starts waiting requests.
func (d *Dispatcher) release(st serverStream, err error, failed bool) {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	d.latency.EndStream(st.server, st.id, at)
	if st.class == inference.ClassBatch {
		d.admission.EndBatch(st.id, st.server)
		delete(d.running, st.id)
	} else {
		d.admission.End(st.id)
		d.reportOnline(d.configuration.Current(), st.server, at)
	}
	if failed {
		switch fault.CodeOf(err) {
		case fault.CodeBackendLeaving:
			d.avoidUntil[st.server] = at.Add(avoidLeaving)
		case fault.CodeBackendUnreachable, fault.CodeBackendSilent, fault.CodeStreamLost:
			d.latency.Fail(st.server, at)
		}
	}
	d.schedule(at)
}

// awaitRetry waits for the backoff before another attempt. It returns err if mayRetry is false, or if the number of attempts,
// the retry budget or the deadline does not allow another one.
func (d *Dispatcher) awaitRetry(ctx context.Context, s *requestState, err error, mayRetry bool) error {
	s.attempts++
	if !mayRetry || s.attempts >= maxAttempts {
		return err
	}
	d.mu.Lock()
	at := d.now()
	// A refusal by a leaving server is not charged to the budget: nothing has run, and the other servers do not repeat the
	// refusal.
	allowed := fault.CodeOf(err) == fault.CodeBackendLeaving || d.retries.Allow()
	next := d.retries.Next(s.attempts, at)
	d.unlock()
	if !allowed || !s.request.Deadline.IsZero() && next.After(s.request.Deadline) {
		return err
	}
	counters.Add("Retried", 1)
	timer := time.NewTimer(next.Sub(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}

func retryable(code fault.Code) bool {
	switch code {
	case fault.CodeBackendUnreachable, fault.CodeBackendLeaving, fault.CodeBackendSilent, fault.CodeBackendFailed,
		fault.CodeStreamLost, fault.CodeOverloaded, fault.CodeUnavailable:
		return true
	default:
		return false
	}
}

func withDeadline(ctx context.Context, r *inference.Request) (context.Context, context.CancelFunc) {
	if r.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}

	return context.WithDeadline(ctx, r.Deadline)
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Wrap(ctx.Err(), fault.CodeDeadlinePassed, "the deadline has passed")
	}

	return fault.Wrap(ctx.Err(), fault.CodeCancelled, "the request was canceled")
}
