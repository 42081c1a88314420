package jobrun

import (
	"context"
	"errors"
	"slices"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/purpose"
	"tarragonwalk/core/rendezvous"
	"tarragonwalk/core/work"
)

const (
	// orphanTTL is how long a job without a holder is remembered after its last announcement.
	orphanTTL = 10 * time.Second
	// dismissedTTL is how long announcements of a job are ignored after it was seen to have a holder. Other instances stop
	// announcing it once they learn of the new holder.
	dismissedTTL = 2 * time.Second
	// minIncompletePause is the pause before a job is tried again whose record exists without its items, maxIncompletePause the longest
	// one. It was not accepted, but a submission that is repeated completes it, mostly a second or two after the loss of the first
	// instance. Tried four times a second, such jobs kept the store busy for the rest of the day.
	minIncompletePause = time.Second
	maxIncompletePause = 4 * time.Second
)

// errHeld is the failure to take over a job whose holder may live.
var errHeld = fault.New(fault.CodeUnavailable, "the job's holder may live")

// orphan is a job that this instance or another one has found without a holder; the runner's lock guards it.
type orphan struct {
	// dueAt is when this instance takes the job over, unless another one has done so.
	dueAt    time.Time
	forgetAt time.Time
	// dismissed is set once the job needs no takeover, since it was seen to have a holder or to have ended.
	dismissed bool
	// running is set while this instance tries to take the job over, claimed once the job's record names it.
	running bool
	claimed bool
	// held is set if the job's record named another instance when this one read it and could not judge whether that one lives.
	held bool
	// lost is the incarnation that the record named before it named this instance. A repeated attempt no longer finds it there.
	lost string
	// checkAt is when the record is read once more since a claim got no answer, which may take effect until then; zero if none did.
	checkAt time.Time
	// incompletePause is the last pause for a job whose items are not all in the store.
	incompletePause time.Duration
}

// ObserveOrphan records a job that another instance announces as having no holder.
func (r *Runner) ObserveOrphan(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.noteOrphan(id, r.now())
}

// announceOrphan records a job that has no holder and announces it to the other instances.
func (r *Runner) announceOrphan(j *work.Job, at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if _, announced := r.released[j.ID]; !announced {
		r.logger.Info("job without a holder found", "job", j.ID, "holder", j.Holder, "incarnation", j.Incarnation, "submitted_at", j.SubmittedAt)
	}
	if r.noteOrphan(j.ID, at) {
		r.released[j.ID] = at.Add(announcementTTL)
	}
}

// noteOrphan records a job that has no holder and reports whether it still needs a takeover; it needs the lock.
func (r *Runner) noteOrphan(id string, at time.Time) bool {
	if r.jobs[id] != nil || r.stopping {
		return false
	}
	o := r.orphans[id]
	if o == nil {
		o = &orphan{
			dueAt: at.Add(time.Duration(r.rank(id)) * rankDelay),
		}
		r.orphans[id] = o
		r.signal()
	}
	if !o.dismissed {
		o.forgetAt = at.Add(orphanTTL)
	}

	return !o.dismissed
}

// dismiss records that the job needs no takeover. A job that this instance has claimed needs one whatever others announce, since
// only this instance takes it over.
func (o *orphan) dismiss(at time.Time) {
	if o.claimed {
		return
	}
	o.dismissed = true
	o.forgetAt = at.Add(dismissedTTL)
}

// rank returns the position of this instance in the order in which the live instances take a job over.
func (r *Runner) rank(id string) int {
	names := r.cluster.Live()
	rank := slices.Index(rendezvous.Top(id, names, len(names)), r.name)
	if rank < 0 {
		return len(names)
	}

	return rank
}

