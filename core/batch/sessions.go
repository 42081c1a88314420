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
	// maxSessionListings bounds the listings of sessions by the whole fleet per second: 1% of the store's 2,000 reads.
	maxSessionListings = 20
	// maxPollsPerSecond bounds the polls of jobs without free chunks by the whole fleet; a poll makes two listings.
	maxPollsPerSecond = 25
)

// sessionState is the last listed version of an instance's session and when it changed; renewed is set once a change was seen.
type sessionState struct {
	version   int
	changedAt time.Time
	renewed   bool
}

// pollIntervalLimit returns the longest time between two polls of a job without free chunks. It grows with the number of open
// jobs, so that the fleet's rate of polls stays constant. Lost holders are found sooner, by the listings of sessions.
func pollIntervalLimit(jobs int) time.Duration {
	return max(maxPollInterval, time.Duration(jobs)*claimantsPerJob*time.Second/maxPollsPerSecond)
}

// checkSessions lists the sessions of all instances if a job has claims of other holders. Jobs with a claim whose holder has no
// session, or has not renewed it for claim.Expiry, are polled at once. It is called by the main loop only.
func (r *Runner) checkSessions(ctx context.Context, now time.Time, live int) {
	if now.Before(r.listAt) || !r.hasForeignClaims() {
		return
	}
	r.listAt = now.Add(max(claim.Renewal, time.Duration(live)*time.Second/maxSessionListings))
	found := make(map[string]sessionState)
	after := ""
	for {
		entries, _, err := r.objects.List(ctx, job.SessionsPrefix, after, pageLimit)
		if err != nil {
			// The observations are dropped: holders may have renewed their sessions while the store did not answer.
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
				s = sessionState{
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
			if w.chunks[n] == stateTaken && gone && w.pollAt.After(now.Add(minPollInterval)) {
				w.pollAt = now
				w.pause = minPollInterval
			}
		}
	}
}

// hasForeignClaims reports whether a job has claims of other holders.
func (r *Runner) hasForeignClaims() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.jobs {
		if len(w.claims) > 0 {
			return true
		}
	}

	return false
}

// holderRenews reports whether a claim's holder renews its session, so that the claim need not be checked further. A claim that
// several polls have found is checked even then, since its holder may have restarted.
func (r *Runner) holderRenews(c knownClaim, now time.Time) bool {
	s, ok := r.sessions[c.claim.Holder]

	return ok && s.renewed && c.polls < 2 && now.Sub(s.changedAt) < claim.Expiry
}
