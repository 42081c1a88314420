package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/coalesce"
	"tarragonwalk/core/eventstream"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
)

const (
	// maxBodyBytes bounds a response that is read whole before it is passed on.
	maxBodyBytes = 16 << 20
	// readInterval is the least time between two reads of a stream, so that events that follow each other closely are passed on
	// together. It is well below the time between tokens that a reader notices.
	readInterval = 20 * time.Millisecond
	// readBytes is the size of one read of a stream; several events fit.
	readBytes = 4 << 10
)

var (
	errSilent = fault.New(fault.CodeBackendSilent, "the backend server has been silent for too long")
	errSink   = fault.New(fault.CodeCancelled, "the caller does not read the response")
	errStatus = fault.New(fault.CodeBackendFailed, "the backend server answered with a failure")
)

// requestState is the state of one request; it is used by one goroutine, except for its watchdog.
type requestState struct {
	forwarder *Forwarder
	route     *route.Route
	call      *call.Call
	sink      sink
	service   string
	// loadLimit is the limit of online requests per slot below which a server gets the request.
	loadLimit float64
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
	// sentAt is when the current attempt began.
	sentAt time.Time
	// progressAt is when the current attempt was sent or last received bytes.
	progressAt time.Time
	// progressed is set when the current attempt has delivered an event, completed when it has delivered a successful response.
	progressed bool
	completed  bool
	// silenced is set when an attempt was ended because its server was silent.
	silenced bool
	// lost is set when an attempt has lost its connection before anything was answered.
	lost     bool
	splitter *eventstream.Splitter
	// next is the reservation for the next attempt, which the watchdog made before it ended the current one.
	next *reservation
}

// reservation counts the request among those in flight on a server until release is called.
type reservation struct {
	server  backend.Server
	release func()
	// oversubscribed is set if the server has more online requests than slots: the request may have to wait in its queue, so
	// silence does not mean that the server has failed.
	oversubscribed bool
}

func (rs *requestState) run(ctx context.Context) error {
	for {
		p := rs.reserve()
		if p == nil {
			return rs.finalError(ctx, fault.New(fault.CodeOverloaded, "no backend server of service "+rs.service+" can take the request"))
		}
		at := rs.forwarder.now()
		p.oversubscribed = rs.forwarder.placer.Oversubscribed(p.server, at)
		if n := rs.forwarder.placer.Excess(p.server, at); n > 0 {
			rs.forwarder.batch.Preempt(p.server.ID, n)
		}
		err := rs.attempt(ctx, p)
		rs.forwarder.recordAttempt(ctx, p, rs.progressAt, err)
		rs.forwarder.recordParts(ctx, rs, p, err)
		if err == nil {
			rs.releaseNext()

			return nil
		}
		if !rs.mayRetry(ctx, p, err) {
			return rs.finalError(ctx, err)
		}
	}
}

func (rs *requestState) reserve() *reservation {
	if p := rs.next; p != nil {
		rs.next = nil

		return p
	}
	at := rs.forwarder.now()
	s, release, ok := rs.forwarder.placer.Online(rs.service, rs.tried, rs.loadLimit, at)
	if !ok {
		return nil
	}

	return &reservation{
		server:  s,
		release: release,
	}
}

// mayRetry reports whether another attempt is allowed after a failed one, and logs the decision.
func (rs *requestState) mayRetry(ctx context.Context, p *reservation, err error) bool {
	notRun := fault.NotRun(err)
	rs.silenced = rs.silenced || fault.Caused(err, errSilent)
	if notRun {
		rs.refused++
	} else {
		rs.ran++
	}
	allowed := ctx.Err() == nil && !errors.Is(err, errSink) && (!rs.began || rs.splitter.Resumable())
	if notRun {
		allowed = allowed && rs.refused < maxRefusals
	} else {
		allowed = allowed && rs.route.Repeatable() && rs.ran < max(1, rs.route.MaxAttempts)
	}
	allowed = allowed && !rs.dangerous()
	rs.forwarder.log.Info("attempt ended", "request", rs.call.ID, "route", rs.route.Name, "server", p.server.ID, "error", err.Error(),
		"crowded", p.oversubscribed, "not_run", notRun, "attempts", rs.ran, "refusals", rs.refused, "began", rs.began, "last_event", rs.lastID(),
		"silent_ms", rs.forwarder.now().Sub(rs.progressAt).Milliseconds(), "again", allowed)

	return allowed
}

