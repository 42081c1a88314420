package jobread

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/work"
)

const (
	// pollInterval is the pause between looks at the store while a reader waits for the next result.
	pollInterval = 450 * time.Millisecond
	// cacheLife is how long results of a job are kept after they were last read.
	cacheLife = 20 * time.Second
)

type joblog interface {
	Job(ctx context.Context, id string) (*work.Job, int64, error)
	Items(ctx context.Context, j *work.Job) ([]work.Item, error)
	Segment(ctx context.Context, id string, position int) ([]work.Result, error)
}

type holders interface {
	Holder(name, incarnation string) (netip.AddrPort, bool)
}

// holderRead reads results from the holder of a job; false if it does not hold the job any more.
type holderRead func(ctx context.Context, from netip.AddrPort, id string, after int, until time.Time) (jobpage.Page, bool, error)

// cached holds the listed results of one job, which never change.
type cached struct {
	job       *work.Job
	results   []work.Result
	expiresAt time.Time
	// stale is set if the job may have another holder than its record says.
	stale bool
}

// Reader is safe for concurrent use.
type Reader struct {
	log     joblog
	holders holders
	ask     holderRead
	logger  *slog.Logger
	now     func() time.Time
	// lock guards all fields below; it is not held during calls to the store.
	lock sync.Mutex
	jobs map[string]*cached
}

// New returns a reader without cached results; ask reads from the holder of a job.
func New(l joblog, h holders,
	ask func(ctx context.Context, from netip.AddrPort, id string, after int, until time.Time) (jobpage.Page, bool, error),
	logger *slog.Logger, now func() time.Time,
) *Reader {
	return &Reader{
		log:     l,
		holders: h,
		ask:     ask,
		logger:  logger,
		now:     now,
		jobs:    map[string]*cached{},
	}
}

// Read returns results from a position on. It waits for one until the given time; code not_found if there is no such job.
func (r *Reader) Read(ctx context.Context, id string, after int, until time.Time) (jobpage.Page, error) {
	j, err := r.job(ctx, id)
	if err != nil {
		return jobpage.Page{}, err
	}
	if page, ok := r.fromHolder(ctx, j, after, until); ok {
		return page, nil
	}
	for {
		results, err := r.extend(ctx, j, after)
		if err != nil {
			return jobpage.Page{}, err
		}
		wait := min(pollInterval, until.Sub(r.now()))
		if len(results) > after || len(results) >= j.Items || wait <= 0 {
			return jobpage.Cut(j.Items, results, after), nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return jobpage.Page{}, ctx.Err()
		}
	}
}

// fromHolder asks the instance that runs the job, which spares calls to the store and waits for results. Only results that
// are in the store are ever returned, so an answer of a holder that was replaced meanwhile is true, but may lag.
func (r *Reader) fromHolder(ctx context.Context, j *work.Job, after int, until time.Time) (jobpage.Page, bool) {
	from, ok := r.holders.Holder(j.Holder, j.Incarnation)
	if !ok {
		r.forget(j.ID)

		return jobpage.Page{}, false
	}
	page, held, err := r.ask(ctx, from, j.ID, after, until)
	if err == nil && held {
		return page, true
	}
	if err != nil {
		r.logger.Warn("holder of a job did not answer", "job", j.ID, "holder", j.Holder, "error", err.Error())
	}
	r.forget(j.ID)

	return jobpage.Page{}, false
}

// forget makes the next read look for the job's holder in the store.
func (r *Reader) forget(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if c := r.jobs[id]; c != nil {
		c.stale = true
	}
}

// Body returns the body of an item; false if the job has no such item.
func (r *Reader) Body(ctx context.Context, id, item string) ([]byte, bool, error) {
	j, err := r.job(ctx, id)
	if err != nil {
		return nil, false, err
	}
	items, err := r.log.Items(ctx, j)
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

func (r *Reader) job(ctx context.Context, id string) (*work.Job, error) {
	r.lock.Lock()
	c := r.jobs[id]
	r.lock.Unlock()
	if c != nil && !c.stale {
		return c.job, nil
	}
	j, _, err := r.log.Job(ctx, id)
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
	c.expiresAt = at.Add(cacheLife)

	return j, nil
}

// extend reads segments until the position is covered or no further one exists.
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
		c.expiresAt = r.now().Add(cacheLife)
		results := c.results
		r.lock.Unlock()
		if len(results) > after || len(results) >= j.Items {
			return results, nil
		}
		segment, err := r.log.Segment(ctx, j.ID, len(results))
		if err != nil {
			return nil, err
		}
		if len(segment) == 0 {
			return results, nil
		}
		r.lock.Lock()
		// Another reader may have added the same segment meanwhile.
		if len(c.results) == len(results) {
			c.results = append(c.results[:len(results):len(results)], segment...)
		}
		r.lock.Unlock()
	}
}
