package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
)

// partKind is the kind of the objects that hold one quarantined part, or one combination, each.
const partKind = "quarantined-parts"

// maxNameBytes bounds the names of objects, and with them the size of a combination that is kept.
const maxNameBytes = 200

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
	// Crashes are the evidence on a combination of parts, none for a single part.
	Crashes []evidence
}

// evidence is a possible crash in the store.
type evidence struct {
	Server    string
	StartedAt int
	At        time.Time
	Parts     []string
}

// Save writes quarantined parts to the store: those that crashed servers of this instance's requests, or all. A failure leaves the
// rest for the next call.
func (q *Quarantine) Save(ctx context.Context, all bool) error {
	for part := range q.obsoleteParts() {
		if err := q.objects.Delete(purpose.With(ctx, "quarantined part removed"), partKind, part); err != nil {
			return err
		}
		q.lock.Lock()
		delete(q.obsolete, part)
		q.lock.Unlock()
	}
	for part, r := range q.unsaved(all) {
		_, err := q.objects.Create(purpose.With(ctx, "quarantined part written"), partKind, part, r)
		if err != nil && fault.CodeOf(err) != fault.CodeConflict {
			return err
		}
		q.lock.Lock()
		switch e := q.quarantined[part]; {
		case len(r.Crashes) > 0:
			q.savedUntil[part] = r.Until
		case e != nil:
			e.saved = true
		default:
			q.obsolete[part] = true
		}
		q.lock.Unlock()
	}

	return nil
}

// Restore reads the quarantined parts of earlier processes from the store.
func (q *Quarantine) Restore(ctx context.Context) error {
	return q.objects.List(purpose.With(ctx, "quarantined parts listed"), partKind, func(part string, value json.RawMessage, _ int64) {
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
		if len(r.Crashes) > 0 {
			q.savedUntil[part] = r.Until
			q.restoreCrashes(r.Crashes, at)

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

// restoreCrashes adds the evidence on a combination of parts that an earlier process had. The caller holds the lock.
func (q *Quarantine) restoreCrashes(crashes []evidence, at time.Time) {
	for _, c := range crashes[:min(len(crashes), maxCrashes)] {
		if at.Sub(c.At).Abs() >= evidenceLife {
			continue
		}
		of := incarnation{
			server:    c.Server,
			startedAt: c.StartedAt,
		}
		q.addLoss(of, c.Parts[:min(len(c.Parts), maxParts)], nil, c.At, 0)
	}
	q.judge(at)
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
	for part, with := range q.combined {
		name := strings.Join(with, ".")
		_, saved := q.savedUntil[name]
		if !saved && len(with) > 1 && part == with[0] && len(name) <= maxNameBytes && (all || q.ownCrash(with)) {
			list[name] = q.combination(part, with)
		}
	}

	return list
}

// combination returns the record of parts that are quarantined in combination, with all their evidence. The caller holds the lock.
func (q *Quarantine) combination(part string, with []string) record {
	at := q.now()
	r := record{
		Since: at.UTC(),
		Until: at.Add(evidenceLife).UTC(),
	}
	for _, c := range q.crashes {
		if !c.refuted() && c.parts[part] {
			r.Crashes = append(r.Crashes, evidence{
				Server:    c.incarnation.server,
				StartedAt: c.incarnation.startedAt,
				At:        c.at.UTC(),
				Parts:     with,
			})
		}
	}

	return r
}

// ownCrash reports whether this instance has seen a crash under all of some parts. The caller holds the lock.
func (q *Quarantine) ownCrash(parts []string) bool {
	return slices.ContainsFunc(q.crashes, func(c *crash) bool { return containsAll(c.own, parts) })
}
