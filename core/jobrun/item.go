package jobrun

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/coalesce"
	"tarragonwalk/core/eventstream"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/histogram"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

const (
	// firstEventTimeout allows for a queue at the backend server and a long prompt.
	firstEventTimeout = 2 * time.Second
	// eventTimeout is well above the time between events on a server that is several times slower than usual.
	eventTimeout = time.Second
	// refusedPause is the pause after a server has refused an item.
	refusedPause = 100 * time.Millisecond
	// failedPause is the pause after a failed attempt.
	failedPause = 200 * time.Millisecond
	// lostPause is the pause after a run that has lost its connection, which is lostFactor times as long after each further one without
	// an event in between, up to maxLostPause: the server is known to be gone then, and an item that crashes servers does so rarely.
	lostPause    = 250 * time.Millisecond
	lostFactor   = 4
	maxLostPause = 8 * time.Second
	// preemptedPause is the pause after a preemption, so that the request counts of other instances arrive before the item
	// looks for a slot again.
	preemptedPause = 350 * time.Millisecond
	// readInterval is the least time between two reads of an item's stream. Nobody waits for its single events, and a read costs
	// more than the events that it returns.
	readInterval = 50 * time.Millisecond
	readBytes    = 16 << 10
	// maxTextBytes bounds the output of an item, which has to fit into one object of the store.
	maxTextBytes = 512 << 10
)

var (
	errPreempted = fault.New(fault.CodePreempted, "an online request needs the slot")
	errEnded     = fault.New(fault.CodeCancelled, "the caller has ended the job")
	errListed    = fault.New(fault.CodeCancelled, "another instance has listed the item")
	errReleased  = fault.New(fault.CodeCancelled, "another instance holds the job")
	errSilent    = fault.New(fault.CodeBackendSilent, "the backend server has been silent for too long")
	errFailed    = fault.New(fault.CodeBackendFailed, "the backend server answered with a failure")
	errTooLong   = fault.New(fault.CodeStreamLost, "the output of the item is too long")
	errInvalid   = fault.New(fault.CodeInvalid, "the backend server rejected the item as invalid")
)

// runs, slotMillis, startMillis and events count, by outcome of the run, the runs of batch items, the time for which they used a
// slot, the part of it before the first event, and the events that they received. givenUp counts the items that were listed
// without a result, by cause, and itemAges are the ages of items at their completion.
var (
	runs        = expvar.NewMap("ItemRuns")
	slotMillis  = expvar.NewMap("ItemSlotMillis")
	startMillis = expvar.NewMap("ItemStartMillis")
	events      = expvar.NewMap("ItemEvents")
	givenUp     = expvar.NewMap("ItemsGivenUp")
	itemAges    = histogram.New("ItemAgeMillis")
)

// Outcomes of completed runs; the others are the codes of their failures.
const (
	outcomeInTime = "completed"
	outcomeLate   = "completed_late"
)

func outcome(code fault.Code, due, at time.Time) string {
	switch {
	case code != "":
		return string(code)
	case at.After(due):
		return outcomeLate
	default:
		return outcomeInTime
	}
}

// account counts a run that began after the event first and has ended with an outcome; it needs the runner's lock.
func account(it *item, first int64, outcome string, at time.Time) {
	runs.Add(outcome, 1)
	slotMillis.Add(outcome, at.Sub(it.startedAt).Milliseconds())
	events.Add(outcome, it.last-first)
	firstAt := at
	if !it.firstAt.IsZero() {
		firstAt = it.firstAt
	}
	startMillis.Add(outcome, firstAt.Sub(it.startedAt).Milliseconds())
}

