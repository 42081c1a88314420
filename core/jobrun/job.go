package jobrun

import (
	"context"
	"time"

	"tarragonwalk/core/route"
	"tarragonwalk/core/work"
)

type itemState int

const (
	waiting itemState = iota
	running
	done
)

// item is the state of one item; the runner's lock guards it.
type item struct {
	work.Item
	state itemState
	// text and last are the output so far and the id of its last event; events is set once there is one.
	text   []byte
	last   int64
	events bool
	// failures counts the attempts that the backend server answered with a failure; a lost stream or a preemption does not count.
	failures int
	// unrecorded is set while the last failure is to be written to the job's record before the item runs again.
	unrecorded bool
	// losses counts the runs in a row that have lost their connection without an event.
	losses    int
	notBefore time.Time
	// server and routeName are the server and the route of the present run, or the last one.
	server    string
	routeName string
	startedAt time.Time
	// parts are its prompt parts that other requests may have too, known after the first look at it; held is set while one of them
	// is quarantined.
	parts     []string
	partsRead bool
	held      bool
	// trial is set while it runs although a part is quarantined.
	trial *trialItem
	// firstAt is when the present run received its first event, zero before that. progressAt is when it began or last received one.
	firstAt    time.Time
	progressAt time.Time
	cancel     context.CancelCauseFunc
	wait       wait
}

// restart drops the output so far, which a backend server that does not stop has sent.
func (it *item) restart() {
	it.text, it.last, it.events = nil, 0, false
}

// job is the state of one job that this instance holds; the runner's lock guards it.
type job struct {
	work.Job
	// revision is the store's revision of the job's record, 0 if unknown.
	revision int64
	items    []*item
	results  []work.Result
	// starts are the positions at which the job's segments begin.
	starts []int
	// pending are the results that are not listed yet.
	pending      []work.Result
	pendingSince time.Time
	flushing     bool
	retryAt      time.Time
	// unacknowledged is the number of results in a write that the store has not acknowledged. It may have taken effect, so that other
	// instances read results which this one does not know.
	unacknowledged int
	// written are the parts that are known to be in the store, and resolvePause is the next pause between repetitions of the
	// submission; both are used until the outcome of the submission is known.
	written      map[int]bool
	resolvePause time.Duration
	// heldAt is when this instance was last known to be the job's holder by the store.
	heldAt time.Time
	// verifiedAt is when the store was last read for results that another instance has listed. Until lateWritesUntil, writes
	// of the previous holder may still take effect.
	verifiedAt      time.Time
	lateWritesUntil time.Time
	// createdAt is a time before this instance created the job's record, so that no other one had held the job by then; zero if it did not
	// create it or others are known to have held the job since.
	createdAt time.Time
	// unfenced is set from then on until this instance has listed results itself. A process that was frozen between its look at the store
	// and its write may list results at any later time, but only at the position that this write takes.
	unfenced bool
	// unverifiableUntil is until when the store is not asked again after it has not answered.
	unverifiableUntil time.Time
	// previous is the incarnation of a holder that this instance is known to have replaced; until previousUntil, its announcements
	// may be older than that. doubtedBy is the incarnation of another instance that announces the job as its own, until the
	// store has confirmed one of them.
	previous      string
	previousUntil time.Time
	doubtedBy     string
	// contested is set until the store has confirmed this instance as the holder, if there seems to be another one.
	contested bool
	// doubts counts how often doubtedBy or contested was set.
	doubts int
	ended  bool
	// releasing is set while this instance gives the job up: its record may already be without a holder, or name another one.
	releasing bool
	released  bool
	// route is the job's route in table. It is cached since a table may have thousands of routes.
	table *route.Table
	route *route.Route
	// changed is closed when results are listed or the job ends.
	changed chan struct{}
}

func newJob(j work.Job, items []work.Item) *job {
	n := &job{
		Job:          j,
		written:      map[int]bool{},
		resolvePause: retryPause,
		changed:      make(chan struct{}),
	}
	for _, it := range items {
		n.items = append(n.items, &item{
			Item: it,
		})
	}

	return n
}

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// stopItems cancels the running items for a reason and returns how many there were.
func (j *job) stopItems(reason error) int {
	n := 0
	for _, it := range j.items {
		if it.cancel != nil {
			it.cancel(reason)
			n++
		}
	}

	return n
}

func (j *job) runningItems() int {
	n := 0
	for _, it := range j.items {
		if it.state == running {
			n++
		}
	}

	return n
}

// list appends the results that the store has at a position and removes them from the pending ones. It ignores a position
// that is listed already: a read may find the results in the store before the write that put them there returns.
func (j *job) list(position int, results []work.Result) {
	if len(results) == 0 || position != len(j.results) {
		return
	}
	j.starts = append(j.starts, len(j.results))
	listed := make(map[string]bool, len(results))
	for _, r := range results {
		listed[r.Item] = true
		j.results = append(j.results, r)
	}
	left := j.pending[:0]
	for _, r := range j.pending {
		if !listed[r.Item] {
			left = append(left, r)
		}
	}
	j.pending = left
	for _, it := range j.items {
		if !listed[it.ID] {
			continue
		}
		if it.cancel != nil {
			it.cancel(errListed)
		}
		it.state = done
		it.Body = nil
		it.text = nil
	}
	j.notify()
}

// contest is called when there seems to be another holder.
func (j *job) contest() {
	j.contested = true
	j.doubts++
}

// expectOthers is called when another instance is known to have listed results. It may have listed further ones, and may go on until it
// learns that it was replaced.
func (j *job) expectOthers(at time.Time) {
	j.verifiedAt, j.createdAt = time.Time{}, time.Time{}
	j.lateWritesUntil = at.Add(lateWriteWindow)
	j.unfenced = true
}

// due returns the deadline of the job's results.
func (j *job) due(rt *route.Route) time.Time {
	return j.SubmittedAt.Add(time.Duration(rt.CompletionMillis) * time.Millisecond)
}

// complete reports whether all items are listed.
func (j *job) complete() bool {
	return len(j.results) >= j.Items
}

// finish adds the result of an item to the pending ones.
func (j *job) finish(it *item, state work.State, at time.Time) {
	r := work.Result{
		Item:  it.ID,
		State: state,
	}
	if state == work.StateCompleted {
		r.Text = string(it.text)
	}
	it.state = done
	it.text = nil
	if len(j.pending) == 0 {
		j.pendingSince = at
	}
	j.pending = append(j.pending, r)
}

func (j *job) waitingTokens() int {
	if j.ended {
		return 0
	}

	return j.unfinishedTokens()
}

// unfinishedTokens returns the tokens of all items that are not done, even if the job has ended.
func (j *job) unfinishedTokens() int {
	n := 0
	for _, it := range j.items {
		if it.state != done {
			n += it.Tokens
		}
	}

	return n
}