// dangerous reports whether the request may crash another server: one of its parts is quarantined, or it has lost a connection and a
// part is suspected.
func (rs *requestState) dangerous() bool {
	if rs.began {
		return false
	}
	if rs.lost && !rs.forwarder.parts.MayRetry(rs.call.Parts) {
		return true
	}
	_, _, quarantined := rs.forwarder.parts.Quarantined(rs.call.Parts)

	return quarantined
}

// releaseNext releases the reservation for a next attempt that is not made.
func (rs *requestState) releaseNext() {
	if rs.next != nil {
		rs.next.release()
		rs.next = nil
	}
}

// finalError returns the error of the whole request after its last attempt: the time-out if that has passed, and
// outcome_unknown if the last attempt has not run but an earlier one may have.
func (rs *requestState) finalError(ctx context.Context, err error) error {
	rs.releaseNext()
	if errors.Is(context.Cause(ctx), errTimeout) {
		return errTimeout
	}
	if rs.ran > 0 && fault.NotRun(err) {
		return fault.Wrap(err, fault.CodeOutcomeUnknown, "an earlier attempt may have run")
	}

	return err
}

// attempt sends the request once; a nil error means that the caller has the whole response.
func (rs *requestState) attempt(ctx context.Context, p *reservation) error {
	defer p.release()
	rs.tried[p.server.ID] = true
	rs.server = p.server.ID
	rs.progressed, rs.completed = false, false
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := rs.startWatchdog(cancel)
	defer w.stop()
	resize, end := rs.forwarder.budget.Open("responses", func() { cancel(bytebudget.ErrDropped) })
	defer end()
	rs.sentAt = rs.forwarder.now()
	rs.progressAt = rs.sentAt
	if rs.splitter != nil {
		rs.splitter.DropPartial()
	}
	resp, err := rs.forwarder.sender.Send(ctx, p.server, rs.call, rs.lastID())
	if err != nil {
		return attemptError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.Status == http.StatusOK && rs.route.Kind == route.KindStream && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return attemptError(ctx, rs.forwardStream(resp, p.server, w, resize))
	}
	if rs.began {
		return errStatus
	}

	return attemptError(ctx, rs.forwardWhole(resp, w, resize))
}

// attemptError returns the reason for which this instance has ended an attempt in place of the error that this led to.
func attemptError(ctx context.Context, err error) error {
	for _, reason := range []error{errSilent, bytebudget.ErrDropped} {
		if err != nil && fault.Caused(context.Cause(ctx), reason) {
			return reason
		}
	}

	return err
}

// forwardWhole passes on a response after all of it has been read, so that another attempt can still replace one that is cut
// off.
func (rs *requestState) forwardWhole(resp *response.Response, w *watchdog, resize func(size int) error) error {
	body, err := readWhole(resp.Body, maxBodyBytes, resize)
	w.stop()
	if fault.Caused(err, errTooLong) || fault.Caused(err, bytebudget.ErrDropped) {
		return err
	}
	if err != nil {
		return fault.Wrap(err, fault.CodeOutcomeUnknown, "the response broke off")
	}
	if resp.Status >= http.StatusInternalServerError && rs.route.Repeatable() && rs.ran+1 < rs.route.MaxAttempts {
		return errStatus
	}
	rs.completed = resp.Status < http.StatusMultipleChoices
	rs.begin()
	if err := rs.sink.Begin(resp.Status, resp.Header, int64(len(body))); err != nil {
		return errSink
	}
	if err := rs.sink.Write(body); err != nil {
		return errSink
	}
	rs.timing.deliver(rs.forwarder.now())

	return nil
}