// runItem runs an item once on a server, resuming after its last event, and records the outcome.
func (r *Runner) runItem(ctx context.Context, j *job, it *item, rt *route.Route, s backend.Server) {
	first := it.last
	err := r.attempt(ctx, j, it, s)
	if err == nil || ctx.Err() == nil {
		if !response.ConnectionLost(err) || !r.crashesServers(it) {
			r.roster.RecordAttempt(s, err, it.progressAt, r.now())
		}
		r.recordParts(it, s, err)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	defer r.signal()
	it.cancel = nil
	at := r.now()
	tried := r.endTrial(it, fault.NotRun(err))
	if it.state != running || j.released {
		return
	}
	it.state = waiting
	code := fault.CodeOf(err)
	account(it, first, outcome(code, j.due(rt), at), at)
	if it.last > first {
		it.losses = 0
	}
	if fault.Caused(err, errTooLong) || fault.Caused(err, bytebudget.ErrDropped) {
		it.restart()
	}
	switch {
	case err == nil:
		r.logger.Info("item completed", "job", j.ID, "item", it.ID, "server", s.ID, "run_ms", at.Sub(it.startedAt).Milliseconds(),
			"age_ms", at.Sub(j.SubmittedAt).Milliseconds(), "first_event", first, "last_event", it.last)
		r.runTime.observe(at.Sub(it.startedAt), it.last-first, it.last)
		itemAges.Record(at.Sub(j.SubmittedAt))
		j.finish(it, work.StateCompleted, at)
	case errors.Is(err, errInvalid):
		givenUp.Add("invalid", 1)
		j.finish(it, work.StateDead, at)
	case errors.Is(err, errFailed):
		it.failures++
		it.notBefore = at.Add(failedPause)
		it.unrecorded = j.Takeovers > 0
		if it.failures >= max(1, rt.MaxAttempts) {
			givenUp.Add("failed", 1)
			j.finish(it, work.StateDead, at)
		}
	case errors.Is(err, errPreempted):
		it.notBefore = at.Add(preemptedPause)
	case fault.NotRun(err):
		it.notBefore = at.Add(refusedPause)
	case response.ConnectionLost(err):
		steps := it.losses
		if !r.parts.MayRetry(it.parts) {
			steps++
		}
		it.notBefore = at.Add(pauseAfter(steps))
		it.losses++
	}
	if tried {
		it.notBefore = later(it.notBefore, at.Add(trialPause))
	}
	if err != nil {
		r.logger.Info("item attempt ended", "job", j.ID, "item", it.ID, "server", s.ID, "code", string(code), "error", err.Error(),
			"run_ms", at.Sub(it.startedAt).Milliseconds(), "first_event", first, "last_event", it.last, "failures", it.failures, "finished", it.state == done)
	}
}

// crashesServers reports whether an item has a prompt part that crashes servers, so that a lost connection says nothing about its server.
func (r *Runner) crashesServers(it *item) bool {
	_, _, quarantined := r.parts.Quarantined(it.parts)

	return quarantined
}

// recordEvents reports to the quarantine that events have come, the first ones of a run or further ones.
func (r *Runner) recordEvents(it *item, s backend.Server, first bool) {
	if first {
		r.parts.RecordAnswer(s, it.parts, it.startedAt, r.now())
	} else {
		r.parts.RecordProgress(s, it.startedAt, r.now())
	}
}

// recordParts reports to the quarantine how an attempt ended.
func (r *Runner) recordParts(it *item, s backend.Server, err error) {
	switch at := r.now(); {
	case err == nil:
		r.parts.RecordAnswer(s, it.parts, it.startedAt, at)
	case it.last > 0:
		// Its prompt was answered, in this run or before.
	case response.ConnectionLost(err):
		r.parts.RecordLoss(s, it.ID, it.parts, at)
	}
}

// pauseAfter returns the pause after a lost connection that follows a number of others.
func pauseAfter(losses int) time.Duration {
	pause := lostPause
	for range losses {
		if pause *= lostFactor; pause >= maxLostPause {
			return maxLostPause
		}
	}

	return pause
}

func (r *Runner) attempt(ctx context.Context, j *job, it *item, s backend.Server) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstEventTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	q := &call.Call{
		ID:     it.ID,
		Method: http.MethodPost,
		Target: it.Target,
		Host:   j.Host,
		Header: http.Header{},
		Body:   it.Body,

		Identified: j.Workspace != "" || r.hasWorkspaces(),
		Workspace:  j.Workspace,
	}
	for k, v := range it.Headers {
		q.Header.Set(k, v)
	}
	resp, err := r.sender.Send(ctx, s, q, it.last)
	if err != nil {
		return cancelCause(ctx, err)
	}
	defer resp.Body.Close()
	switch resp.Status {
	case http.StatusOK:
		if t := resp.Header.Get("Content-Type"); t != "" && !strings.HasPrefix(t, "text/event-stream") {
			return fault.New(fault.CodeStreamLost, "the backend server answered an item with content type "+strconv.Quote(t))
		}

		return cancelCause(ctx, r.collect(it, s, resp.Body, silence, func() { cancel(bytebudget.ErrDropped) }))
	case http.StatusUnprocessableEntity:
		return errInvalid
	case http.StatusInternalServerError:
		return errFailed
	default:
		return fault.New(fault.CodeOverloaded, "the backend server answered an item with status "+http.StatusText(resp.Status))
	}
}

