package addresses

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
)

const (
	// rejoinPause is the time between two reads of the addresses in the store. Addresses that do not answer are dropped, so after a
	// long network partition regions find each other again only through the seeds and the store.
	rejoinPause = 30 * time.Second
	// retryPause is the time between two attempts after a failure.
	retryPause = time.Second
	// settleTime is how long an instance has to be the watcher of its zone before it looks for questions out of turn. Within it, one that
	// hears nobody is isolated, and one that hears the others again has heard from the watcher.
	settleTime = 2 * time.Second
	// maxAnswers bounds the concurrent answers.
	maxAnswers = 8
	// attemptTimeout bounds an attempt.
	attemptTimeout = 10 * time.Second
)

type store interface {
	Create(ctx context.Context, kind, name string, value any) (int64, error)
	Read(ctx context.Context, kind, name string, value any) (int64, error)
	Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error)
	List(ctx context.Context, kind string, each func(name string, value json.RawMessage, revision int64)) error
}

type cluster interface {
	Self() gossip.Member
	Introduce(addresses []netip.AddrPort, at time.Time)
	Expect(others int)
}

// fleet is what the other tasks of the instance know and do.
type fleet interface {
	// Watching reports whether this instance watches the store for its zone.
	Watching() bool
	// NoteFleetSize is called with the number of listed instances.
	NoteFleetSize(listed int)
	// IntroduceSeeds passes the seed addresses to the cluster.
	IntroduceSeeds()
}

type record struct {
	Peer netip.AddrPort
	// Question is set by an instance that hears from no other one. The first one that reads it removes it, as an answer.
	Question string `json:",omitempty"`
}

// openQuestion is a question of another instance, and the revision of the object that contains it.
type openQuestion struct {
	name     string
	record   record
	revision int64
}

// Exchanger keeps the address of an instance in the store and reads those of the others. It is safe for concurrent use.
type Exchanger struct {
	store   store
	kind    string
	cluster cluster
	fleet   fleet
	log     *slog.Logger
	// question is what this instance has asked the others, nil without one.
	question atomic.Pointer[string]
}

// New returns an exchanger whose objects are of a kind of their own; Run starts it.
func New(s store, kind string, c cluster, f fleet, log *slog.Logger) *Exchanger {
	return &Exchanger{
		store:   s,
		kind:    kind,
		cluster: c,
		fleet:   f,
		log:     log,
	}
}

