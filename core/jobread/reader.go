package jobread

import (
	"context"
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

// cached holds the listed results of one job, which never change.
type cached struct {
	job       *work.Job
	results   []work.Result
	expiresAt time.Time
}

// Reader is safe for concurrent use.
type Reader struct {
	log joblog
	now func() time.Time
	// lock guards all fields below; it is not held during calls to the store.
	lock sync.Mutex
	jobs map[string]*cached
}

// New returns a reader without cached results.
func New(l joblog, now func() time.Time) *Reader {
	return &Reader{
		log:  l,
		now:  now,
		jobs: map[string]*cached{},
	}
}

// Read returns results from a position on. It waits for one until the given time; code not_found if there is no such job.
func (r *Reader) Read(ctx context.Context, id string, after int, until time.Time) (jobpage.Page, error) {
	j, err := r.job(ctx, id)
	if err != nil {
		return jobpage.Page{}, err
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
	if c != nil {
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
	if r.jobs[id] == nil {
		r.jobs[id] = &cached{
			job:       j,
			expiresAt: at.Add(cacheLife),
		}
	}

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
