package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/bytebudget"
	"tarragonwalk/core/call"
	"tarragonwalk/core/eventstream"
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
	// again is set if the server has had the request before.
	again  bool
	ctx    context.Context
	cancel context.CancelCauseFunc
	sentAt time.Time
	// started is set once send has been called, and answered is closed when it has set response or err.
	started  bool
	answered chan struct{}
	response *response.Response
	err      error
	// withheld is set if the request was not sent, since the configuration was not fresh.
	withheld bool
	// body holds the pieces of the whole body of a response that is not passed on as it arrives.
	body [][]byte
	// resize sets the bytes of the response in memory, and endBody gives them back.
	resize  func(size int) error
	endBody func()
	// empty is set if awaitEvent has found a stream that ends without an event.
	empty bool
}

// send sends the request, of which the caller has the events up to the ID after, and receives what of the response has to be there before
// any of it is passed on. It sends nothing to the server if the request may not be sent any more.
func (a *attempt) send(f *Forwarder, q *call.Call, after int64, receive func() error) {
	defer close(a.answered)
	if a.err = f.sendable(q); a.err != nil {
		a.withheld = true

		return
	}
	a.response, a.err = f.sender.Send(a.ctx, a.server, q, after)
	if a.err == nil {
		a.err = receive()
	}
}

// readBody reads the body to its end.
func (a *attempt) readBody() (err error) {
	a.body, err = readWhole(a.response.Body, maxBodyBytes, a.resize)
	if err == nil || fault.Caused(err, errTooLong) || fault.Caused(err, bytebudget.ErrDropped) {
		return err
	}

	return fault.Wrap(err, fault.CodeOutcomeUnknown, "the response broke off")
}

// awaitEvent reads a stream that continues after the event last up to its first event with data, which stays in the response. A stream
// that ends before fails, unless it is the rest of one that has begun.
func (a *attempt) awaitEvent(last int64, began bool) error {
	body := a.response.Body
	var read []byte
	defer func() {
		a.response.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(read), body), body}
	}()
	splitter := eventstream.New(last)
	buffer := make([]byte, readBytes)
	for {
		n, err := body.Read(buffer)
		read = append(read, buffer[:n]...)
		splitter.Feed(buffer[:n])
		if found, err := nextData(splitter); found || err != nil {
			return err
		}
		// What is read of a long event is here and in the splitter.
		if err := a.resize(2 * splitter.Pending()); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF) && began && splitter.Pending() == 0:
			a.empty = true

			return nil
		case len(read)-splitter.Pending() >= readBytes:
			return nil // comments only, which a server may send without end
		case err != nil:
			return fault.Wrap(err, fault.CodeOutcomeUnknown, "the stream broke off before its first event")
		}
	}
}

// nextData reports whether there is an event with data among those that are complete.
func nextData(s *eventstream.Splitter) (bool, error) {
	for {
		event, err := s.Next()
		if event == nil {
			return false, err
		}
		if _, ok := eventstream.Data(event); ok {
			return true, nil
		}
	}
}

// end cancels the request on the server and releases its slot. It must not be called while send runs.
func (a *attempt) end() {
	a.cancel(nil)
	if a.response != nil {
		a.response.Body.Close()
	}
	putPieces(a.body)
	a.body = nil
	a.endBody()
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
