package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"tarragonwalk/core/response"
)

// exhausted reports whether no second server may get the request any more while the current one works on it. It needs the lock.
func (rs *requestState) exhausted() bool {
	return !rs.route.Repeatable() || rs.ran+1 >= rs.route.MaxAttempts && rs.dropped == "" && rs.replaced == ""
}

// newHedge returns an attempt on a second server, nil if there is none at present. When no further server may or can get the request, it is
// the one whose hedge was dropped, if the current server has been silent for longer than a sound one. It needs the lock.
func (rs *requestState) newHedge(ctx context.Context, at time.Time, gone bool) *attempt {
	if rs.began && !rs.splitter.Resumable() || rs.dangerous() || rs.forwarder.sendable(rs.call) != nil {
		return nil
	}
	if a := rs.newFurther(ctx, at, 1); a != nil || !gone {
		return a
	}
	if a := rs.repeat(ctx, at, &rs.dropped); a != nil || !rs.progressed {
		return a
	}

	// Without progress, two slow servers would take the request from each other without end.
	return rs.repeat(ctx, at, &rs.replaced)
}

// newFurther returns an attempt on a server that has not got the request, while a number of others work on it; nil if there is none.
func (rs *requestState) newFurther(ctx context.Context, at time.Time, working int) *attempt {
	if rs.ran+working >= rs.route.MaxAttempts {
		return nil
	}
	rs.readmit(at)
	s, release, ok := rs.forwarder.placer.Free(rs.service, rs.tried, at)
	if !ok {
		return nil
	}

	return rs.newAttempt(ctx, s, release)
}

// repeat returns an attempt on a server that has had the request before and clears its ID, nil if there is none or it can't take it at present.
// Attempts are limited by the number of servers, so this one is no further server.
func (rs *requestState) repeat(ctx context.Context, at time.Time, id *string) *attempt {
	rs.readmit(at)
	if *id == "" || slices.Contains(rs.refusers, *id) {
		return nil
	}
	s, release, ok := rs.forwarder.placer.FreeOn(rs.service, *id, at)
	if !ok {
		return nil
	}
	*id = ""
	a := rs.newAttempt(ctx, s, release)
	a.again = true

	return a
}

// acceptance returns nil if the server of an attempt that was answered has accepted the request, and otherwise why not.
func (rs *requestState) acceptance(a *attempt) error {
	switch {
	case a.err != nil:
		return attemptError(a.ctx, a.err)
	case rs.began && !rs.isStream(a.response), a.response.Status >= http.StatusInternalServerError:
		return errStatus
	default:
		return nil
	}
}

// recordHedge records how an attempt ended while the current one goes on. It needs the lock.
func (rs *requestState) recordHedge(ctx context.Context, h *attempt, err error) {
	rs.count(h, err)
	rs.logAttempt(h, err, h.sentAt, "hedge", true)
	if ctx.Err() != nil || errors.Is(err, errAbandoned) || h.withheld {
		return
	}
	rs.forwarder.recordAttempt(ctx, rs, h, h.sentAt, err)
	if !rs.wasAnswered() && response.ConnectionLost(err) {
		rs.lost = true
		rs.forwarder.parts.RecordLoss(h.server, rs.call.Prompt, rs.call.Parts, rs.forwarder.now())
	}
}
