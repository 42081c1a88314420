package batch

import (
	"context"
	"time"

	"tarragonwalk/core/job"
)

// state is what the runner knows about a chunk.
type state int

const (
	stateFree state = iota
	// stateTaken is a chunk with a claim of another runner, or of this one from before a lost answer.
	stateTaken
	stateHeld
	stateDone
)

const (
	// visitTime is the shortest time between two listings of a job without free chunks, visitLimit the longest.
	visitTime  = 5 * time.Second
	visitLimit = 20 * time.Second
	// recordTime is the pause before a job without a record is looked at again: its submission may be under way.
	recordTime = time.Second
)

// work is an open job as the runner knows it. The runner's mu protects chunks, done and visit fields; the main loop
// alone uses file.
type work struct {
	open job.OpenJob
	// ctx ends when the job is canceled or leaves the index.
	ctx  context.Context
	stop context.CancelFunc

	file   job.File
	loaded bool
	ended  bool
	chunks []state
	// check asks for a visit even without free batch slots, as the job may be finished.
	check   bool
	visitAt time.Time
	pause   time.Duration
}

func newWork(o job.OpenJob) *work {
	ctx, stop := context.WithCancel(context.Background())

	return &work{
		open:   o,
		ctx:    ctx,
		stop:   stop,
		chunks: make([]state, o.Chunks),
		pause:  visitTime,
	}
}

// onStop calls f when the job is stopped, unless the returned function is called before.
func (w *work) onStop(f func()) func() bool {
	return context.AfterFunc(w.ctx, f)
}

// next returns the first chunk in the state at or after offset, cyclically, or -1.
func (w *work) next(s state, offset int) int {
	for i := range w.chunks {
		n := (offset + i) % len(w.chunks)
		if w.chunks[n] == s {
			return n
		}
	}

	return -1
}

// remaining counts the chunks that are not done.
func (w *work) remaining() int {
	n := 0
	for _, s := range w.chunks {
		if s != stateDone {
			n++
		}
	}

	return n
}

// delay postpones the next visit, for longer each time.
func (w *work) delay(now time.Time) {
	w.visitAt = now.Add(w.pause)
	w.pause = min(2*w.pause, visitLimit)
}
