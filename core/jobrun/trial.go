package jobrun

import (
	"time"

	"tarragonwalk/core/backend"
)

const (
	// trialPause is the pause after a run in a trial of a quarantined part. It is as long as a trial, so that an item runs once in each.
	trialPause = 2 * time.Second
	// maxTrialItems bounds the items of one trial on its server.
	maxTrialItems = 8
)

// trialRun is a trial of a quarantined part at this instance: all items in it run on one server, which it may cost.
type trialRun struct {
	server backend.Server
	items  int
}

// mayBeginTrial reports whether an item may begin a trial of its part; it needs the lock.
func (r *Runner) mayBeginTrial(c candidate, trials map[string]*trialRun, at time.Time) bool {
	return trials[c.trial] == nil && !at.Before(r.triedUntil[c.trial]) && r.parts.TrialDue(c.item.parts)
}

// beginTrial records that an item begins a trial on a server; it needs the lock.
func (r *Runner) beginTrial(c candidate, trials map[string]*trialRun, s backend.Server, at time.Time) {
	for part, until := range r.triedUntil {
		if !at.Before(until) {
			delete(r.triedUntil, part)
		}
	}
	r.triedUntil[c.trial] = at.Add(trialPause)
	trials[c.trial] = &trialRun{
		server: s,
		items:  1,
	}
	r.recordTrial(c, s)
}

// joinTrial reserves a slot for an item in a trial that another item has begun, false if it cannot take part; it needs the lock.
func (r *Runner) joinTrial(c candidate, trials map[string]*trialRun) (s backend.Server, release func(), ok bool) {
	t := trials[c.trial]
	if c.trial == "" || t == nil || t.items >= maxTrialItems || !r.parts.TrialDue(c.item.parts) {
		return backend.Server{}, nil, false
	}
	t.items++
	r.recordTrial(c, t.server)

	return t.server, r.placer.BatchOn(t.server), true
}

func (r *Runner) recordTrial(c candidate, s backend.Server) {
	r.parts.RecordTrial(c.item.parts)
	r.logger.Info("item tried", "job", c.job.ID, "item", c.item.ID, "part", c.trial, "server", s.ID, "due", c.due, "losses", c.item.losses)
}
