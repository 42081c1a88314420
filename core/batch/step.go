package batch

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"tarragonwalk/core/claim"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/slack"
)

// defaultItemTime is the assumed duration of an item until one has ended.
const defaultItemTime = time.Second

// step polls the job that is to be served next and reports whether there was one.
func (r *Runner) step(ctx context.Context) bool {
	now := r.now()
	r.mu.Lock()
	fresh := r.fresh(now)
	r.mu.Unlock()
	if !fresh {
		r.tracker.Reset()
		clear(r.sessions)

		return false
	}
	all, live := r.capacities(now)
	r.checkSessions(ctx, now, live)
	w, mayClaim := r.pick(now, all)
	if w == nil {
		return false
	}
	r.poll(ctx, w, mayClaim)
	r.tracker.Forget(now)

	return true
}

// capacity is the batch capacity of a deployment with open jobs, as the dispatcher reports it.
type capacity struct {
	jobs  int
	slots int
	// names are the instances that may work on its jobs: its batch owners, or all live ones if it has none.
	names []string
	// claimants is how many of them work on each job; digest changes with names and claimants.
	claimants int
	digest    uint64
}

// capacities returns the capacity of each deployment that has an open job, and the number of live entry instances.
func (r *Runner) capacities(now time.Time) (all map[string]capacity, count int) {
	all = make(map[string]capacity)
	r.mu.Lock()
	for _, w := range r.jobs {
		c := all[w.open.Deployment]
		c.jobs++
		all[w.open.Deployment] = c
	}
	r.mu.Unlock()
	var live []string
	for _, m := range r.members.Live(now) {
		if m.Role == membership.RoleEntry {
			live = append(live, m.Name)
		}
	}
	for d, c := range all {
		c.slots = r.dispatcher.BatchSlots(d)
		c.names = r.dispatcher.BatchOwners(d)
		if len(c.names) == 0 {
			c.names = live
		}
		c.claimants = max(claimantsPerJob, claimantsPerJob*len(c.names)/max(1, c.jobs))
		h := fnv.New64a()
		h.Write([]byte(strconv.Itoa(c.claimants)))
		for _, n := range c.names {
			h.Write([]byte("\x00" + n))
		}
		c.digest = h.Sum64()
		all[d] = c
	}

	return all, len(live)
}

// pick selects the job to poll next, among those that are due and that this instance is a claimant of. A chunk of a job may be
// claimed if the held chunks do not fill the batch slots or if the deadline has passed; a job of which none may be claimed is
// polled only if it may be finished. pick reports whether a chunk may be claimed.
func (r *Runner) pick(now time.Time, all map[string]capacity) (*knownJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ws []*knownJob
	var cs []slack.Candidate
	mayClaim := make(map[*knownJob]bool)
	for id, w := range r.jobs {
		o := w.open
		if w.ended || w.ctx.Err() != nil || now.Before(w.pollAt) {
			continue
		}
		c := all[o.Deployment]
		// One more chunk is claimed once all items of the held chunks run.
		free := c.slots > 0 && r.unfinished[o.Deployment] <= c.slots
		if !now.Before(o.Deadline) {
			free = r.heldTotal < maxExpiringChunks
		}
		if !free && !w.check {
			continue
		}
		// Ranking 420 names for each of 1,400 jobs at each step would exceed the processor budget of an instance.
		if w.claimantDigest != c.digest {
			w.claimantDigest, w.isClaimant = c.digest, claim.IsClaimant(id, r.name, c.names, c.claimants)
		}
		if !w.isClaimant {
			continue
		}
		mayClaim[w] = free
		w.owners = c.names
		perItem := r.itemTime[o.Deployment]
		if perItem == 0 {
			perItem = defaultItemTime
		}
		items := w.remaining() * o.Items / o.Chunks
		ws = append(ws, w)
		cs = append(cs, slack.Candidate{
			Job:         id,
			Workspace:   o.Workspace,
			LatestStart: slack.LatestStart(o.Deadline, items, perItem, c.slots),
			Held:        r.held[o.Workspace],
			LastTurn:    r.lastTurn[o.Workspace],
		})
	}
	if n := slack.Next(cs); n >= 0 {
		return ws[n], mayClaim[ws[n]]
	}

	return nil, false
}
