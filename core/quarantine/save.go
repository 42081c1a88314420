package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"tarragonwalk/core/fault"
)

// partKind is the kind of the objects that hold one quarantined part each.
const partKind = "quarantined-parts"

type objects interface {
	// Create fails with code conflict if the object exists.
	Create(ctx context.Context, kind, name string, value any) (revision int64, err error)
	// List calls each with the names and values of all objects of a kind.
	List(ctx context.Context, kind string, each func(name string, value json.RawMessage, revision int64)) error
	Delete(ctx context.Context, kind, name string) error
}

// record is the value of an object in the store.
type record struct {
	Since time.Time
	Until time.Time
}

// Save writes quarantined parts to the store: those that crashed servers of this instance's requests, or all. A failure leaves the
// rest for the next call.
func (q *Quarantine) Save(ctx context.Context, all bool) error {
	for part := range q.obsoleteParts() {
		if err := q.objects.Delete(ctx, partKind, part); err != nil {
			return err
		}
		q.lock.Lock()
		delete(q.obsolete, part)
		q.lock.Unlock()
	}
	for part, r := range q.unsaved(all) {
		_, err := q.objects.Create(ctx, partKind, part, r)
		if err != nil && fault.CodeOf(err) != fault.CodeConflict {
			return err
		}
		q.lock.Lock()
		if e := q.quarantined[part]; e != nil {
			e.saved = true
		} else {
			q.obsolete[part] = true
		}
		q.lock.Unlock()
	}

	return nil
}

// Restore reads the quarantined parts of earlier processes from the store.
func (q *Quarantine) Restore(ctx context.Context) error {
	return q.objects.List(ctx, partKind, func(part string, value json.RawMessage, _ int64) {
		r := record{}
		if json.Unmarshal(value, &r) != nil {
			return
		}
		q.lock.Lock()
		defer q.lock.Unlock()
		at := q.now()
		if !at.Before(r.Until) {
			q.obsolete[part] = true

			return
		}
		until := r.Until
		if latest := at.Add(quarantineLife); until.After(latest) {
			until = latest
		}
		if q.adopt(part, r.Since, until, "store") {
			q.quarantined[part].saved = true
		}
	})
}

func (q *Quarantine) obsoleteParts() map[string]bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	parts := map[string]bool{}
	for part := range q.obsolete {
		parts[part] = true
	}

	return parts
}

func (q *Quarantine) unsaved(all bool) map[string]record {
	q.lock.Lock()
	defer q.lock.Unlock()
	list := map[string]record{}
	for part, e := range q.quarantined {
		if !e.saved && (all || e.observed) {
			list[part] = record{
				Since: e.since.UTC(),
				Until: e.until.UTC(),
			}
		}
	}

	return list
}
