package batch

import (
	"context"
	"slices"
	"time"

	"tarragonwalk/core/job"
)

// state is what the runner knows about a chunk.
type state int

const (
	stateFree state = iota
	// stateTaken is a chunk that another runner has claimed, or this one without holding it, as after a lost answer.
	stateTaken
	stateHeld
	stateDone
)

const (
	// minPollInterval is the shortest time between two polls of a job without free chunks, maxPollInterval the longest with
	// few open jobs.
	minPollInterval = 5 * time.Second
	maxPollInterval = 20 * time.Second
	// handoverPollInterval is the time between two polls of a job with a claim that its holder will give up, for at most
	// maxHandoverPolls of a claim, so that a holder that keeps it costs no more than others.
	handoverPollInterval = time.Second
	maxHandoverPolls     = 6
	// recordTime is the pause before a job without a record is polled again: its submission may be in progress.
	recordTime = time.Second
)

// knownJob is an open job as the runner knows it. The runner's mu guards the fields that change, except file and loaded: only the
// main loop writes these.
type knownJob struct {
	open job.OpenJob
	// ctx ends when the job is canceled or leaves the index.
	ctx  context.Context
	stop context.CancelFunc

	file   job.File
	loaded bool
	ended  bool
	chunks []state
	// versions are the versions of claims in the last listing, claims the claims that were read. Both are by chunk.
	versions map[int]int64
	claims   map[int]knownClaim
	// isClaimant is whether this instance is a claimant of the job; it holds for the capacity whose digest is claimantDigest.
	isClaimant     bool
	claimantDigest uint64
	// owners are the instances that may work on the job; it is used by the main loop only.
	owners []string
	// check is set if the job may be finished and has to be polled even without free batch slots.
	check  bool
	pollAt time.Time
	pause  time.Duration
}

// knownClaim is a claim as it was read, and the number of polls since then that found it unchanged.
type knownClaim struct {
	version int64
	polls   int
	claim   job.Claim
}

func newKnownJob(o job.OpenJob) *knownJob {
	ctx, stop := context.WithCancel(context.Background())

	return &knownJob{
		open:     o,
		ctx:      ctx,
		stop:     stop,
		chunks:   make([]state, o.Chunks),
		versions: make(map[int]int64),
		claims:   make(map[int]knownClaim),
		pause:    minPollInterval,
	}
}

// onStop calls f when the job is stopped, unless the returned function is called before.
func (w *knownJob) onStop(f func()) func() bool {
	return context.AfterFunc(w.ctx, f)
}

// next returns the first chunk in the state at or after offset, cyclically, or -1.
func (w *knownJob) next(s state, offset int) int {
	for i := range w.chunks {
		n := (offset + i) % len(w.chunks)
		if w.chunks[n] == s {
			return n
		}
	}

	return -1
}

// remaining counts the chunks that are not done.
func (w *knownJob) remaining() int {
	n := 0
	for _, s := range w.chunks {
		if s != stateDone {
			n++
		}
	}

	return n
}

// delay postpones the next poll, for twice as long each time up to limit.
func (w *knownJob) delay(now time.Time, limit time.Duration) {
	w.pollAt = now.Add(w.pause)
	w.pause = min(2*w.pause, limit)
}

// awaitsHandover reports whether a chunk in the list is claimed by an instance that may no longer work on the job and has been
// polled only a few times since the claim was read.
func (w *knownJob) awaitsHandover(taken []int) bool {
	for _, n := range taken {
		c, ok := w.claims[n]
		if ok && c.polls < maxHandoverPolls && !slices.Contains(w.owners, c.claim.Holder) {
			return true
		}
	}

	return false
}

// recordListed records the entry of a chunk's claim or result in a listing.
func (w *knownJob) recordListed(n int, s state, version int64) {
	if s == stateTaken {
		w.versions[n] = version
	}
	if w.chunks[n] != stateTaken {
		delete(w.claims, n)
	}
}
