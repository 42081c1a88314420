package forward

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"net/http"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/histogram"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
)

const (
	// maxRefusals is how many servers may refuse one request before its caller gets an error and has to retry later.
	maxRefusals = 4
	// refusalPause is the time after which servers that were full may have a free slot.
	refusalPause = 200 * time.Millisecond
	// onTimeLoadLimit is the limit of online requests per slot below which a server gets a request that can still meet its
	// latency objective. Behind a longer queue the request would be late, so its caller gets an error at once and has to retry later.
	onTimeLoadLimit = 1.25
	// lateLoadLimit is the same limit for a request that has already missed its objective, such as one that its caller repeats.
	lateLoadLimit = 2.5
	// defaultTimeout bounds requests whose route has no time-out.
	defaultTimeout = 60 * time.Second
)

// Metrics of forwarded requests: their ends by route kind and outcome, responses that were cut after they had begun by the code of their
// last attempt, failed attempts by fault code, the time to the first event or whole response, and the time to the end.
var (
	ends       = expvar.NewMap("ForwardEnds")
	cuts       = expvar.NewMap("ForwardCuts")
	failures   = expvar.NewMap("ForwardFailures")
	firstBytes = histogram.New("ForwardFirstByteMillis")
	durations  = histogram.New("ForwardDurationMillis")
)

// ErrTimeout is the error of a request whose time has passed, and the cause with which a context of Run has to end then.
var ErrTimeout = fault.New(fault.CodeDeadlinePassed, "the time-out of the route or the caller's deadline has passed")

type sender interface {
	Send(ctx context.Context, s backend.Server, q *call.Call, after int64) (*response.Response, error)
}

type placer interface {
	RandomPoint() float64
	Online(service string, excluded map[string]bool, loadLimit float64, at time.Time) (s backend.Server, release func(), ok bool)
	Probe(service string, excluded map[string]bool, at time.Time) (s backend.Server, release func(), ok bool)
	Free(service string, excluded map[string]bool, at time.Time) (s backend.Server, release func(), ok bool)
	FreeOn(service, id string, at time.Time) (s backend.Server, release func(), ok bool)
	Excess(s backend.Server, at time.Time) int
	Oversubscribed(s backend.Server, at time.Time) bool
}

type roster interface {
	RecordProgress(id string, at time.Time)
	RecordAttempt(s backend.Server, err error, progressAt, at time.Time)
}

type promptParts interface {
	Quarantined(parts []string) (part string, until time.Time, ok bool)
	MayRetry(parts []string) bool
	RecordRefusal(kind string)
	RecordLoss(s backend.Server, prompt string, parts []string, at time.Time)
	RecordProgress(s backend.Server, sentAt, at time.Time)
	RecordAnswer(s backend.Server, parts []string, sentAt, at time.Time)
}

type preempter interface {
	Preempt(server string, count int)
}

type configuration interface {
	// Fresh returns why requests of workspaces must not be sent now, nil if they may be.
	Fresh() error
}

type sink interface {
	// Begin sends the status and headers; length is -1 if the body's length is unknown.
	Begin(status int, header http.Header, length int64) error
	// Write sends bytes of the body without delay.
	Write(p []byte) error
}

// Forwarder runs requests on the backend servers that its placer chooses; its methods may be called concurrently.
type Forwarder struct {
	sender sender
	placer placer
	roster roster
	batch  preempter
	parts  promptParts
	budget *bytebudget.Budget
	// configuration is asked before each attempt for a workspace, unless it is nil.
	configuration configuration
	now           func() time.Time
	log           *slog.Logger
}

// New returns a forwarder; batch preempts batch items whose slots online requests need, and budget bounds the responses in memory. With a
// nil configuration, requests of workspaces are always sent.
func New(s sender, p placer, r roster, batch preempter, parts promptParts, budget *bytebudget.Budget, c configuration,
	now func() time.Time, log *slog.Logger,
) *Forwarder {
	return &Forwarder{
		sender:        s,
		placer:        p,
		roster:        r,
		batch:         batch,
		parts:         parts,
		budget:        budget,
		configuration: c,
		now:           now,
		log:           log,
	}
}

// sendable returns why an attempt of a request must not be sent now, nil if it may be.
func (f *Forwarder) sendable(q *call.Call) error {
	if q.Workspace == "" || f.configuration == nil {
		return nil
	}

	return f.configuration.Fresh()
}

// Run forwards a request and writes the response to out. If it fails before out.Begin was called, the code of the error says
// whether the request may have run: with overloaded and not_run it has not, with deadline_passed and outcome_unknown it may
// have. An error after out.Begin means that the response is incomplete, and the connection has to be aborted so that the
// caller notices.
func (f *Forwarder) Run(ctx context.Context, r *route.Route, q *call.Call, out sink) error {
	if part, until, ok := f.parts.Quarantined(q.Parts); ok {
		f.parts.RecordRefusal("refused")
		ends.Add(string(r.Kind)+" quarantined", 1)
		err := fault.New(fault.CodeNotRun, "prompt part "+part+" is quarantined, since it crashes backend servers")
		err.RetryAt = until

		return err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, f.Deadline(r, q), ErrTimeout)
	defer cancel()
	rs := &requestState{
		forwarder: f,
		route:     r,
		call:      q,
		sink:      out,
		service:   r.Service(f.placer.RandomPoint()),
		tried:     map[string]bool{},
		timing: timing{
			startedAt: f.now(),
		},
		loadLimit: f.loadLimit(r, q),
	}
	err := rs.run(ctx)
	outcome := outcomeOf(ctx, err)
	ends.Add(string(r.Kind)+" "+outcome, 1)
	if err != nil && rs.began {
		f.recordCut(rs, outcome)
	}
	at := f.now()
	durations.Record(at.Sub(rs.timing.startedAt))
	if err == nil {
		f.logResponse(rs, at)
	}

	return err
}

