package isolation

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// checkAfter is how long an instance that the others do not expect is isolated before it may conclude that it is the only one left.
	checkAfter = 30 * time.Second
	// unexpectedAnswerTime is how long the others have to answer a question in the store if they do not expect this instance. They look for
	// questions at intervals whose length and duration it covers.
	unexpectedAnswerTime = 40 * time.Second
	// answerTime is the same if they expect this instance, so that they miss it and look for questions at shorter intervals. Together with
	// the time until an instance is isolated it is longer than a single silent instance is assumed to be alive, so that those who hear this
	// one again expect a takeover.
	answerTime = 9 * time.Second
	// interval is the time between two looks, firstInterval the same while a question is younger than answerTime.
	interval      = 5 * time.Second
	firstInterval = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 3 * time.Second
	// maxCalls bounds the concurrent calls of a look.
	maxCalls = 64
)

type cluster interface {
	IsolatedSince() (time.Time, bool)
	PeerAddresses() []netip.AddrPort
	ForgetPeers(at time.Time)
}

type peers interface {
	// Reachable reports whether a process accepts calls at an address.
	Reachable(ctx context.Context, a netip.AddrPort) bool
}

// questions are asked in the store, where all instances that reach it look for them.
type questions interface {
	Ask(ctx context.Context) error
	// Answered reports whether another instance has answered since Ask; a failure says nothing.
	Answered(ctx context.Context) (bool, error)
	// OthersSeen reports whether another instance has written to the store since Ask; a failure says nothing.
	OthersSeen(ctx context.Context) (bool, error)
	// Expected reports whether others that are alive would miss this instance, and look for its questions at short intervals.
	Expected() bool
}

// Checker ends the isolation of an instance that is the only one left. As long as any other one accepts connections or answers in the
// store, the instance stays isolated, since that one may still run its jobs.
type Checker struct {
	cluster   cluster
	peers     peers
	questions questions
	now       func() time.Time
	log       *slog.Logger
	// since is when the isolation that was last looked at began, zero for none.
	since time.Time
	// askedAt is when the open question was put into the store, zero if there is none.
	askedAt time.Time
	// lookAt is when the next look is due.
	lookAt time.Time
}

// New returns a checker; Run starts it.
func New(c cluster, p peers, q questions, now func() time.Time, log *slog.Logger) *Checker {
	return &Checker{
		cluster:   c,
		peers:     p,
		questions: q,
		now:       now,
		log:       log,
	}
}

// Run checks at intervals until ctx ends.
func (c *Checker) Run(ctx context.Context) {
	t := time.NewTicker(firstInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Checker) check(ctx context.Context) {
	since, isolated := c.cluster.IsolatedSince()
	if !isolated || !since.Equal(c.since) {
		c.askedAt, c.lookAt = time.Time{}, time.Time{}
	}
	c.since = since
	if !isolated || c.now().Before(c.lookAt) {
		return
	}
	c.look(ctx)
	c.lookAt = c.nextLook()
}

// look asks the others, and ends the isolation once it is known that there are none.
func (c *Checker) look(ctx context.Context) {
	if !c.unanswered(ctx) || !c.waited() {
		return
	}
	addresses := c.cluster.PeerAddresses()
	reached := c.reached(ctx, addresses)
	c.log.Warn("other instances looked for", "isolated_since", c.since, "asked_at", c.askedAt, "addresses", len(addresses), "reached", reached,
		"expected", c.questions.Expected())
	// The calls may have taken many seconds.
	if reached || !c.unanswered(ctx) || !c.unseen(ctx) {
		return
	}
	if now, isolated := c.cluster.IsolatedSince(); isolated && now.Equal(c.since) && ctx.Err() == nil {
		c.cluster.ForgetPeers(c.now())
	}
}

// nextLook returns when the next look is due. Without an open question it was answered, or could not be asked.
func (c *Checker) nextLook() time.Time {
	at := c.now()
	if !c.askedAt.IsZero() && at.Sub(c.askedAt) <= answerTime {
		return time.Time{}
	}

	return at.Add(interval)
}

// waited reports whether the others have had the time to answer the open question.
func (c *Checker) waited() bool {
	if c.askedAt.IsZero() {
		return false
	}
	at := c.now()
	if c.questions.Expected() {
		return at.Sub(c.askedAt) >= answerTime
	}

	return at.Sub(c.askedAt) >= unexpectedAnswerTime && at.Sub(c.since) >= checkAfter
}

// unanswered reports whether the question in the store has had no answer yet. Without an open question it asks one.
func (c *Checker) unanswered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.askedAt.IsZero() {
		err := c.questions.Ask(ctx)
		if err == nil {
			c.askedAt = c.now()
		}
		c.log.Info("other instances asked in the store", "failed", err != nil)

		return false
	}
	answered, err := c.questions.Answered(ctx)
	if answered {
		c.log.Info("another instance answered in the store", "asked_at", c.askedAt)
		c.askedAt = time.Time{}
	}

	return err == nil && !answered
}

// unseen reports whether there is no sign of life of another instance in the store since the question. An instance that is isolated itself
// answers no question but asks one.
func (c *Checker) unseen(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	seen, err := c.questions.OthersSeen(ctx)
	if seen {
		c.askedAt = time.Time{}
	}

	return err == nil && !seen
}

// reached reports whether any of the addresses accepts a connection; it makes no further calls once one does.
func (c *Checker) reached(ctx context.Context, addresses []netip.AddrPort) bool {
	var found atomic.Bool
	p := pool.New().WithMaxGoroutines(maxCalls)
	for _, a := range addresses {
		p.Go(func() {
			if !found.Load() && c.peers.Reachable(ctx, a) {
				found.Store(true)
			}
		})
	}
	p.Wait()

	return found.Load()
}