// hasWorkspaces reports whether callers are told apart by keys, which are not forwarded then.
func (r *Runner) hasWorkspaces() bool {
	table, _ := r.routes.Current()

	return table != nil && len(table.Workspaces) > 0
}

// collect appends the data of the stream's events to the item's text until the stream ends.
func (r *Runner) collect(it *item, s backend.Server, body io.Reader, silence *time.Timer, cancel func()) error {
	resize, end := r.budget.Open("items", cancel)
	defer end()
	splitter := eventstream.New(it.last)
	defer splitter.Release()
	stream := coalesce.New(body, readInterval, r.now)
	buffer := make([]byte, readBytes)
	answered := false
	for {
		n, err := stream.Read(buffer)
		if n > 0 {
			splitter.Feed(buffer[:n])
			appended, err := r.appendEvents(it, splitter)
			if err == nil {
				err = r.checkSize(it, resize, splitter)
			}
			if err != nil {
				return err
			}
			if appended {
				silence.Reset(eventTimeout)
				r.recordEvents(it, s, !answered)
				answered = true
			}
		}
		if errors.Is(err, io.EOF) {
			if splitter.Pending() > 0 || !it.events {
				return fault.Wrap(io.ErrUnexpectedEOF, fault.CodeStreamLost, "the stream ended before an event was complete")
			}

			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.CodeStreamLost, "the stream broke off")
		}
	}
}

// checkSize fails if the output of an item, of which some bytes are in an incomplete event, is too long or the largest of more than there
// is memory for.
func (r *Runner) checkSize(it *item, resize func(size int) error, splitter *eventstream.Splitter) error {
	r.lock.Lock()
	size, held := len(it.text)+splitter.Pending(), cap(it.text)+splitter.Held()
	r.lock.Unlock()
	if size > maxTextBytes {
		return errTooLong
	}

	return resize(held)
}

// appendEvents appends the data of the events that have arrived to the item's text and reports whether there was any.
func (r *Runner) appendEvents(it *item, splitter *eventstream.Splitter) (appended bool, err error) {
	for {
		event, err := splitter.Next()
		if err != nil || event == nil {
			return appended, err
		}
		data, ok := eventstream.Data(event)
		if !ok {
			continue
		}
		if !splitter.Resumable() {
			return appended, fault.New(fault.CodeStreamLost, "the backend server sent an item's event without an id")
		}
		appended = true
		r.lock.Lock()
		if it.events {
			it.text = append(it.text, '\n')
		}
		it.text = append(it.text, data...)
		it.progressAt = r.now()
		if it.firstAt.IsZero() {
			it.firstAt = it.progressAt
		}
		it.events = true
		r.received.Add(it.routeName, int(splitter.LastID()-it.last), r.now())
		it.last = splitter.LastID()
		r.lock.Unlock()
	}
}

// cancelCause returns the reason for which this instance cancelled ctx in place of the error that this led to.
func cancelCause(ctx context.Context, err error) error {
	var f *fault.Error
	if cause := context.Cause(ctx); err != nil && errors.As(cause, &f) {
		return f
	}

	return err
}
