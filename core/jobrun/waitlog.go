package jobrun

import (
	"expvar"
	"time"

	"tarragonwalk/core/batchroom"
	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

// waitInterval is the time between two looks at what the items wait for.
const waitInterval = 500 * time.Millisecond

// itemsWaiting and itemsWaitingLong are the numbers of items of held jobs that wait, and that do so for longer than waitLimit, by cause.
// waitLinesBy counts the lines about waits that were logged, deferred to a later look, or dropped.
var (
	itemsWaiting     = expvar.NewMap("ItemsWaiting")
	itemsWaitingLong = expvar.NewMap("ItemsWaitingLong")
	waitLinesBy      = expvar.NewMap("ItemWaitLines")
)

// waitEnd is the end of a wait that was logged.
type waitEnd struct {
	job     *job
	item    *item
	wait    wait
	at      time.Time
	outcome string
}

// waitLog looks at what the items of an instance wait for; the runner's lock guards it.
type waitLog struct {
	lookedAt time.Time
	// ends are still to be logged.
	ends []waitEnd
	// grantedAt is when items of each service last got a slot.
	grantedAt map[string]time.Time
}

// roomKey names the items that find the same room.
type roomKey struct {
	route  *route.Route
	urgent bool
	late   bool
}

// watchWaits looks at what all items wait for, counts them by cause, and logs the long waits and their ends; it needs the lock.
func (r *Runner) watchWaits(at time.Time) {
	if at.Sub(r.waits.lookedAt) < waitInterval {
		return
	}
	r.waits.lookedAt = at
	table, _ := r.routes.Current()
	contenders, _, _ := r.cluster.BatchContenders(at)
	rooms := map[roomKey]batchroom.Room{}
	counts := waitCounts{
		all:  map[waitCause]int64{},
		long: map[waitCause]int64{},
	}
	var due []waitReport
	for _, j := range r.jobs {
		rt := r.routeOf(j)
		pending := j.pendingStates()
		base := waitView{
			unconfirmed: j.mustCheck(r.cluster.Isolated(), at),
			stopping:    r.stopping,
			configured:  table != nil,
			route:       rt,
			contenders:  contenders,
			grantedAt:   r.grantedAt(rt),
		}
		for _, it := range j.items {
			v := base
			v.observe(j, it)
			_, v.pending = pending[it.ID]
			if v.state == waiting && rt != nil {
				v.late, v.room = r.roomOf(rooms, j, it, rt, at)
			}
			now, ended := it.wait.next(&v, at)
			if ended {
				r.endWait(j, it, at)
			}
			it.wait = now
			cause := v.cause(at)
			if cause == waitNothing || cause == waitProgress && at.Sub(now.since) < waitLimit {
				continue
			}
			counts.add(cause, at.Sub(now.since) >= waitLimit)
			if now.due(at) {
				due = append(due, waitReport{
					job:   j,
					item:  it,
					view:  v,
					cause: cause,
				})
			}
		}
	}
	counts.publish()
	left := r.logWaitEnds(waitLines)
	selected := selectReports(due, left)
	waitLinesBy.Add("deferred", int64(len(due)-len(selected)))
	for _, p := range selected {
		r.logWait(p, at)
	}
}

// waitCounts are the numbers of waiting items by cause.
type waitCounts struct {
	all  map[waitCause]int64
	long map[waitCause]int64
}

func (w *waitCounts) add(c waitCause, long bool) {
	w.all[c]++
	if long {
		w.long[c]++
	}
}

// publish sets the metrics, also those of causes that no item has.
func (w *waitCounts) publish() {
	for _, c := range waitCauses {
		setCount(itemsWaiting, c, w.all[c])
		setCount(itemsWaitingLong, c, w.long[c])
	}
}

func setCount(m *expvar.Map, c waitCause, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	m.Set(string(c), v)
}

// roomOf returns whether an item is late and which room it finds, over all services of its route; it needs the lock.
func (r *Runner) roomOf(rooms map[roomKey]batchroom.Room, j *job, it *item, rt *route.Route, at time.Time) (late bool, room batchroom.Room) {
	due := j.due(rt)
	key := roomKey{
		route:  rt,
		urgent: due.Sub(at) < urgentBefore,
		late:   r.late(it, due, at),
	}
	room, ok := rooms[key]
	if !ok {
		for _, s := range rt.Shares {
			room.Add(r.placer.BatchRoom(s.Service, key.urgent, key.late, at))
		}
		rooms[key] = room
	}

	return key.late, room
}

// pendingStates returns the states of the items whose results are not listed yet.
func (j *job) pendingStates() map[string]work.State {
	if len(j.pending) == 0 {
		return nil
	}
	states := make(map[string]work.State, len(j.pending))
	for _, p := range j.pending {
		states[p.Item] = p.State
	}

	return states
}

// endWait records the end of an item's wait if the wait was logged; it needs the lock.
func (r *Runner) endWait(j *job, it *item, at time.Time) {
	w := it.wait
	it.wait = wait{}
	if w.reportedAt.IsZero() {
		return
	}
	if len(r.waits.ends) >= maxWaitEnds {
		waitLinesBy.Add("dropped", 1)

		return
	}
	e := waitEnd{
		job:  j,
		item: it,
		wait: w,
		at:   at,
	}
	state, pending := j.pendingStates()[it.ID]
	switch {
	case j.released:
		e.outcome = "job_released"
	case j.ended:
		e.outcome = "job_ended"
	case w.state == waiting && it.startedAt.After(w.since):
		e.outcome, e.at = "run", it.startedAt
	case w.state == running && it.progressAt.After(w.since):
		e.outcome, e.at = "progress", it.progressAt
	case it.state == waiting:
		e.outcome = "run_ended"
	case pending:
		e.outcome = string(state)
	default:
		e.outcome = "listed"
	}
	r.waits.ends = append(r.waits.ends, e)
}

// logWaitEnds logs the ends of waits, up to a number of lines, and returns how many are left of these; it needs the lock.
func (r *Runner) logWaitEnds(limit int) (left int) {
	n := min(limit, len(r.waits.ends))
	for _, e := range r.waits.ends[:n] {
		waitLinesBy.Add("ended", 1)
		r.logger.Info("item wait ended", "job", e.job.ID, "item", e.item.ID, "cause", string(e.wait.cause), "outcome", e.outcome,
			"waited_ms", e.at.Sub(e.wait.since).Milliseconds(), "age_ms", e.at.Sub(e.job.SubmittedAt).Milliseconds(), "server", e.item.server)
	}
	r.waits.ends = append(r.waits.ends[:0], r.waits.ends[n:]...)

	return limit - n
}

// logWait logs the wait of an item with the inputs of the decision and their ages; it needs the lock.
func (r *Runner) logWait(p waitReport, at time.Time) {
	j, it, v := p.job, p.item, &p.view
	it.wait.reportedAt, it.wait.cause = at, p.cause
	waitLinesBy.Add("begun", 1)
	fields := []any{
		"job", j.ID, "item", it.ID, "cause", string(p.cause), "waited_ms", at.Sub(it.wait.since).Milliseconds(),
		"age_ms", at.Sub(j.SubmittedAt).Milliseconds(), "last_event", it.last, "failures", it.failures,
	}
	switch p.cause {
	case waitProgress:
		fields = append(fields, "server", it.server, "run_ms", at.Sub(it.startedAt).Milliseconds(), "cancelled", it.cancel == nil)
	case waitListing:
		fields = append(fields, "pending", len(j.pending), "listed", len(j.results), "writing", j.flushing, "retry_at", j.retryAt,
			"doubted_by", j.doubtedBy, "contested", j.contested, "held_at", j.heldAt)
	case waitQuarantine:
		part, until, _ := r.parts.Quarantined(it.parts)
		fields = append(fields, "part", part, "until", until)
	case waitRoute, waitConfiguration:
		_, version := r.routes.Current()
		fields = append(fields, "version", version, "route_version", j.RouteVersion)
	case waitPause:
		fields = append(fields, "not_before", it.notBefore)
	default:
		onTime, late, heardAt := r.cluster.BatchContenders(at)
		fields = append(fields, "late", v.late, "usable", v.room.Usable, "free", v.room.Free, "yielded", v.room.Yielded, "in_turn", v.room.InTurn,
			"contenders", onTime, "contenders_late", late, "contenders_age_ms", ageMillis(heardAt, at), "counts_age_ms", ageMillis(v.room.CountsAt, at),
			"granted_age_ms", ageMillis(v.grantedAt, at))
	}
	r.logger.Info("item waits", fields...)
}

// grantedAt returns when an item of this instance last got a slot for one of the services of a route, zero if none did.
func (r *Runner) grantedAt(rt *route.Route) time.Time {
	var last time.Time
	if rt == nil {
		return last
	}
	for _, s := range rt.Shares {
		last = later(last, r.waits.grantedAt[s.Service])
	}

	return last
}

// ageMillis returns the age of a time, -1 if it is not known.
func ageMillis(t, at time.Time) int64 {
	if t.IsZero() {
		return -1
	}

	return at.Sub(t).Milliseconds()
}
