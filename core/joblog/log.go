package joblog

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/work"
)

// Kinds of objects.
const (
	jobKind     = "jobs"
	partKind    = "job-parts"
	segmentKind = "job-results"
	// EndKind holds an object for each job that was ended by its caller; instances watch it.
	EndKind = "job-ends"
)

// partBytes bounds the encoded items of one part. The store limits an object to 1 MiB.
const partBytes = 900 << 10

type objects interface {
	// Create fails with code conflict if the object exists, outcome_unknown if the store did not answer, and
	// store_unavailable if nothing was done.
	Create(ctx context.Context, kind, name string, value any) (revision int64, err error)
	// Read fails with code not_found if there is no such object.
	Read(ctx context.Context, kind, name string, value any) (revision int64, err error)
	// Replace fails with code conflict if the object has another revision.
	Replace(ctx context.Context, kind, name string, value any, revision int64) (newRevision int64, err error)
	// List calls each with the names and values of all objects of a kind.
	List(ctx context.Context, kind string, each func(name string, value json.RawMessage, revision int64)) error
	Delete(ctx context.Context, kind, name string) error
}

// Log reads and writes jobs; its methods may be called concurrently.
type Log struct {
	objects objects
}

// New returns a log on a store.
func New(o objects) *Log {
	return &Log{
		objects: o,
	}
}

// Accept creates the parts and the record of a job concurrently, so that acceptance takes one round trip to a slow store, and
// returns the record's revision. Code conflict means that the job was accepted before. A failure after which some of the
// objects may exist has code outcome_unknown; repeating Accept then determines the outcome. Accept adds the parts that are known
// to be in the store to written, and does not send those again.
func (l *Log) Accept(ctx context.Context, j *work.Job, items []work.Item, written map[int]bool) (int64, error) {
	parts := split(items)
	j.Parts = len(parts)
	failures := make([]error, len(parts))
	var group conc.WaitGroup
	for i, p := range parts {
		if written[i] {
			continue
		}
		group.Go(func() {
			_, err := l.objects.Create(purpose.With(ctx, "items written"), partKind, partName(j.ID, i), p)
			// A part that exists is from an earlier submission of the same job, which has the same items.
			if fault.CodeOf(err) != fault.CodeConflict {
				failures[i] = err
			}
		})
	}
	revision, err := l.objects.Create(purpose.With(ctx, "record written"), jobKind, j.ID, j)
	group.Wait()
	for i, failure := range failures {
		if failure == nil {
			written[i] = true
		}
	}

	return revision, combine(err, failures)
}

// combine returns the error of a submission, given the errors of its record and its parts.
func combine(record error, parts []error) error {
	var failed error
	for _, err := range parts {
		if err != nil {
			failed = err
		}
	}
	switch {
	case failed == nil:
		return record
	case fault.CodeOf(record) == fault.CodeStoreUnavailable:
		// A job without a record does not exist, even if some of its parts do.
		return record
	default:
		return fault.Wrap(failed, fault.CodeOutcomeUnknown, "the items of the job may not be in the store")
	}
}

// Job returns the record of a job and its revision; code not_found if no such job was accepted.
func (l *Log) Job(ctx context.Context, id string) (*work.Job, int64, error) {
	j := &work.Job{}
	revision, err := l.objects.Read(purpose.With(ctx, "record read"), jobKind, id, j)
	if err != nil {
		return nil, 0, err
	}

	return j, revision, nil
}

// Accepted reports whether a job was accepted: whether its record and all its parts are in the store. It fails with code outcome_unknown
// if only some of them are, since the instance that writes them may go on.
func (l *Log) Accepted(ctx context.Context, id string) (bool, error) {
	j, _, err := l.Job(ctx, id)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return false, nil
	}
	if err != nil || j.Finished {
		return err == nil, err
	}
	_, err = l.Items(ctx, j)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return false, fault.Wrap(err, fault.CodeOutcomeUnknown, "the items of the job are not all in the store")
	}

	return err == nil, err
}

