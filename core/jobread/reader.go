package jobread

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

const (
	// pollInterval is the pause between reads of the store while a caller waits for the next result.
	pollInterval = 450 * time.Millisecond
	// hintTTL is how long an announced holder is remembered. Callers read the results of a job during that time after its
	// acceptance.
	hintTTL = 2 * time.Minute
	// sweepInterval is the time between removals of expired hints.
	sweepInterval = 10 * time.Second
	// cacheTTL is how long results of a job stay in memory after they were last read.
	cacheTTL = 20 * time.Second
)

type joblog interface {
	Job(ctx context.Context, id string) (*work.Job, int64, error)
	Items(ctx context.Context, j *work.Job) ([]work.Item, error)
	Segment(ctx context.Context, id string, position int) ([]work.Result, error)
}

type holders interface {
	Holder(name, incarnation string) (netip.AddrPort, bool)
}

// peers reads from the holder of a job. Its methods return false if that instance does not hold the job any more, and an error with code
// not_found if the job is another workspace's.
type peers interface {
	ReadResults(ctx context.Context, from netip.AddrPort, id, workspace string, after int, until time.Time) (jobpage.Page, bool, error)
	ReadBody(ctx context.Context, from netip.AddrPort, id, workspace, item string) ([]byte, bool, error)
	CheckJob(ctx context.Context, from netip.AddrPort, id, workspace string) (bool, error)
}

// cached holds the record of a job and its first listed results. Listed results never change, so they need no refresh.
type cached struct {
	job       *work.Job
	results   []work.Result
	expiresAt time.Time
	// stale is set if the job may have another holder than the one in the record.
	stale bool
}

// hint is the announced holder of a job.
type hint struct {
	holder      string
	incarnation string
	expiresAt   time.Time
}

// Reader reads the results of jobs that other instances hold. It is safe for concurrent use.
type Reader struct {
	log     joblog
	holders holders
	peers   peers
	logger  *slog.Logger
	now     func() time.Time
	// lock guards all fields below; it is not held during calls to the store or to other instances.
	lock sync.Mutex
	jobs map[string]*cached
	// hints save each instance that is asked for a job's results a call to the store.
	hints   map[string]hint
	sweptAt time.Time
}

// New returns a reader without cached results.
func New(l joblog, h holders, p peers, logger *slog.Logger, now func() time.Time) *Reader {
	return &Reader{
		log:     l,
		holders: h,
		peers:   p,
		logger:  logger,
		now:     now,
		jobs:    map[string]*cached{},
		hints:   map[string]hint{},
	}
}

// SetHolder records the announced holder of a job.
func (r *Reader) SetHolder(id, holder, incarnation string) {
	at := r.now()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.hints[id] = hint{
		holder:      holder,
		incarnation: incarnation,
		expiresAt:   at.Add(hintTTL),
	}
	if at.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt = at
	for other, h := range r.hints {
		if at.After(h.expiresAt) {
			delete(r.hints, other)
		}
	}
}

// Announced reports whether an instance has announced a job as its own in the last two minutes, so that the job was accepted.
func (r *Reader) Announced(id string) bool {
	_, ok := r.announcedHolder(id)

	return ok
}

// announcedHolder returns a job of which only the ID and the announced holder are set, false if none was announced.
func (r *Reader) announcedHolder(id string) (*work.Job, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	h, ok := r.hints[id]

	return &work.Job{
		ID:          id,
		Holder:      h.holder,
		Incarnation: h.incarnation,
	}, ok
}

// Read returns the results of a job from a position on and waits for one until the given time. It fails with code not_found if
// there is no such job or it is another workspace's; an empty workspace stands for all.
func (r *Reader) Read(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, error) {
	if j, ok := r.announcedHolder(id); ok {
		if page, ok, err := r.fromHolder(ctx, j, workspace, after, until); ok {
			return page, err
		}
	}
	j, err := r.permittedJob(ctx, id, workspace)
	if err != nil {
		return jobpage.Page{}, err
	}
	if page, ok, err := r.fromHolder(ctx, j, workspace, after, until); ok {
		return page, err
	}
	for {
		results, err := r.extend(ctx, j, after)
		if err != nil {
			return jobpage.Page{}, err
		}
		wait := min(pollInterval, until.Sub(r.now()))
		if len(results) > after || len(results) >= j.Items || wait <= 0 {
			r.logRead(j, after, len(results), "store")

			return jobpage.Cut(j.Items, results, after), nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return jobpage.Page{}, ctx.Err()
		}
	}
}