// takeOverOrphans starts the takeovers that are due at this instance; it needs the lock.
func (r *Runner) takeOverOrphans(ctx context.Context, at time.Time) {
	if len(r.orphans) == 0 {
		return
	}
	blind := r.blind(at)
	// An instance that does not hear this one would not learn of what this one takes over, and take it over again.
	unheard := r.cluster.Unheard()
	takeovers := 0
	for id, o := range r.orphans {
		switch {
		case o.running:
			takeovers++
		case !o.checkAt.IsZero() && !at.Before(o.checkAt):
			// The record may name this instance, so that no other one announces the job.
			o.dismissed, o.checkAt = false, time.Time{}
			o.dueAt, o.forgetAt = at, at.Add(orphanTTL)
		case at.After(o.forgetAt) && !o.claimed && o.checkAt.IsZero():
			delete(r.orphans, id)
		}
	}
	for id, o := range r.orphans {
		if takeovers >= maxTakeovers {
			return
		}
		// Nobody else takes over a job that this instance has claimed.
		if o.dismissed || o.running || at.Before(o.dueAt) || (unheard || blind && o.held) && !o.claimed {
			continue
		}
		takeovers++
		o.running = true
		r.tasks.Go(func() {
			err := r.takeOverOrphan(ctx, id, o)
			r.lock.Lock()
			defer r.lock.Unlock()
			defer r.signal()
			o.running = false
			if errors.Is(err, errHeld) {
				o.held = true

				return
			}
			if err != nil {
				pause := retryPause
				if fault.CodeOf(err) == fault.CodeNotFound {
					o.incompletePause = min(max(2*o.incompletePause, minIncompletePause), maxIncompletePause)
					pause = o.incompletePause
				}
				o.dueAt = r.now().Add(pause)
				// The record may already name this instance, so that no other one announces the job again.
				o.forgetAt = o.dueAt.Add(orphanTTL)
				r.logger.Warn("job not taken over", "job", id, "error", err.Error())

				return
			}
			o.claimed = false
			o.dismiss(r.now())
		})
	}
}

// blind reports whether what this instance knows of the others does not show whether one of them lives.
func (r *Runner) blind(at time.Time) bool {
	return r.cluster.Isolated() || r.cluster.Paused(at)
}

// takeOverOrphan takes a job over unless it has a holder or has ended. A job that its holder has released may be taken over whatever is
// known of other instances; for others it fails with errHeld while that is not enough.
func (r *Runner) takeOverOrphan(ctx context.Context, id string, o *orphan) error {
	ctx = purpose.With(ctx, "takeover")
	claim, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	record, revision, err := r.log.Job(claim, id)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	if !record.Finished && record.Holder != "" && !r.mine(record) && r.blind(r.now()) {
		return errHeld
	}
	if record.Finished || !r.orphan(record) {
		return nil
	}
	if removed, err := r.removeEnded(claim, record); removed || err != nil {
		return err
	}
	previous := *record
	if !r.mine(record) {
		o.lost = record.Incarnation
	}
	revision, claimed, err := r.claim(claim, record, revision)
	if !claimed {
		r.noteClaim(o, err)

		return err
	}
	r.lock.Lock()
	o.claimed, o.dismissed, o.checkAt = true, false, time.Time{}
	// The former holder may be alive and has to learn of its replacement before this instance has read the job.
	r.claimed[id] = r.now().Add(announcementTTL)
	r.lock.Unlock()

	err = r.takeOver(ctx, *record, &previous, o.lost, revision)
	if fault.CodeOf(err) == fault.CodeNotFound && r.expired(record, r.now()) {
		// Some of its items were never written, so it was not accepted.
		r.removeOld(ctx, record)

		return nil
	}
	if fault.CodeOf(err) == fault.CodeNotFound {
		r.recordIncomplete(record, o)
	}

	return err
}

// noteClaim records that a claim has failed. Without an answer it may still take effect, even after the holder was heard from again and the
// takeover was dismissed.
func (r *Runner) noteClaim(o *orphan, err error) {
	if err == nil || fault.CodeOf(err) == fault.CodeStoreUnavailable {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	o.checkAt = r.now().Add(lateWriteWindow)
}

// recordIncomplete records that a job of a lost process has no items in the store that wait: it was not accepted, so its tokens no longer
// count for that process. Otherwise the job, which counts itself when it comes again, would not fit beside itself.
func (r *Runner) recordIncomplete(record *work.Job, o *orphan) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if o.lost == "" {
		return
	}
	if key, ok := r.tokensKey(record, r.findRoute(record)); ok {
		r.cluster.RecordTakeover(o.lost, key, record.Tokens, r.now())
		r.logger.Info("job of a lost process found without its items", "job", record.ID, "incarnation", o.lost, "tokens", record.Tokens)
	}
	// The takeover, if the job is completed, must not subtract them again.
	o.lost = ""
}

// removeEnded removes a job that has no holder, was ended by its caller and is no longer readable; it reports whether it did.
func (r *Runner) removeEnded(ctx context.Context, record *work.Job) (bool, error) {
	if !r.expired(record, r.now()) {
		return false, nil
	}
	ended, err := r.log.Ended(ctx, record.ID)
	if err == nil && ended {
		r.removeOld(ctx, record)
	}

	return ended, err
}
