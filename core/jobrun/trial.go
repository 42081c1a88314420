package jobrun

import (
	"maps"
	"slices"
	"time"

	"tarragonwalk/core/backend"
)

const (
	// trialPause is the pause after a run in a trial of a quarantined part. It is as long as a trial, so that an item runs once in each.
	trialPause = 2 * time.Second
	// maxTrialItems bounds the items of one trial on its server.
	maxTrialItems = 8
)

// trialKey names a trial: a quarantined part, or combination of parts, and a service.
type trialKey struct {
	part    string
	service string
}

// trialRun is a trial of a quarantined part at this instance: all items in it run on one server, which it may cost.
type trialRun struct {
	server  backend.Server
	items   int
	beganAt time.Time
	// running is how many of the items run, and reached is set if the server has accepted one of them.
	running int
	reached bool
}

// trialItem is the part of an item in a trial; withdraw takes it out of the count.
type trialItem struct {
	run      *trialRun
	withdraw func()
}

// trialOf returns the trial of an item's part that is in progress at a service of the item's route, nil if there is none; it needs the lock.
// A trial whose server refused all items has shown nothing and is none.
func (r *Runner) trialOf(c candidate, at time.Time) *trialRun {
	for _, s := range c.route.Shares {
		t := r.trials[trialKey{
			part:    c.trial,
			service: s.Service,
		}]
		if t != nil && s.Weight > 0 && at.Before(t.beganAt.Add(trialPause)) && (t.running > 0 || t.reached) {
			return t
		}
	}

	return nil
}

// rotateTrials lets the items that may run in a trial of a part change places, so that those whose last run is longest ago come first. With
// the order of their deadlines a trial that has no room for all of them would run the same ones each time.
func rotateTrials(list []candidate) {
	type group struct {
		part string
		late bool
	}
	places := map[group][]int{}
	for n, c := range list {
		if c.trial != "" {
			g := group{
				part: c.trial,
				late: c.late,
			}
			places[g] = append(places[g], n)
		}
	}
	for _, at := range places {
		members := make([]candidate, 0, len(at))
		for _, n := range at {
			members = append(members, list[n])
		}
		slices.SortStableFunc(members, func(a, b candidate) int { return a.item.startedAt.Compare(b.item.startedAt) })
		for i, n := range at {
			list[n] = members[i]
		}
	}
}

// mayBeginTrial reports whether an item may begin a trial of its part; it needs the lock.
func (r *Runner) mayBeginTrial(c candidate, at time.Time) bool {
	return r.trialOf(c, at) == nil && r.parts.TrialDue(c.item.parts)
}

// beginTrial records that an item begins a trial on a server of a service; it needs the lock.
func (r *Runner) beginTrial(c candidate, service string, s backend.Server, at time.Time) {
	maps.DeleteFunc(r.trials, func(_ trialKey, t *trialRun) bool { return !at.Before(t.beganAt.Add(trialPause)) })
	t := &trialRun{
		server:  s,
		beganAt: at,
	}
	r.trials[trialKey{
		part:    c.trial,
		service: service,
	}] = t
	r.addToTrial(c, t)
}

// joinTrial reserves a slot for an item in a trial that another item has begun in the same step, false if it cannot take part; it needs the
// lock.
func (r *Runner) joinTrial(c candidate, at time.Time) (s backend.Server, release func(), ok bool) {
	if c.trial == "" {
		return backend.Server{}, nil, false
	}
	t := r.trialOf(c, at)
	if t == nil || !t.beganAt.Equal(at) || t.items >= maxTrialItems || !r.parts.TrialDue(c.item.parts) {
		return backend.Server{}, nil, false
	}
	r.addToTrial(c, t)

	return t.server, r.placer.BatchOn(t.server), true
}

// addToTrial records that an item runs in a trial; it needs the lock.
func (r *Runner) addToTrial(c candidate, t *trialRun) {
	t.items++
	t.running++
	c.item.trial = &trialItem{
		run:      t,
		withdraw: r.parts.RecordTrial(c.item.parts),
	}
	r.logger.Info("item tried", "job", c.job.ID, "item", c.item.ID, "part", c.trial, "server", t.server.ID, "due", c.due,
		"losses", c.item.losses)
}

// endTrial records that the run of an item has ended, in a trial or not, and reports whether it took part in one. A run that the server
// refused does not count. It needs the lock.
func (*Runner) endTrial(it *item, refused bool) (tried bool) {
	t := it.trial
	it.trial = nil
	if t == nil {
		return false
	}
	t.run.running--
	if refused {
		t.withdraw()

		return false
	}
	t.run.reached = true

	return true
}
