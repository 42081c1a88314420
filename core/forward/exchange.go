package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"tarragonwalk/core/answer"
	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/eventstream"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/route"
)

const (
	// maxBodyBytes bounds a response that is read whole before it is passed on.
	maxBodyBytes = 16 << 20
	// readBytes is the size of one read of a stream; several events fit.
	readBytes = 4 << 10
)

var (
	errSilent = fault.New(fault.CodeBackendSilent, "the backend server has been silent for too long")
	errSink   = fault.New(fault.CodeCancelled, "the caller does not read the answer")
	errStatus = fault.New(fault.CodeBackendFailed, "the backend server answered with a failure")
)

// exchange is the state of one request; it is used by one goroutine, except for its watchdog.
type exchange struct {
	forwarder *Forwarder
	route     *route.Route
	call      *call.Call
	sink      sink
	service   string
	// queue is the limit of online requests per slot below which a server gets the request.
	queue float64
	// tried holds the IDs of the servers that the request was sent to.
	tried map[string]bool
	// ran counts attempts that may have run.
	ran int
	// refused counts attempts that have not run.
	refused int
	// began is set when the status line is sent to the caller.
	began  bool
	timing timing
	// server is the ID of the server of the latest attempt.
	server string
	// progressAt is when the current attempt was sent or last received bytes.
	progressAt time.Time
	splitter   *eventstream.Splitter
	// next is the reservation for the next attempt, which the watchdog made before it ended the current one.
	next *reservation
}

// reservation counts the request among those in flight on a server until release is called.
type reservation struct {
	server  backend.Server
	release func()
	// crowded is set if the server has more online requests than slots: the request may have to wait in its queue, so
	// silence does not mean that the server has failed.
	crowded bool
}

func (e *exchange) run(ctx context.Context) error {
	for {
		p := e.place()
		if p == nil {
			return e.ended(ctx, fault.New(fault.CodeOverloaded, "no backend server of service "+e.service+" can take the request"))
		}
		at := e.forwarder.now()
		p.crowded = e.forwarder.placer.Crowded(p.server, at)
		if n := e.forwarder.placer.Excess(p.server, at); n > 0 {
			e.forwarder.batch.Preempt(p.server.ID, n)
		}
		err := e.attempt(ctx, p)
		e.forwarder.judge(ctx, p, e.progressAt, err)
		if err == nil {
			e.dropNext()

			return nil
		}
		if !e.again(ctx, p, err) {
			return e.ended(ctx, err)
		}
	}
}

func (e *exchange) place() *reservation {
	if p := e.next; p != nil {
		e.next = nil

		return p
	}
	at := e.forwarder.now()
	s, release, ok := e.forwarder.placer.Online(e.service, e.tried, e.queue, at)
	if !ok {
		return nil
	}

	return &reservation{
		server:  s,
		release: release,
	}
}

// again reports whether another attempt is allowed after a failed one, and logs the decision.
func (e *exchange) again(ctx context.Context, p *reservation, err error) bool {
	notRun := fault.NotRun(err)
	if notRun {
		e.refused++
	} else {
		e.ran++
	}
	may := ctx.Err() == nil && !errors.Is(err, errSink)
	if notRun {
		may = may && e.refused < maxRefusals
	} else {
		may = may && e.route.Repeatable() && e.ran < max(1, e.route.MaxAttempts)
	}
	var last int64
	if e.splitter != nil {
		last = e.splitter.Last()
	}
	e.forwarder.log.Info("attempt ended", "request", e.call.ID, "route", e.route.Name, "server", p.server.ID, "error", err.Error(),
		"crowded", p.crowded, "not_run", notRun, "attempts", e.ran, "refusals", e.refused, "last_event", last, "again", may)

	return may
}

// dropNext releases the reservation for a next attempt that is not made.
func (e *exchange) dropNext() {
	if e.next != nil {
		e.next.release()
		e.next = nil
	}
}

// ended returns the error of the whole request after its last attempt: the time-out if that has passed, and outcome_unknown
// if the last attempt has not run but an earlier one may have.
func (e *exchange) ended(ctx context.Context, err error) error {
	e.dropNext()
	if errors.Is(context.Cause(ctx), errTimeout) {
		return errTimeout
	}
	if e.ran > 0 && fault.NotRun(err) {
		return fault.Wrap(err, fault.CodeOutcomeUnknown, "an earlier attempt may have run")
	}

	return err
}