// Run writes this instance's address to the store and reads the addresses of the others. After that, the watching instances read the
// addresses once per rejoinPause, and soon after they have become watchers: the one before may have failed right before its turn, and
// questions have to be answered within a known time. The role is checked at each tick.
func (x *Exchanger) Run(ctx context.Context, ticks <-chan time.Time) {
	announced, answering := false, false
	var turnAt, wakeAt time.Time
	for {
		at := time.Now()
		if mayAnswer := x.mayAnswer(); mayAnswer != answering {
			answering, wakeAt = mayAnswer, at.Add(settleTime)
		}
		woken := answering && !wakeAt.IsZero() && !at.Before(wakeAt)
		if woken || !at.Before(turnAt) {
			x.fleet.IntroduceSeeds()
			turnAt = at.Add(rejoinPause)
			if answering {
				wakeAt = time.Time{}
			}
			if !x.take(ctx, &announced) {
				turnAt = time.Now().Add(retryPause)
			}
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

// take exchanges addresses if this instance has to and reports whether nothing failed.
func (x *Exchanger) take(ctx context.Context, announced *bool) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var err error
	switch {
	case !*announced:
		err = x.join(ctx)
		*announced = err == nil
	case x.fleet.Watching():
		_, err = x.Read(ctx)
	}
	if err != nil {
		x.log.Warn("cannot exchange instance addresses through the store", "announced", *announced, "error", err.Error())
	}

	return err == nil
}

// mayAnswer reports whether this instance answers questions.
func (x *Exchanger) mayAnswer() bool {
	return x.fleet.Watching()
}

// join reads the addresses of the other instances from the store and writes this instance's address there. It answers no questions,
// since all instances may start at the same time.
func (x *Exchanger) join(ctx context.Context) error {
	listed, _, err := x.list(ctx)
	x.fleet.NoteFleetSize(listed)
	if err != nil {
		return err
	}
	created, err := x.announce(ctx)
	if err != nil || !created {
		return err
	}
	// Instances that started at the same time may have written their addresses since the first read.
	_, _, err = x.list(ctx)

	return err
}

// Read passes the addresses in the store to the cluster and returns their number. If this instance watches the store, it answers the
// questions that it finds; a failed answer is a failure, so that it is tried again soon.
func (x *Exchanger) Read(ctx context.Context) (listed int, err error) {
	listed, open, err := x.list(ctx)
	if err != nil || !x.mayAnswer() {
		return listed, err
	}
	answers := pool.New().WithErrors().WithMaxGoroutines(maxAnswers)
	for _, q := range open {
		answers.Go(func() error { return x.answer(ctx, q) })
	}

	return listed, answers.Wait() //nolint:wrapcheck // the failures of answer
}

// list passes the addresses in the store to the cluster and returns their number and the questions of others.
func (x *Exchanger) list(ctx context.Context) (listed int, open []openQuestion, err error) {
	self := x.cluster.Self().Name
	others := 0
	err = x.store.List(ctx, x.kind, func(name string, value json.RawMessage, revision int64) {
		var r record
		if json.Unmarshal(value, &r) != nil {
			return
		}
		listed++
		x.cluster.Introduce([]netip.AddrPort{r.Peer}, time.Now())
		if name == self || !r.Peer.IsValid() {
			return
		}
		others++
		if r.Question != "" {
			open = append(open, openQuestion{
				name:     name,
				record:   r,
				revision: revision,
			})
		}
	})
	x.cluster.Expect(others)

	return listed, open, err
}

// answer removes a question. A conflict, of another answer or of a later question, ends in the next list of questions.
func (x *Exchanger) answer(ctx context.Context, q openQuestion) error {
	answer := q.record
	answer.Question = ""
	_, err := x.store.Replace(ctx, x.kind, q.name, answer, q.revision)
	x.log.Info("question of an isolated instance answered", "peer", q.name, "revision", q.revision, "error", fault.CodeOf(err))
	if fault.CodeOf(err) == fault.CodeNotFound {
		return nil
	}

	return err
}

// announce writes this instance's address to the store, with its question if it has one, and reports whether the object is new.
func (x *Exchanger) announce(ctx context.Context) (created bool, err error) {
	self := x.cluster.Self()
	own := record{
		Peer: self.Peer,
	}
	if q := x.question.Load(); q != nil {
		own.Question = *q
	}
	var found record
	revision, err := x.store.Read(ctx, x.kind, self.Name, &found)
	switch {
	case err == nil && found != own:
		_, err = x.store.Replace(ctx, x.kind, self.Name, own, revision)
	case err != nil:
		_, err = x.store.Create(ctx, x.kind, self.Name, own)
		created = err == nil
	}

	return created, err
}

// Ask asks the other instances in the store whether any of them is alive.
func (x *Exchanger) Ask(ctx context.Context) error {
	question := uuid.NewString()
	x.question.Store(&question)
	_, err := x.announce(ctx)

	return err
}

// Answered reports whether another instance has removed the question from the store. A question that was lost with its object counts
// as answered, so that it is asked again.
func (x *Exchanger) Answered(ctx context.Context) (bool, error) {
	var found record
	_, err := x.store.Read(ctx, x.kind, x.cluster.Self().Name, &found)
	if err != nil && fault.CodeOf(err) != fault.CodeNotFound {
		return false, err
	}
	if question := x.question.Load(); question != nil && found.Question == *question {
		return false, nil
	}
	x.question.Store(nil)

	return true, nil
}
