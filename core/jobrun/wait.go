package jobrun

import (
	"cmp"
	"slices"
	"time"

	"tarragonwalk/core/batchroom"
	"tarragonwalk/core/route"
)

const (
	// waitLimit is how long an item may wait until that is logged. It is longer than the pause after a preemption and than a run may last
	// without an event.
	waitLimit = 3 * time.Second
	// waitRepeat is the least time between two lines about one item.
	waitRepeat = 10 * time.Second
	// waitLines is the largest number of lines about waits that one look at the items logs. In an overload thousands of items wait.
	waitLines = 8
	// maxWaitEnds is how many ends of waits may be left for later looks.
	maxWaitEnds = 256
)

// waitCause is what an item waits for.
type waitCause string

const (
	waitNothing       waitCause = ""
	waitConfiguration waitCause = "no_configuration"
	waitStop          waitCause = "instance_stopping"
	waitPause         waitCause = "pause"
	waitRoute         waitCause = "route_unknown"
	waitStore         waitCause = "store"
	waitQuarantine    waitCause = "quarantine"
	waitServer        waitCause = "no_usable_server"
	waitSlot          waitCause = "servers_full"
	waitLate          waitCause = "yields_as_late"
	waitOrder         waitCause = "other_items_first"
	waitTurn          waitCause = "not_in_turn"
	waitProgress      waitCause = "run_without_progress"
	waitListing       waitCause = "not_listed"
)

// waitCauses are all causes, for metrics.
var waitCauses = []waitCause{
	waitConfiguration, waitStop, waitPause, waitRoute, waitStore, waitQuarantine, waitServer, waitSlot, waitLate, waitOrder, waitTurn,
	waitProgress, waitListing,
}

// waitView is what the decision on an item's wait rests on.
type waitView struct {
	state      itemState
	startedAt  time.Time
	progressAt time.Time
	notBefore  time.Time
	// pending is set while the item's result is not listed, held while a prompt part of it is quarantined.
	pending bool
	held    bool
	// unconfirmed is set while the store has to confirm the holder, or to keep the item's last failure, before it runs.
	unconfirmed bool
	stopping    bool
	configured  bool
	// route is nil if the configuration has none for the job.
	route *route.Route
	late  bool
	room  batchroom.Room
	// contenders is the number of other instances with items that may still be in time.
	contenders int
	// grantedAt is when this instance last got a slot for a service of the route, zero if it never did.
	grantedAt time.Time
}

// observe sets what concerns the item itself. The items of an ended job wait for nothing.
func (v *waitView) observe(j *job, it *item) {
	v.state, v.startedAt, v.progressAt, v.notBefore, v.held = it.state, it.startedAt, it.progressAt, it.notBefore, it.held
	v.unconfirmed = v.unconfirmed || it.unrecorded
	if j.ended {
		v.state = done
	}
}

// cause returns what an item waits for at a time.
func (v *waitView) cause(at time.Time) waitCause {
	switch {
	case v.state == done && v.pending:
		return waitListing
	case v.state == done:
		return waitNothing
	case v.state == running:
		return waitProgress
	case !v.configured:
		return waitConfiguration
	case v.stopping:
		return waitStop
	case at.Before(v.notBefore):
		return waitPause
	case v.route == nil:
		return waitRoute
	case v.unconfirmed:
		return waitStore
	case v.held:
		return waitQuarantine
	case v.room.Usable == 0:
		return waitServer
	case v.room.Free == 0:
		return waitSlot
	case v.late && v.room.Yielded == v.room.Free && v.contenders > 0:
		return waitLate
	case at.Sub(v.grantedAt) < waitLimit:
		return waitOrder
	default:
		return waitTurn
	}
}

// wait is a time without a run, without progress of a run, or without a listed result; the zero value is none.
type wait struct {
	since time.Time
	// state is that of the item meanwhile.
	state itemState
	// reportedAt is when the wait was last logged, zero if it was not, and cause what it was then for.
	reportedAt time.Time
	cause      waitCause
}

// next returns the wait after a look at the item, and whether the wait before has ended. A run since the look before ends it, even if the
// item waits again.
func (w *wait) next(v *waitView, at time.Time) (now wait, ended bool) {
	since := at
	switch {
	case v.state == running:
		since = v.progressAt
	case v.state == done && !v.pending:
		return wait{}, !w.since.IsZero()
	}
	same := !w.since.IsZero() && w.state == v.state
	if same && v.state == running {
		same = w.since.Equal(v.progressAt)
	}
	if same && v.state == waiting {
		same = !v.startedAt.After(w.since)
	}
	if same {
		return *w, false
	}

	return wait{
		since: since,
		state: v.state,
	}, !w.since.IsZero()
}

// due reports whether the wait is to be logged at a time.
func (w *wait) due(at time.Time) bool {
	return !w.since.IsZero() && at.Sub(w.since) >= waitLimit && (w.reportedAt.IsZero() || at.Sub(w.reportedAt) >= waitRepeat)
}

// ordinary reports whether items wait for a cause whenever there is more work than servers.
func (c waitCause) ordinary() bool {
	return c == waitSlot || c == waitLate || c == waitOrder || c == waitPause
}

// waitReport is an item whose wait is due to be logged.
type waitReport struct {
	job   *job
	item  *item
	view  waitView
	cause waitCause
}

// selectReports returns the reports to log now: those with causes that an overload does not explain first, then those that were not logged
// for longest, then the longest waits.
func selectReports(list []waitReport, limit int) []waitReport {
	rank := func(c waitCause) int {
		if c.ordinary() {
			return 1
		}

		return 0
	}
	slices.SortStableFunc(list, func(a, b waitReport) int {
		return cmp.Or(rank(a.cause)-rank(b.cause), a.item.wait.reportedAt.Compare(b.item.wait.reportedAt), a.item.wait.since.Compare(b.item.wait.since))
	})

	return list[:min(limit, len(list))]
}
