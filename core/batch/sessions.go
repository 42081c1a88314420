package batch

import (
	"context"
	"net/url"
	"strings"
	"time"

	"tarragonwalk/core/claim"
	"tarragonwalk/core/job"
)

const (
	// sessionLists bounds the listings of sessions by the whole fleet per second: 1% of 2,000 reads.
	sessionLists = 20
	// visitsPerSecond bounds the visits of jobs without free chunks by the whole fleet; a visit makes two listings.
	visitsPerSecond = 25
)

// sessionSeen is when the version of a holder's session was last seen to change.
type sessionSeen struct {
	version   int
	changedAt time.Time
	renewed   bool
}

// visitPause returns the longest time between two visits of a job without free chunks. It grows with the open jobs, so
// that the visits of all claimants do not; lost holders are found by their sessions meanwhile.
func visitPause(jobs int) time.Duration {
	return max(visitLimit, time.Duration(jobs)*claimants*time.Second/visitsPerSecond)
}

// watchSessions lists the sessions of all instances with one call, if jobs without free chunks wait for holders, and
// makes the jobs due whose holder has no session or has not renewed it. It is called by the main loop only.
func (r *Runner) watchSessions(ctx context.Context, now time.Time, live int) {
	if now.Before(r.listAt) || !r.waiting() {
		return
	}
	r.listAt = now.Add(max(claim.Renewal, time.Duration(live)*time.Second/sessionLists))
	found := make(map[string]sessionSeen)
	after := ""
	for {
		entries, _, err := r.objects.List(ctx, job.SessionsPrefix, after, pageLimit)
		if err != nil {
			// A time without answers must not count as a time without renewals.
			clear(r.sessions)

			return
		}
		for _, e := range entries {
			name, err := url.PathUnescape(strings.TrimPrefix(e.Key, job.SessionsPrefix))
			if err != nil {
				continue
			}
			s, ok := r.sessions[name]
			if !ok || s.version != e.Version {
				s = sessionSeen{
					version:   e.Version,
					changedAt: now,
					renewed:   ok,
				}
			}
			found[name] = s
		}
		if len(entries) < pageLimit {
			break
		}
		after = entries[len(entries)-1].Key
	}
	r.sessions = found
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.jobs {
		for n, c := range w.claims {
			s, ok := r.sessions[c.claim.Holder]
			gone := !ok || now.Sub(s.changedAt) >= claim.Expiry
			if w.chunks[n] == stateTaken && gone && w.visitAt.After(now.Add(visitTime)) {
				w.visitAt = now
				w.pause = visitTime
			}
		}
	}
}

// waiting reports whether a job has claims of other holders.
func (r *Runner) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.jobs {
		if len(w.claims) > 0 {
			return true
		}
	}

	return false
}

// renewing reports whether a claim's holder renews its session, so that the claim needs no look at it. A claim that was
// met at several visits is looked at, as its holder may have restarted.
func (r *Runner) renewing(c claimSeen, now time.Time) bool {
	s, ok := r.sessions[c.claim.Holder]

	return ok && s.renewed && c.visits < 2 && now.Sub(s.changedAt) < claim.Expiry
}
