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
	// doubtTime is how long a doubt about an instance has to stand before its loss is confirmed if the instances of its group do not expect
	// this one. It is longer than rejoinPause and attemptTimeout together, within which a watcher that hears the instance removes it.
	doubtTime = time.Minute
	// answerTime is the same if they expect this one. It is longer than lookPause, two looks and retryPause together, so that a look of
	// theirs may fail.
	answerTime = 9 * time.Second
	// lookPause is the time between two looks of the watchers while an instance is missing. If it is alive, it may take itself for the last
	// one, or this one for lost, after answerTime.
	lookPause = 2500 * time.Millisecond
	// lookTimeout bounds a look.
	lookTimeout = 2500 * time.Millisecond
	// firstLookPause is how long others than the watchers, which write the doubts, wait with their first look at a missing instance.
	firstLookPause = time.Second
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
	// lookedAt is when the last look ended.
	lookedAt time.Time
	// settled are the instances whose loss is confirmed, and whether the store has shown a sign of life of one since.
	settled map[string]bool
}

func newLosses() *losses {
	return &losses{
		known:   map[string]loss{},
		settled: map[string]bool{},
	}
}

// due reports whether the store has to be looked at, given the suspects. Sought says that an instance whose heartbeats still arrive may
// ask or doubt there.
func (l *losses) due(suspects map[string]time.Time, sought, watching bool, at time.Time) bool {
	maps.DeleteFunc(l.known, func(name string, k loss) bool { return !suspects[name].Equal(k.forgottenAt) })
	if watching && sought && !at.Before(l.lookedAt.Add(lookPause)) {
		return true
	}
	if len(suspects) == 0 {
		l.lookAt = time.Time{}

		return false
	}
	first := at
	if !watching { // the watchers write the doubts
		first = at.Add(firstLookPause)
	}
	if l.lookAt.IsZero() || len(l.known) < len(suspects) && first.Before(l.lookAt) {
		l.lookAt = first
	}
	for name := range suspects {
		if soon := l.nextLookAt(name, watching); soon.Before(l.lookAt) {
			l.lookAt = soon
		}
	}

	return !at.Before(l.lookAt)
}

// nextLookAt returns when the next look for a suspect is due. The watchers look all the time, for questions and doubts of its group; others
// only want to know that it is lost.
func (l *losses) nextLookAt(name string, watching bool) time.Time {
	k, seen := l.known[name]
	soon := l.lookedAt.Add(lookPause)
	switch {
	case !seen:
		return l.lookAt
	case watching:
	case !k.doubtedAt.IsZero():
		soon = later(soon, k.doubtedAt.Add(answerTime))
	default:
		soon = later(soon, k.aliveUntil)
	}

	return soon
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// observe applies a list that was asked for at a time and read by another one. It returns the instances whose loss is confirmed and those
// that have to be doubted. Absent says since when they have been missing; the time of a doubt is shorter if others that are alive expect this
// instance, since their watchers look at short intervals while it is missing there, or does not hear them.
func (l *losses) observe(
	list listing, suspects, absent map[string]time.Time, expected bool, askedAt, readAt time.Time,
) (lost, undoubted []string) {
	l.lookedAt, l.lookAt = readAt, readAt.Add(aliveTime)
	for name, forgottenAt := range suspects {
		found, listed := list.records[name]
		k, seen := l.known[name]
		stands := !listed || found.record.Doubted
		needed := doubtTime
		if since, ok := absent[name]; ok && expected && askedAt.Sub(since) >= answerTime {
			needed = answerTime
		}
		switch {
		case seen && !k.doubtedAt.IsZero() && k.revision != found.revision:
			k.doubtedAt, k.aliveUntil = time.Time{}, readAt.Add(aliveTime)
		case stands && !k.doubtedAt.IsZero() && askedAt.Sub(k.doubtedAt) >= needed:
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

// review applies a list to the settled instances: one that has removed the doubt about itself is alive. One that is not listed has left.
func (l *losses) review(list listing) {
	for name := range l.settled {
		found, listed := list.records[name]
		if !listed {
			delete(l.settled, name)
		} else if !found.record.Doubted {
			l.settled[name] = true
		}
	}
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
	suspects, absent := x.suspects(forgotten), x.absences.since
	if !x.losses.due(suspects, x.cluster.Sought(), x.mayAnswer(), askedAt) || x.cluster.Isolated() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	l, err := x.list(ctx)
	if err == nil {
		err = x.answerAll(ctx, l)
	}
	if err != nil {
		x.losses.lookedAt = time.Now()
		x.losses.lookAt = x.losses.lookedAt.Add(retryPause)
		x.log.Warn("missing instances not looked for in the store", "missing", len(suspects), "error", err.Error())

		return
	}
	lost, undoubted := x.losses.observe(l, suspects, absent, x.Expected(), askedAt, time.Now())
	for _, name := range lost {
		x.losses.settled[name] = false
		if forgottenAt, ok := forgotten[name]; ok {
			x.cluster.ConfirmLost(name, forgottenAt)
		}
	}
	if !x.mayAnswer() {
		return
	}
	undoubted = slices.DeleteFunc(undoubted, func(name string) bool {
		_, ok := forgotten[name]

		// A process that only starts again needs no doubt.
		return !ok && askedAt.Sub(absent[name]) < answerTime
	})
	x.doubt(ctx, l, undoubted)
}

// suspects returns the forgotten instances and, if this instance watches the store, those that are only missing: they may be alive behind a
// partition, and ask or doubt in the store.
func (x *Exchanger) suspects(forgotten map[string]time.Time) map[string]time.Time {
	if !x.mayAnswer() {
		return forgotten
	}
	list := map[string]time.Time{}
	for name, since := range x.absences.since {
		if alive, settled := x.losses.settled[name]; alive || !settled {
			list[name] = since
		}
	}
	maps.Copy(list, forgotten)

	return list
}

// observeAbsences records which instances are missing.
func (x *Exchanger) observeAbsences(at time.Time) {
	if x.cluster.Isolated() {
		return
	}
	missing := x.missing()
	if len(missing) == 0 && x.cluster.MetMost() {
		x.doubted.Store(false)
	}
	x.absences.observe(missing, at)
}

// missing returns the instances that this one does not hear though they may be alive.
func (x *Exchanger) missing() []string {
	missing := x.cluster.Missing()
	for name, alive := range x.losses.settled {
		if x.cluster.Hears(name) {
			delete(x.losses.settled, name)
		} else if alive && !slices.Contains(missing, name) {
			missing = append(missing, name)
		}
	}

	return missing
}

// answerDoubt removes a doubt about this instance if an instance that it hears does not hear it. All others that hear it may be unheard as
// well, without a watcher among them, and watchers find it in the list.
func (x *Exchanger) answerDoubt(ctx context.Context) {
	if x.mayAnswer() || !x.cluster.Unheard() || time.Now().Before(x.ownLookAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	if err := x.announce(ctx); err != nil {
		x.log.Warn("no look in the store for a doubt about this instance", "error", err.Error())
	}
	x.ownLookAt = time.Now().Add(lookPause)
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
