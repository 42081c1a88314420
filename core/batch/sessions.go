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
	// sessionLists bounds the listings of sessions by the whole fleet per second: 1% of the store's 2,000 reads.
	sessionLists = 20
	// visitsPerSecond bounds the polls of jobs without free chunks by the whole fleet; a poll makes two listings.
	visitsPerSecond = 25
)

// sessionSeen is the last listed version of an instance's session and when it changed; renewed is set once a change was seen.
type sessionSeen struct {
	version   int
	changedAt time.Time
	renewed   bool
}

// visitPause returns the longest time between two polls of a job without free chunks. It grows with the number of open jobs, so
// that the fleet's rate of polls stays constant. Lost holders are found sooner, by the listings of sessions.
func visitPause(jobs int) time.Duration {
	return max(visitLimit, time.Duration(jobs)*claimants*time.Second/visitsPerSecond)
}

// watchSessions lists the sessions of all instances if a job has claims of other holders. Jobs with a claim whose holder has no
// session, or has not renewed it for claim.Expiry, are polled at once. It is called by the main loop only.
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
			// Holders may have renewed their sessions while the store did not answer this instance.
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

// renewing reports whether a claim's holder renews its session, so that the claim need not be checked further. A claim that
// several polls have found is checked even then, since its holder may have restarted.
func (r *Runner) renewing(c claimSeen, now time.Time) bool {
	s, ok := r.sessions[c.claim.Holder]

	return ok && s.renewed && c.visits < 2 && now.Sub(s.changedAt) < claim.Expiry
}
