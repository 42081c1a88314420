package forward

import (
	"context"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/response"
)

var errAbandoned = fault.New(fault.CodeCancelled, "the attempt is not needed any more")

// attempt is one try of a request on a backend server, where it counts among the requests in flight until the attempt ends.
type attempt struct {
	server  backend.Server
	release func()
	// oversubscribed is set if the server has more online requests than slots: the request may have to wait in its queue, so
	// silence does not mean that the server has failed.
	oversubscribed bool
	ctx            context.Context
	cancel         context.CancelCauseFunc
	sentAt         time.Time
	// started is set once send has been called, and answered is closed when it has set response or err.
	started  bool
	answered chan struct{}
	response *response.Response
	err      error
}

// send sends the request, of which the caller has the events up to the ID after.
func (a *attempt) send(s sender, q *call.Call, after int64) {
	defer close(a.answered)
	a.response, a.err = s.Send(a.ctx, a.server, q, after)
}

// end cancels the request on the server and releases its slot. It must not be called while send runs.
func (a *attempt) end() {
	a.cancel(nil)
	if a.response != nil {
		a.response.Body.Close()
	}
	a.release()
}

// abandon cancels an attempt that was started and ends it without waiting for send.
func (a *attempt) abandon() {
	a.cancel(errAbandoned)
	go func() {
		<-a.answered
		a.end()
	}()
}
