package addresses

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
)

const (
	// doubtTime is how long a doubt about an instance has to stand before its loss is confirmed. It is longer than rejoinPause and
	// attemptTimeout together, within which a watcher that hears the instance removes it.
	doubtTime = time.Minute
	// doubtPause is the time between two looks while a doubt has not been written; another instance may be about to do it.
	doubtPause = 10 * time.Second
	// aliveTime is how long an instance that has shown a sign of life is not doubted again.
	aliveTime = time.Minute
)

// loss is what this instance has seen in the store of one that it has forgotten.
type loss struct {
	forgottenAt time.Time
	// revision is that of the object when it was last looked at, 0 if there was none.
	revision int64
	// doubtedAt is when the doubt, or that there is no object, was first seen; zero if it was not. It stands since then.
	doubtedAt time.Time
	// aliveUntil is until when the instance counts as alive after a sign of life.
	aliveUntil time.Time
}

// losses finds out which forgotten instances are lost and which may be alive in a group that is cut off from this one. Doubts stand in
// the store, where the instances of any group look for them.
type losses struct {
	known  map[string]loss
	lookAt time.Time
}

func newLosses() *losses {
	return &losses{
		known: map[string]loss{},
	}
}

// due reports whether the store has to be looked at, given the forgotten instances.
func (l *losses) due(forgotten map[string]time.Time, watching bool, at time.Time) bool {
	maps.DeleteFunc(l.known, func(name string, k loss) bool { return !forgotten[name].Equal(k.forgottenAt) })
	if len(forgotten) == 0 {
		l.lookAt = time.Time{}

		return false
	}
	first := at
	if !watching {
		first = at.Add(doubtPause) // the watchers write the doubts
	}
	if l.lookAt.IsZero() || len(l.known) < len(forgotten) && first.Before(l.lookAt) {
		l.lookAt = first
	}

	return !at.Before(l.lookAt)
}

// observe applies a list that was asked for at a time and read by another one. It returns the instances whose loss is confirmed and those
// that have to be doubted.
func (l *losses) observe(list listing, forgotten map[string]time.Time, askedAt, readAt time.Time) (lost, undoubted []string) {
	l.lookAt = readAt.Add(aliveTime)
	for name, forgottenAt := range forgotten {
		found, listed := list.records[name]
		k, seen := l.known[name]
		stands := !listed || found.record.Doubted
		switch {
		case seen && !k.doubtedAt.IsZero() && k.revision != found.revision:
			k.doubtedAt, k.aliveUntil = time.Time{}, readAt.Add(aliveTime)
		case stands && !k.doubtedAt.IsZero() && askedAt.Sub(k.doubtedAt) >= doubtTime:
			lost = append(lost, name)
		case stands && k.doubtedAt.IsZero():
			k.doubtedAt = readAt
		}
		k.forgottenAt, k.revision = forgottenAt, found.revision
		next := readAt.Add(doubtPause)
		switch {
		case !k.doubtedAt.IsZero():
			next = k.doubtedAt.Add(doubtTime)
		case readAt.Before(k.aliveUntil):
			next = k.aliveUntil
		default:
			undoubted = append(undoubted, name)
		}
		l.known[name] = k
		if next.Before(l.lookAt) {
			l.lookAt = next
		}
	}
	slices.Sort(lost)
	slices.Sort(undoubted)

	return lost, undoubted
}

// doubted records that this instance has written a doubt.
func (l *losses) doubted(name string, revision int64, at time.Time) {
	k := l.known[name]
	k.revision, k.doubtedAt = revision, at
	l.known[name] = k
}

// confirmLosses looks for signs of life of forgotten instances in the store, if it is time. As long as their loss is not confirmed, this
// instance expects that they take over its jobs.
func (x *Exchanger) confirmLosses(ctx context.Context) {
	forgotten := x.cluster.Unconfirmed()
	askedAt := time.Now()
	if !x.losses.due(forgotten, x.mayAnswer(), askedAt) || x.cluster.Isolated() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	l, err := x.list(ctx)
	if err == nil {
		err = x.answerAll(ctx, l)
	}
	if err != nil {
		x.losses.lookAt = time.Now().Add(retryPause)
		x.log.Warn("forgotten instances not looked for in the store", "forgotten", len(forgotten), "error", err.Error())

		return
	}
	lost, undoubted := x.losses.observe(l, forgotten, askedAt, time.Now())
	for _, name := range lost {
		x.cluster.ConfirmLost(name, forgotten[name])
	}
	if x.mayAnswer() {
		x.doubt(ctx, l, undoubted)
	}
}

// doubt writes doubts about instances to the store. A conflict is a sign of life, or the doubt of another watcher, and is seen at the next
// look.
func (x *Exchanger) doubt(ctx context.Context, l listing, names []string) {
	revisions := make([]int64, len(names))
	writes := pool.New().WithMaxGoroutines(maxAnswers)
	for n, name := range names {
		writes.Go(func() {
			r := l.records[name]
			r.record.Doubted = true
			revision, err := x.store.Replace(purpose.With(ctx, "doubt written"), x.kind, name, r.record, r.revision)
			if err == nil {
				revisions[n] = revision
			}
			x.log.Info("forgotten instance doubted in the store", "peer", name, "revision", r.revision, "error", fault.CodeOf(err))
		})
	}
	writes.Wait()
	for n, name := range names {
		if revisions[n] > 0 {
			x.losses.doubted(name, revisions[n], time.Now())
		}
	}
}