// ReadStore returns the results of a job from a position on that the store has now, whatever the job's holder knows.
func (r *Reader) ReadStore(ctx context.Context, id string, after int) (jobpage.Page, error) {
	j, err := r.job(ctx, id)
	if err != nil {
		return jobpage.Page{}, err
	}
	results, err := r.extend(ctx, j, after)
	if err != nil {
		return jobpage.Page{}, err
	}
	r.logRead(j, after, len(results), "store")

	return jobpage.Cut(j.Items, results, after), nil
}

// fromHolder reads results from the instance that runs the job, which saves calls to the store and waits for results. A holder
// returns only results that are in the store, so the answer of one that was replaced meanwhile is correct but may be out of
// date. It returns false if the holder is unknown, does not answer or does not hold the job any more, and an error if the holder cannot
// tell, in which case the store would not help.
func (r *Reader) fromHolder(ctx context.Context, j *work.Job, workspace string, after int, until time.Time) (jobpage.Page, bool, error) {
	from, ok := r.holders.Holder(j.Holder, j.Incarnation)
	if !ok {
		r.forgetHolder(j.ID)

		return jobpage.Page{}, false, nil
	}
	page, held, err := r.peers.ReadResults(ctx, from, j.ID, workspace, after, until)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return jobpage.Page{}, true, err
	}
	if err == nil && held {
		r.logRead(j, after, page.Next, "holder")
	}
	if held {
		if listed := r.cachedResults(j.ID); len(page.Results) == 0 && len(listed) > after {
			// The holder may not know a result yet that the store has shown to this instance.
			return jobpage.Cut(max(page.Total, len(listed)), listed, after), true, nil
		}

		return page, true, err
	}
	if err != nil {
		r.logger.Warn("holder of a job did not answer", "job", j.ID, "holder", j.Holder, "error", err.Error())
	}
	r.forgetHolder(j.ID)

	return jobpage.Page{}, false, nil
}

// cachedResults returns the results of a job that this instance has read from the store.
func (r *Reader) cachedResults(id string) []work.Result {
	r.lock.Lock()
	defer r.lock.Unlock()
	if c := r.jobs[id]; c != nil {
		return c.results
	}

	return nil
}

// logRead logs from where a read was answered and how many results that source knew at least. Reads from the start that find
// nothing are left out: a caller that waits for the first result repeats them.
func (r *Reader) logRead(j *work.Job, after, listed int, source string) {
	if after == 0 && listed == 0 {
		return
	}
	r.logger.Info("results read", "job", j.ID, "after", after, "listed", listed, "source", source, "holder", j.Holder,
		"incarnation", j.Incarnation)
}

// forgetHolder drops the announced holder of a job and makes the next read get the holder from the store.
func (r *Reader) forgetHolder(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if c := r.jobs[id]; c != nil {
		c.stale = true
	}
	delete(r.hints, id)
}

// Body returns the body of an item; false if the job has no such item. It asks the holder first, since the store returns the bodies
// of many items at once. It fails with code not_found if there is no such job or it is another workspace's.
func (r *Reader) Body(ctx context.Context, id, workspace, item string) ([]byte, bool, error) {
	if body, ok, err := r.bodyFromHolder(ctx, id, workspace, item); ok || err != nil {
		return body, ok, err
	}
	j, err := r.permittedJob(ctx, id, workspace)
	if err != nil {
		return nil, false, err
	}
	items, err := r.log.Items(purpose.With(ctx, "read of body"), j)
	if err != nil {
		return nil, false, err
	}
	for _, it := range items {
		if it.ID == item {
			return it.Body, true, nil
		}
	}

	return nil, false, nil
}