// forwardStream passes on complete events as they arrive.
func (rs *requestState) forwardStream(resp *response.Response, s backend.Server, w *watchdog, resize func(size int) error) error {
	if rs.splitter == nil {
		rs.splitter = eventstream.New(rs.resumedAfter())
	}
	body := coalesce.New(resp.Body, readInterval, rs.forwarder.now)
	buffer := make([]byte, readBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			rs.splitter.Feed(buffer[:n])
			delivered, err := rs.deliver(resp)
			if err == nil {
				err = resize(rs.splitter.Pending())
			}
			if err != nil {
				return err
			}
			if delivered {
				rs.progressAt = rs.forwarder.now()
				rs.forwarder.roster.RecordProgress(s.ID, rs.progressAt)
				rs.forwarder.parts.RecordProgress(s, rs.sentAt, rs.progressAt)
				rs.progressed = true
				w.progress()
			}
		}
		if errors.Is(err, io.EOF) {
			if rs.splitter.Pending() > 0 || !rs.began {
				return fault.Wrap(io.ErrUnexpectedEOF, fault.CodeOutcomeUnknown, "the stream ended inside an event")
			}
			rs.completed = resp.Status < http.StatusMultipleChoices

			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.CodeOutcomeUnknown, "the stream broke off")
		}
	}
}

// deliver passes on all complete events that have arrived in one write, also those before one that is wrong: the next attempt goes on
// after them. It reports whether any of them contains data. Bytes without data, such as comments or parts of an event, are no progress: a
// server could send them without end.
func (rs *requestState) deliver(resp *response.Response) (progress bool, err error) {
	var ready []byte
	var failure error
	for {
		var event []byte
		event, failure = rs.splitter.Next()
		if event == nil {
			break
		}
		_, ok := eventstream.Data(event)
		progress = progress || ok
		ready = append(ready, event...)
	}
	if len(ready) == 0 {
		return false, failure
	}
	if !rs.began {
		rs.begin()
		if err := rs.sink.Begin(resp.Status, resp.Header, -1); err != nil {
			return false, errSink
		}
	}
	if err := rs.sink.Write(ready); err != nil {
		return false, errSink
	}
	rs.timing.deliver(rs.forwarder.now())

	return progress, failure
}

func (rs *requestState) begin() {
	rs.began = true
	firstBytes.Record(rs.forwarder.now().Sub(rs.timing.startedAt))
}

// lastID returns the ID of the last event that was received on any attempt, 0 if there is none.
func (rs *requestState) lastID() int64 {
	if rs.splitter == nil {
		return 0
	}

	return rs.splitter.LastID()
}

// resumedAfter returns the ID of the last event that the caller has from an earlier request, as it states in the header
// Last-Event-Id; 0 if it has none.
func (rs *requestState) resumedAfter() int64 {
	id, ok := eventstream.ID([]byte("id:" + rs.call.Header.Get("Last-Event-Id")))
	if !ok {
		return 0
	}

	return id
}

// startWatchdog starts a watchdog for an attempt of a repeatable request. When the server is silent, the watchdog reserves a
// free slot on another one and ends the attempt; while no other server has a free slot, the attempt goes on.
func (rs *requestState) startWatchdog(cancel context.CancelCauseFunc) *watchdog {
	if !rs.route.Repeatable() || rs.ran+1 >= rs.route.MaxAttempts {
		return newWatchdog(0, 0, nil)
	}
	first := time.Duration(rs.route.TargetMillis) * time.Millisecond / 2
	if rs.began {
		first = time.Duration(rs.route.GapMillis) * time.Millisecond / 2
	}

	return newWatchdog(first, time.Duration(rs.route.GapMillis)*time.Millisecond/2, func() bool {
		s, release, ok := rs.forwarder.placer.Free(rs.service, rs.tried, rs.forwarder.now())
		if !ok {
			return false
		}
		rs.next = &reservation{
			server:  s,
			release: release,
		}
		cancel(errSilent)

		return true
	})
}
