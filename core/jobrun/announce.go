package jobrun

import (
	"slices"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// announcementTTL is how long a job that was accepted, taken over, ended or released is announced to other instances.
	announcementTTL = 4 * time.Second
	// maxAnnounced is the largest number of jobs in each list of a heartbeat. After the loss of all processes hundreds of jobs
	// have no holder; with all of them in each heartbeat, heartbeats alone fill the links between regions.
	maxAnnounced = 32
)

// StopEnded stops a job whose end this instance has learned from the caller or the store, and announces the end.
func (r *Runner) StopEnded(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if _, known := r.ended[id]; !known {
		r.ended[id] = r.now().Add(announcementTTL)
	}
	r.stopJob(id)
}

// ObserveEnd stops a job that another instance announces as ended. It does not announce the end again: instances would repeat
// it to each other forever.
func (r *Runner) ObserveEnd(id string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.peerEnds[id] = r.now().Add(announcementTTL)
	r.stopJob(id)
}

// stopJob marks a job as ended and cancels its running items; it needs the lock.
func (r *Runner) stopJob(id string) {
	delete(r.completed, id)
	j := r.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	n := j.stopItems(errEnded)
	j.notify()
	r.logger.Info("job ended", "job", id, "listed", len(j.results), "items", j.Items, "stopped", n)
}

// FillHeartbeat fills in the parts of a heartbeat that concern jobs: those that were accepted, taken over, ended or released
// recently, the waiting tokens, with those of jobs that are being written, and the progress by route, and the number of items that found
// no free slot.
func (r *Runner) FillHeartbeat(b *gossip.Heartbeat) {
	r.lock.Lock()
	defer r.lock.Unlock()
	at := r.now()
	b.Waiting = r.waitingTokens("")
	b.Progress = r.progress(at)
	r.heartbeats++
	b.Refused = r.announcedRefusals(at)
	b.TakenOver = someOf(r.cluster.Takeovers(at), r.heartbeats)
	b.Held = someOf(dropExpired(r.held, at), r.heartbeats)
	b.Claimed = someOf(dropExpired(r.claimed, at), r.heartbeats)
	b.Ended = someOf(dropExpired(r.ended, at), r.heartbeats)
	b.Released = someOf(dropExpired(r.released, at), r.heartbeats)
	b.Queued, b.QueuedLate = r.queued, r.queuedLate
	dropExpired(r.peerEnds, at)
}

// ObserveHolder records that another instance announces a job as its own: reads of the job go there, and no takeover is needed. If
// this instance holds the job, it may have been counted as gone and replaced without noticing, since messages were lost in one
// direction only; it then asks the store.
func (r *Runner) ObserveHolder(id, holder, incarnation string) {
	r.reader.SetHolder(id, holder, incarnation)
	r.lock.Lock()
	delete(r.completed, id)
	r.lock.Unlock()
	r.ObserveClaim(id, holder, incarnation)
}

// ObserveClaim records that another instance is the holder of a job in its record and is about to read the job. It is no proof that the
// job was accepted.
func (r *Runner) ObserveClaim(id, holder, incarnation string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.released, id)
	if o := r.orphans[id]; o != nil {
		o.dismiss(r.now())
	}
	if j := r.jobs[id]; j != nil && j.doubtedBy == "" && (j.previous != incarnation || r.now().After(j.previousUntil)) {
		j.doubtedBy = incarnation
		j.doubts++
		r.logger.Warn("another instance announces a job that this one holds", "job", id, "holder", holder, "incarnation", incarnation)
		r.signal()
	}
}

// hold adds a job to those that this instance runs; it needs the lock.
func (r *Runner) hold(id string, j *job) {
	r.jobs[id] = j
	_, ended := r.ended[id]
	_, endedByPeer := r.peerEnds[id]
	j.ended = j.ended || ended || endedByPeer
	if j.heldAt.IsZero() {
		j.heldAt = r.now()
	}
	delete(r.released, id)
	delete(r.claimed, id)
	delete(r.completed, id)
	r.held[id] = r.now().Add(announcementTTL)
}

// someOf returns at most maxAnnounced entries of a list; successive rounds step through the whole list.
func someOf[T any](list []T, round int) []T {
	if len(list) <= maxAnnounced {
		return list
	}
	some := make([]T, 0, maxAnnounced)
	for n := range maxAnnounced {
		some = append(some, list[(round*maxAnnounced+n)%len(list)])
	}

	return some
}

// dropExpired removes the entries that have expired and returns the keys of the others in order.
func dropExpired(m map[string]time.Time, at time.Time) []string {
	var list []string
	for id, until := range m {
		if at.After(until) {
			delete(m, id)
		} else {
			list = append(list, id)
		}
	}
	slices.Sort(list)

	return list
}