// outcomeOf returns the name under which the end of a request is counted. The end of its caller's connection may reach the request by a read
// from the backend server, which fails as if that one had broken off.
func outcomeOf(ctx context.Context, err error) string {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return "answered"
	case cause != nil && !errors.Is(cause, ErrTimeout) && fault.CodeOf(err) == fault.CodeOutcomeUnknown:
		return string(fault.CodeCancelled)
	default:
		return string(fault.CodeOf(err))
	}
}

// recordCut counts a response that ends incomplete, and logs whether an attempt of its request was ended for the silence of its server.
func (f *Forwarder) recordCut(rs *requestState, outcome string) {
	if rs.silenced {
		outcome += " after silence"
	}
	cuts.Add(outcome, 1)
	f.log.Info("response cut", "request", rs.call.ID, "route", rs.route.Name, "server", rs.server, "code", outcome, "silenced", rs.silenced,
		"last_event", rs.lastID(), "ran", rs.ran, "refused", rs.refused)
}

// logResponse logs a request that was answered. A response that was on time at the first attempt is logged at debug level, whose
// lines are dropped first when the log's reader is slow. Failed requests are logged by the code that calls Run.
func (f *Forwarder) logResponse(rs *requestState, at time.Time) {
	level := slog.LevelInfo
	late := rs.timing.late(rs.route)
	if !late && rs.ran+rs.refused == 0 {
		level = slog.LevelDebug
	}
	f.log.Log(context.Background(), level, "request answered", "request", rs.call.ID, "route", rs.route.Name, "server", rs.server, "late", late,
		"first_ms", rs.timing.first().Milliseconds(), "pause_ms", rs.timing.pause.Milliseconds(),
		"after_ms", at.Sub(rs.timing.startedAt).Milliseconds(), "target_ms", rs.route.TargetMillis, "ran", rs.ran, "refused", rs.refused)
}

// Deadline returns when a request that begins now is given up.
func (f *Forwarder) Deadline(r *route.Route, q *call.Call) time.Time {
	limit := f.now().Add(defaultTimeout)
	if r.TimeoutMillis > 0 {
		limit = f.now().Add(time.Duration(r.TimeoutMillis) * time.Millisecond)
	}
	if !q.Deadline.IsZero() && q.Deadline.Before(limit) {
		return q.Deadline
	}

	return limit
}

// loadLimit returns the limit of online requests per slot for a request. A caller whose deadline is nearer than the route's
// time-out minus its latency objective has sent the request before, and the objective is missed.
func (f *Forwarder) loadLimit(r *route.Route, q *call.Call) float64 {
	if r.TimeoutMillis == 0 || q.Deadline.IsZero() {
		return lateLoadLimit
	}
	missed := time.Duration(r.TimeoutMillis-r.TargetMillis) * time.Millisecond
	if q.Deadline.Sub(f.now()) < missed {
		return lateLoadLimit
	}

	return onTimeLoadLimit
}

// recordAttempt reports to the roster how an attempt ended that last made progress at progressAt. It reports no attempt that
// ended because of the caller, and no silence of a server on which online requests queue: at peak load they queue on all
// servers, and if each server that kept a request waiting were suspected, the load would move to fewer and fewer servers.
// A request whose prompt part crashes servers says nothing about the one that it has failed on.
func (f *Forwarder) recordAttempt(ctx context.Context, rs *requestState, a *attempt, progressAt time.Time, err error) {
	if err != nil {
		failures.Add(string(fault.CodeOf(err)), 1)
	}
	if errors.Is(err, errSink) || err != nil && ctx.Err() != nil || a.oversubscribed && fault.CodeOf(err) == fault.CodeBackendSilent {
		return
	}
	if response.ConnectionLost(err) || fault.CodeOf(err) == fault.CodeBackendFailed {
		if _, _, quarantined := f.parts.Quarantined(rs.call.Parts); quarantined {
			return
		}
	}
	// The last attempt passes a failure on to the caller.
	if err == nil && a.response != nil && a.response.Status >= http.StatusInternalServerError {
		err = errStatus
	}
	f.roster.RecordAttempt(a.server, err, progressAt, f.now())
}

// recordParts reports to the quarantine how an attempt ended: whether the request has completed, or its connection was lost before
// anything was answered, in this attempt or an earlier one.
func (f *Forwarder) recordParts(ctx context.Context, rs *requestState, a *attempt, err error) {
	switch at := f.now(); {
	case rs.completed:
		f.parts.RecordAnswer(a.server, rs.call.Parts, a.sentAt, at)
	case err == nil:
		f.parts.RecordProgress(a.server, a.sentAt, at)
	case ctx.Err() == nil && !rs.wasAnswered() && response.ConnectionLost(err):
		rs.lost = true
		f.parts.RecordLoss(a.server, rs.call.Prompt, rs.call.Parts, at)
	}
}