// Jobs returns the records of all jobs with their revisions.
func (l *Log) Jobs(ctx context.Context) (jobs []work.Job, revisions []int64, err error) {
	err = l.objects.List(purpose.With(ctx, "records listed"), jobKind, func(_ string, value json.RawMessage, revision int64) {
		j := work.Job{}
		if json.Unmarshal(value, &j) == nil {
			jobs = append(jobs, j)
			revisions = append(revisions, revision)
		}
	})

	return jobs, revisions, err
}

// Update replaces the record of a job, to change its holder or mark it as finished, and returns the new revision. It fails with
// code conflict unless the record has the given revision.
func (l *Log) Update(ctx context.Context, j work.Job, revision int64) (int64, error) {
	return l.objects.Replace(purpose.With(ctx, "record changed"), jobKind, j.ID, j, revision)
}

// Items returns the items of a job in its order.
func (l *Log) Items(ctx context.Context, j *work.Job) ([]work.Item, error) {
	items := make([]work.Item, 0, j.Items)
	for i := range j.Parts {
		p := work.Part{}
		if _, err := l.objects.Read(purpose.With(ctx, "items read"), partKind, partName(j.ID, i), &p); err != nil {
			return nil, err
		}
		items = append(items, p.Items...)
	}

	return items, nil
}

// Segment returns the results of the segment that begins at a position, nil if there is none yet.
func (l *Log) Segment(ctx context.Context, id string, position int) ([]work.Result, error) {
	s := work.Segment{}
	_, err := l.objects.Read(purpose.With(ctx, "results read"), segmentKind, segmentName(id, position), &s)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return nil, nil
	}

	return s.Results, err
}

// Append creates a segment of results at a position. Code conflict means that the position has a segment already.
func (l *Log) Append(ctx context.Context, id string, position int, results []work.Result, writer string) error {
	_, err := l.objects.Create(purpose.With(ctx, "results written"), segmentKind, segmentName(id, position), work.Segment{
		Results: results,
		Writer:  writer,
	})

	return err
}

// End records that the caller has ended a job. It succeeds also if that was recorded before.
func (l *Log) End(ctx context.Context, id string, at time.Time) error {
	_, err := l.objects.Create(purpose.With(ctx, "end written"), EndKind, id, map[string]time.Time{"EndedAt": at})
	if fault.CodeOf(err) == fault.CodeConflict {
		return nil
	}

	return err
}

// Ended reports whether the caller has ended a job.
func (l *Log) Ended(ctx context.Context, id string) (bool, error) {
	var record json.RawMessage
	_, err := l.objects.Read(purpose.With(ctx, "end read"), EndKind, id, &record)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return false, nil
	}

	return err == nil, err
}

// Remove deletes all objects of a job; segments are the positions at which the job's segments begin.
func (l *Log) Remove(ctx context.Context, j *work.Job, segments []int) error {
	ctx = purpose.With(ctx, "objects removed")
	for _, position := range segments {
		if err := l.objects.Delete(ctx, segmentKind, segmentName(j.ID, position)); err != nil {
			return err
		}
	}
	for i := range j.Parts {
		if err := l.objects.Delete(ctx, partKind, partName(j.ID, i)); err != nil {
			return err
		}
	}
	if err := l.objects.Delete(ctx, EndKind, j.ID); err != nil {
		return err
	}

	return l.objects.Delete(ctx, jobKind, j.ID)
}

func partName(id string, part int) string {
	return fmt.Sprintf("%s.%04d", id, part)
}

func segmentName(id string, position int) string {
	return fmt.Sprintf("%s.%06d", id, position)
}

// split groups items into parts of at most partBytes; an item that is larger has a part of its own.
func split(items []work.Item) []work.Part {
	var parts []work.Part
	size := partBytes
	for _, it := range items {
		// Base64 adds a third to the body; the 200 bytes are for field names and the like.
		n := len(it.Body)*4/3 + len(it.Target) + 200
		for k, v := range it.Headers {
			n += len(k) + len(v) + 8
		}
		if size+n > partBytes {
			parts = append(parts, work.Part{})
			size = 0
		}
		p := &parts[len(parts)-1]
		p.Items = append(p.Items, it)
		size += n
	}

	return parts
}
