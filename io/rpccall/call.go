package rpccall

import (
	"context"
	"errors"
	"net/rpc"

	"tarragonwalk/core/fault"
)

// Call waits for the reply until ctx ends; a failure has code unavailable. It reports whether the connection can be reused,
// which is the case after any reply, including an error from the server.
func Call(ctx context.Context, c *rpc.Client, method string, request, reply any) (usable bool, err error) {
	call := c.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return false, fault.Wrap(ctx.Err(), fault.CodeUnavailable, "peer did not answer in time")
	}
	if call.Error == nil {
		return true, nil
	}
	var refused rpc.ServerError

	return errors.As(call.Error, &refused), fault.Wrap(call.Error, fault.CodeUnavailable, "peer call failed")
}