// Check fails with code not_found if there is no such job or it is another workspace's.
func (r *Reader) Check(ctx context.Context, id, workspace string) error {
	r.lock.Lock()
	c := r.jobs[id]
	r.lock.Unlock()
	if c != nil { // the workspace of a job never changes
		return check(c.job, workspace)
	}
	if from, ok := r.announcedAddress(id); ok {
		held, err := r.peers.CheckJob(ctx, from, id, workspace)
		if held || fault.CodeOf(err) == fault.CodeNotFound {
			return err
		}
	}
	_, err := r.permittedJob(ctx, id, workspace)

	return err
}

// permittedJob returns the record of a job that callers of a workspace may use. If they need a key, the failures for a job that does not exist
// and for another workspace's are the same.
func (r *Reader) permittedJob(ctx context.Context, id, workspace string) (*work.Job, error) {
	j, err := r.job(ctx, id)
	switch {
	case fault.CodeOf(err) == fault.CodeNotFound && workspace != "":
		return nil, work.ErrUnknown
	case err != nil:
		return nil, err
	default:
		return j, check(j, workspace)
	}
}

func check(j *work.Job, workspace string) error {
	if !work.Permits(j, workspace) {
		return work.ErrUnknown
	}

	return nil
}

// announcedAddress returns the address of the announced holder of a job.
func (r *Reader) announcedAddress(id string) (netip.AddrPort, bool) {
	j, ok := r.announcedHolder(id)
	if !ok {
		return netip.AddrPort{}, false
	}

	return r.holders.Holder(j.Holder, j.Incarnation)
}

// bodyFromHolder returns the body of an item from the announced holder of its job, false if that is not possible; it fails with code
// not_found if the job is another workspace's.
func (r *Reader) bodyFromHolder(ctx context.Context, id, workspace, item string) ([]byte, bool, error) {
	from, ok := r.announcedAddress(id)
	if !ok {
		return nil, false, nil
	}
	body, held, err := r.peers.ReadBody(ctx, from, id, workspace, item)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return nil, false, err
	}
	if err != nil {
		r.logger.Warn("holder of a job did not return a body", "job", id, "holder", from.String(), "error", err.Error())
	}

	return body, held, nil
}

// job returns the record of a job, from memory unless it is stale.
func (r *Reader) job(ctx context.Context, id string) (*work.Job, error) {
	r.lock.Lock()
	c := r.jobs[id]
	r.lock.Unlock()
	if c != nil && !c.stale {
		return c.job, nil
	}
	j, _, err := r.log.Job(purpose.With(ctx, "read"), id)
	if err != nil {
		return nil, err
	}
	at := r.now()
	r.lock.Lock()
	defer r.lock.Unlock()
	for other, c := range r.jobs {
		if at.After(c.expiresAt) {
			delete(r.jobs, other)
		}
	}
	if c = r.jobs[id]; c == nil {
		c = &cached{}
		r.jobs[id] = c
	}
	c.job = j
	c.stale = false
	c.expiresAt = at.Add(cacheTTL)

	return j, nil
}

// extend reads further segments of a job until there is a result at position after or no further segment. It returns all
// results known then.
func (r *Reader) extend(ctx context.Context, j *work.Job, after int) ([]work.Result, error) {
	for {
		r.lock.Lock()
		c := r.jobs[j.ID]
		if c == nil {
			c = &cached{
				job: j,
			}
			r.jobs[j.ID] = c
		}
		c.expiresAt = r.now().Add(cacheTTL)
		results := c.results
		r.lock.Unlock()
		if len(results) > after || len(results) >= j.Items {
			return results, nil
		}
		segment, err := r.log.Segment(purpose.With(ctx, "read"), j.ID, len(results))
		if err != nil {
			return nil, err
		}
		if len(segment) == 0 {
			return results, nil
		}
		r.lock.Lock()
		// A concurrent read may have added the same segment.
		if len(c.results) == len(results) {
			c.results = append(c.results[:len(results):len(results)], segment...)
		}
		r.lock.Unlock()
	}
}