// attempt sends the request once; a nil error means that the caller has the whole answer.
func (e *exchange) attempt(ctx context.Context, p *reservation) error {
	defer p.release()
	e.tried[p.server.ID] = true
	e.server = p.server.ID
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := e.watch(cancel)
	defer w.stop()
	e.progressAt = e.forwarder.now()
	after := int64(0)
	if e.splitter != nil {
		after = e.splitter.Last()
		e.splitter.Restart()
	}
	a, err := e.forwarder.sender.Send(ctx, p.server, e.call, after)
	if err != nil {
		return silent(ctx, err)
	}
	defer a.Body.Close()
	if a.Status == http.StatusOK && e.route.Kind == route.KindStream && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return silent(ctx, e.stream(a, p.server, w))
	}
	if e.began {
		return errStatus
	}

	return silent(ctx, e.whole(a, w))
}

// silent replaces the error of an attempt that the watchdog has ended by errSilent.
func silent(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}

	return err
}

// whole passes on an answer after all of it has been read, so that another attempt can still replace one that is cut off.
func (e *exchange) whole(a *answer.Answer, w *watchdog) error {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBodyBytes+1))
	w.stop()
	if err != nil {
		return fault.Wrap(err, fault.CodeOutcomeUnknown, "the answer broke off")
	}
	if len(body) > maxBodyBytes {
		return fault.New(fault.CodeOutcomeUnknown, "the answer is too long")
	}
	if a.Status >= http.StatusInternalServerError && e.route.Repeatable() && e.ran+1 < e.route.MaxAttempts {
		return errStatus
	}
	e.begin()
	if err := e.sink.Begin(a.Status, a.Header, int64(len(body))); err != nil {
		return errSink
	}
	if err := e.sink.Write(body); err != nil {
		return errSink
	}
	e.timing.deliver(e.forwarder.now())

	return nil
}

// stream passes on complete events as they arrive.
func (e *exchange) stream(a *answer.Answer, s backend.Server, w *watchdog) error {
	if e.splitter == nil {
		e.splitter = eventstream.New(e.resumedAfter())
	}
	buffer := make([]byte, readBytes)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			e.progressAt = e.forwarder.now()
			e.forwarder.roster.Progressed(s.ID, e.progressAt)
			e.splitter.Feed(buffer[:n])
			if err := e.deliver(a); err != nil {
				return err
			}
			if e.began {
				w.progress()
			}
		}
		if errors.Is(err, io.EOF) {
			if e.splitter.Pending() > 0 || !e.began {
				return fault.New(fault.CodeOutcomeUnknown, "the stream ended inside an event")
			}

			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.CodeOutcomeUnknown, "the stream broke off")
		}
	}
}

// deliver passes on all complete events that have arrived in one write.
func (e *exchange) deliver(a *answer.Answer) error {
	var ready []byte
	for {
		event, err := e.splitter.Next()
		if err != nil {
			return err
		}
		if event == nil {
			break
		}
		ready = append(ready, event...)
	}
	if len(ready) == 0 {
		return nil
	}
	if !e.began {
		e.begin()
		if err := e.sink.Begin(a.Status, a.Header, -1); err != nil {
			return errSink
		}
	}
	if err := e.sink.Write(ready); err != nil {
		return errSink
	}
	e.timing.deliver(e.forwarder.now())

	return nil
}

func (e *exchange) begin() {
	e.began = true
	firstBytes.Record(e.forwarder.now().Sub(e.timing.startedAt))
}

// resumedAfter returns the ID of the last event that the caller has from an earlier request, as it states in the header
// Last-Event-Id; 0 if it has none.
func (e *exchange) resumedAfter() int64 {
	id, ok := eventstream.ID([]byte("id:" + e.call.Header.Get("Last-Event-Id")))
	if !ok {
		return 0
	}

	return id
}

// watch starts a watchdog for an attempt of a repeatable request. When the server is silent, the watchdog reserves a free slot
// on another one and ends the attempt; while no other server has a free slot, the attempt goes on.
func (e *exchange) watch(cancel context.CancelCauseFunc) *watchdog {
	if !e.route.Repeatable() || e.ran+1 >= e.route.MaxAttempts {
		return newWatchdog(0, 0, nil)
	}
	first := time.Duration(e.route.TargetMillis) * time.Millisecond / 2
	if e.began {
		first = time.Duration(e.route.GapMillis) * time.Millisecond / 2
	}

	return newWatchdog(first, time.Duration(e.route.GapMillis)*time.Millisecond/2, func() bool {
		s, release, ok := e.forwarder.placer.Free(e.service, e.tried, e.forwarder.now())
		if !ok {
			return false
		}
		e.next = &reservation{
			server:  s,
			release: release,
		}
		cancel(errSilent)

		return true
	})
}
