package dispatch

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/inference"
)

var (
	errPreempted = fault.New(fault.CodePreempted, "preempted by an online request")
	errStopped   = fault.New(fault.CodeCancelled, "another stream answers the request")
)

// lane is one stream of a request on one backend server; a call to a plain service counts as a stream.
type lane struct {
	id      uint64
	server  string
	address netip.AddrPort
	class   inference.Class
}

type outcome struct {
	lane   lane
	err    error
	failed bool
}

// attempt streams from the ticket's backend server, and starts a second stream on another one when a token is late. It
// returns the last failure after all streams have ended.
func (d *Dispatcher) attempt(ctx context.Context, s *sequence, t *ticket) error {
	ra := &race{lanes: map[uint64]entrant{}}
	results := make(chan outcome, 2)
	var group conc.WaitGroup
	defer group.Wait()
	launch := func(l lane, winner uint64) {
		laneCtx, cancel := context.WithCancel(ctx)
		r := s.next()
		ra.join(l, winner, cancel)
		group.Go(func() {
			defer cancel()
			results <- d.stream(laneCtx, s, ra, l, r)
		})
	}
	first := lane{
		id:      t.id,
		server:  t.server,
		address: t.address,
		class:   s.request.Class,
	}
	launch(first, 0)
	var late <-chan time.Time
	var timer *time.Timer
	if first.class == inference.ClassOnline && !d.plain {
		timer = time.NewTimer(d.hedgeAfter(s.request.Deployment, first.server))
		defer timer.Stop()
		late = timer.C
	}
	var failure error
	for streams := 1; streams > 0; {
		select {
		case o := <-results:
			streams--
			if o.failed {
				s.failed(o.lane.server, o.err)
				failure = o.err
			} else {
				s.ran.Store(true)
			}
			if ra.leave(o.lane.id); s.finished() || s.sinkError() != nil {
				ra.stop()
			}
		case <-late:
			next := lateCheck
			if l, winner, ok := ra.alone(); ok && ctx.Err() == nil {
				l, ok, next = d.late(s, l, winner != 0)
				if ok {
					launch(l, winner)
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

// stream runs one stream to its end. The outcome is not a failure if this instance stopped the stream or the request has
// finished.
func (d *Dispatcher) stream(ctx context.Context, s *sequence, ra *race, l lane, r *inference.Request) outcome {
	d.begin(r.Deployment, l)
	sent, err := d.send(ctx, s, ra, l, r)
	failed := err != nil && ctx.Err() == nil && s.sinkError() == nil && !s.finished() && !errors.Is(err, errStopped)
	d.release(l, err, failed)
	if sent && err != nil && !fault.NotRun(err) {
		d.cancel(ctx, l.address, r.Stream)
	}

	return outcome{
		lane:   l,
		err:    err,
		failed: failed,
	}
}

// send streams from the backend server. It sends nothing if the context has ended: a request that is canceled while it
// waits can be granted a slot at the same moment.
func (d *Dispatcher) send(ctx context.Context, s *sequence, ra *race, l lane, r *inference.Request) (sent bool, err error) {
	if ctx.Err() != nil {
		return false, ended(ctx)
	}
	err = d.engine.Stream(ctx, l.address, r, func(e inference.Event) error {
		if ctx.Err() != nil || !ra.claim(l.id) {
			return errStopped
		}
		before := d.token(l)
		err := s.deliver(e)
		if after := d.now(); after.Sub(before) > time.Millisecond {
			d.resume(l, after)
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

func (d *Dispatcher) begin(deployment string, l lane) {
	d.mu.Lock()
	defer d.unlock()
	d.pace.StartStream(deployment, l.server, l.id, d.now())
}

func (d *Dispatcher) token(l lane) time.Time {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	d.pace.Token(l.server, l.id, at)

	return at
}

func (d *Dispatcher) resume(l lane, at time.Time) {
	d.mu.Lock()
	defer d.unlock()
	d.pace.Resume(l.server, l.id, at)
}

// release frees the stream's slot, records a failure of its backend server, and starts waiting requests.
func (d *Dispatcher) release(l lane, err error, failed bool) {
	d.mu.Lock()
	defer d.unlock()
	at := d.now()
	d.pace.EndStream(l.server, l.id, at)
	if l.class == inference.ClassBatch {
		d.admission.EndBatch(l.id, l.server)
		delete(d.running, l.id)
	} else {
		d.admission.End(l.id)
		d.report(d.configuration.Current(), l.server, at)
	}
	if failed {
		switch fault.CodeOf(err) {
		case fault.CodeBackendLeaving:
			d.avoid[l.server] = at.Add(avoidLeaving)
		case fault.CodeBackendUnreachable, fault.CodeBackendSilent, fault.CodeStreamLost:
			d.pace.Fail(l.server, at)
		}
	}
	d.schedule(at)
}

// again waits for the backoff before another attempt. It returns err if the failure may not be retried (may is false), or
// the attempts, the retry budget or the deadline do not allow another one.
func (d *Dispatcher) again(ctx context.Context, s *sequence, err error, may bool) error {
	s.attempts++
	if !may || s.attempts >= maxAttempts {
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
		return ended(ctx)
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

func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Wrap(ctx.Err(), fault.CodeDeadlinePassed, "the deadline has passed")
	}

	return fault.Wrap(ctx.Err(), fault.CodeCancelled, "the request was canceled")
}
