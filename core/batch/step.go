package batch

import (
	"context"
	"time"

	"tarragonwalk/core/claim"
	"tarragonwalk/core/membership"
	"tarragonwalk/core/slack"
)

// firstItemTime is the assumed time of an item before one was measured.
const firstItemTime = time.Second

// step visits the job that should be served next and reports whether there was one.
func (r *Runner) step(ctx context.Context) bool {
	now := r.now()
	var names []string
	for _, m := range r.members.Live(now) {
		if m.Role == membership.RoleEntry {
			names = append(names, m.Name)
		}
	}
	w := r.pick(now, names, r.slots())
	if w == nil {
		return false
	}
	r.visit(ctx, w)
	r.watcher.Forget(now)

	return true
}

// slots reads the batch slots of each deployment that has an open job.
func (r *Runner) slots() map[string]int {
	slots := make(map[string]int)
	r.mu.Lock()
	for _, w := range r.jobs {
		slots[w.open.Deployment] = 0
	}
	r.mu.Unlock()
	for d := range slots {
		slots[d] = r.dispatcher.BatchSlots(d)
	}

	return slots
}

// pick selects among the jobs that are due, that this instance works on and that have a use: free slots, a possible end
// or a passed deadline.
func (r *Runner) pick(now time.Time, names []string, slots map[string]int) *work {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh(now) {
		return nil
	}
	var ws []*work
	var cs []slack.Candidate
	for id, w := range r.jobs {
		o := w.open
		if w.ended || w.ctx.Err() != nil || now.Before(w.visitAt) {
			continue
		}
		late := !now.Before(o.Deadline)
		if slots[o.Deployment] <= r.running[o.Deployment]+r.unstarted[o.Deployment] && !w.check && !late {
			continue
		}
		if !claim.Among(id, r.name, names, claimants) {
			continue
		}
		per := r.itemTime[o.Deployment]
		if per == 0 {
			per = firstItemTime
		}
		items := w.remaining() * o.Items / o.Chunks
		ws = append(ws, w)
		cs = append(cs, slack.Candidate{
			Job:         id,
			Workspace:   o.Workspace,
			LatestStart: slack.LatestStart(o.Deadline, items, per, slots[o.Deployment]),
			Held:        r.held[o.Workspace],
		})
	}
	if n := slack.Next(cs); n >= 0 {
		return ws[n]
	}

	return nil
}
