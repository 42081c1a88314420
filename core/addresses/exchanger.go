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
	"tarragonwalk/core/purpose"
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
	// renewalPause is the least time between two renewals of a question. Together with the time between two looks of an isolated instance it is
	// shorter than answerTime, so that another one, which compares revisions at the end of that time, sees a renewal.
	renewalPause = 7 * time.Second
	// attemptTimeout bounds an attempt.
	attemptTimeout = 10 * time.Second
)

var errLeft = fault.New(fault.CodeUnavailable, "this instance has left")

type store interface {
	Create(ctx context.Context, kind, name string, value any) (int64, error)
	Read(ctx context.Context, kind, name string, value any) (int64, error)
	Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error)
	Delete(ctx context.Context, kind, name string) error
	List(ctx context.Context, kind string, each func(name string, value json.RawMessage, revision int64)) error
}

type cluster interface {
	Self() gossip.Member
	Introduce(addresses []netip.AddrPort, at time.Time)
	Expect(others []string)
	Isolated() bool
	Hears(name string) bool
	Unconfirmed() map[string]time.Time
	ConfirmLost(name string, forgottenAt time.Time)
	Missing() []string
	Sought() bool
	Unheard() bool
	MetMost() bool
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
	// Renewals grows while the question is open, which raises the revision of the object.
	Renewals int `json:",omitempty"`
	// Doubted is set by instances that have forgotten this one. It is removed by this one, or by a watcher that hears it.
	Doubted bool `json:",omitempty"`
}

// listedRecord is the object of an instance as listed, zero if there is none.
type listedRecord struct {
	record   record
	revision int64
}

// listing is what the store lists.
type listing struct {
	records map[string]listedRecord
	// self is the name of this instance.
	self string
}

// Exchanger keeps the address of an instance in the store and reads those of the others. It is safe for concurrent use.
type Exchanger struct {
	store   store
	kind    string
	cluster cluster
	fleet   fleet
	log     *slog.Logger
	// own is held, as the only element, while the object of this instance is changed; it guards the fields below.
	own chan struct{}
	// question is what this instance has asked the others, empty without one.
	question string
	renewals int
	// renewedAt is when the question was last written; askedRevision is the revision of its first write.
	renewedAt     time.Time
	askedRevision int64
	// left is set once the instance has left the fleet.
	left bool
	// known is set if the store listed an earlier process of this instance, so that others that are alive miss it.
	known atomic.Bool
	// created is set if this process may have created the object itself; it is used by Run only.
	created bool
	// doubted is set while others may have settled that this instance is lost, and look for its questions no more.
	doubted atomic.Bool
	// losses, absences and ownLookAt, when the next look for a doubt about this instance is due, are used by Run only.
	losses    *losses
	absences  *absences
	ownLookAt time.Time
}

// New returns an exchanger whose objects are of a kind of their own; Run starts it.
func New(s store, kind string, c cluster, f fleet, log *slog.Logger) *Exchanger {
	return &Exchanger{
		store:    s,
		kind:     kind,
		cluster:  c,
		fleet:    f,
		log:      log,
		own:      make(chan struct{}, 1),
		losses:   newLosses(),
		absences: newAbsences(),
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
		if announced {
			x.observeAbsences(time.Now())
			x.confirmLosses(ctx)
			x.answerDoubt(ctx)
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

// mayAnswer reports whether this instance answers questions. An isolated one takes itself for the watcher, as all others may do at the
// same time; the question that it asks itself is its sign of life.
func (x *Exchanger) mayAnswer() bool {
	return x.fleet.Watching() && !x.cluster.Isolated()
}

// join writes this instance's address to the store and then reads those of the other instances there. In this order, the later one of
// two instances that start at the same time finds the other one. It answers no questions, since all instances may start then.
func (x *Exchanger) join(ctx context.Context) error {
	failed := x.create(ctx)
	l, err := x.list(ctx)
	x.fleet.NoteFleetSize(len(l.records))
	x.noteFormer(fault.CodeOf(failed), l.records[l.self])
	switch {
	case err != nil:
		return err
	case fault.CodeOf(failed) != fault.CodeConflict:
		return failed
	case l.records[l.self].record != record{Peer: x.cluster.Self().Peer}:
		// An earlier process of this instance has left another object.
		err = x.announce(ctx)
	}

	return err
}

// noteFormer records, from the outcome of creating the object of this instance, whether an earlier process has left it. A creation without an
// answer may have taken effect.
func (x *Exchanger) noteFormer(created fault.Code, found listedRecord) {
	if created != fault.CodeConflict {
		x.created = true

		return
	}
	x.known.Store(!x.created && found.record.Peer.IsValid())
	if found.record.Doubted {
		x.doubted.Store(true)
	}
}

// Expected reports whether others that are alive would miss this instance, so that they look for its questions at short intervals: the fleet
// knew it, and has not settled that it is lost.
func (x *Exchanger) Expected() bool {
	return !x.doubted.Load() && (x.known.Load() || x.cluster.MetMost())
}

// create writes the object of this instance, which must not exist.
func (x *Exchanger) create(ctx context.Context) error {
	release, err := x.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	if x.left {
		return errLeft
	}
	_, err = x.store.Create(purpose.With(ctx, "address written"), x.kind, x.cluster.Self().Name, x.record())

	return err
}

// Read passes the addresses in the store to the cluster and returns their number. If this instance watches the store, it answers the
// questions that it finds; a failed answer is a failure, so that it is tried again soon.
func (x *Exchanger) Read(ctx context.Context) (listed int, err error) {
	l, err := x.list(ctx)
	if err != nil {
		return len(l.records), err
	}

	return len(l.records), x.answerAll(ctx, l)
}

// answerAll answers the questions in a list, and removes the doubts about instances that are heard, if this instance watches the store. It
// removes a doubt about itself in any case.
func (x *Exchanger) answerAll(ctx context.Context, l listing) error {
	mayAnswer := x.mayAnswer()
	answers := pool.New().WithErrors().WithMaxGoroutines(maxAnswers)
	for name, r := range l.records {
		switch {
		case name == l.self && r.record.Doubted:
			answers.Go(func() error { return x.announce(ctx) })
		case name == l.self || !mayAnswer || !r.record.Peer.IsValid():
		case r.record.Question != "" || r.record.Doubted && x.cluster.Hears(name):
			answers.Go(func() error { return x.answer(ctx, name, r) })
		}
	}

	return answers.Wait() //nolint:wrapcheck // the failures of answer
}

// list passes the addresses in the store to the cluster and returns the objects there.
func (x *Exchanger) list(ctx context.Context) (listing, error) {
	l := listing{
		records: map[string]listedRecord{},
		self:    x.cluster.Self().Name,
	}
	var others []string
	err := x.store.List(purpose.With(ctx, "addresses listed"), x.kind, func(name string, value json.RawMessage, revision int64) {
		var r record
		if json.Unmarshal(value, &r) != nil {
			return
		}
		x.cluster.Introduce([]netip.AddrPort{r.Peer}, time.Now())
		l.records[name] = listedRecord{
			record:   r,
			revision: revision,
		}
		if name != l.self && r.Peer.IsValid() {
			others = append(others, name)
		}
	})
	x.cluster.Expect(others)
	if err == nil {
		x.losses.review(l)
	}

	return l, err
}

// answer removes a question of another instance and a doubt about it. A conflict, of another answer or of a later question, ends in the
// next list of questions.
func (x *Exchanger) answer(ctx context.Context, name string, r listedRecord) error {
	answer := r.record
	answer.Question, answer.Renewals, answer.Doubted = "", 0, false
	_, err := x.store.Replace(purpose.With(ctx, "address question answered"), x.kind, name, answer, r.revision)
	x.log.Info("question in the store answered", "peer", name, "revision", r.revision, "doubted", r.record.Doubted, "error", fault.CodeOf(err))
	if fault.CodeOf(err) == fault.CodeNotFound {
		return nil
	}

	return err
}

// announce writes this instance's address to the store unless it is there.
func (x *Exchanger) announce(ctx context.Context) error {
	release, err := x.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	_, err = x.write(ctx)

	return err
}

// Leave removes this instance's address from the store for good, after any change of the object that is on its way. A failure is only
// logged: the others wait longer for an instance that is still listed.
func (x *Exchanger) Leave(ctx context.Context) {
	release, err := x.acquire(ctx)
	if err == nil {
		defer release()
		x.left = true
		err = x.store.Delete(purpose.With(ctx, "address removed"), x.kind, x.cluster.Self().Name)
	}
	if err != nil {
		x.log.Warn("address not removed from the store", "error", err.Error())
	}
}

// acquire waits until the object of this instance may be changed.
func (x *Exchanger) acquire(ctx context.Context) (release func(), err error) {
	select {
	case x.own <- struct{}{}:
		return func() { <-x.own }, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.CodeUnavailable, "another change of this instance's object takes too long")
	}
}

// record returns what the object of this instance has to contain.
func (x *Exchanger) record() record {
	return record{
		Peer:     x.cluster.Self().Peer,
		Question: x.question,
		Renewals: x.renewals,
	}
}

// write writes the object of this instance unless it is in the store, and returns its revision.
func (x *Exchanger) write(ctx context.Context) (revision int64, err error) {
	if x.left {
		return 0, errLeft
	}
	name, own := x.cluster.Self().Name, x.record()
	var found record
	revision, err = x.store.Read(purpose.With(ctx, "address read"), x.kind, name, &found)
	if err == nil && found.Doubted {
		x.doubted.Store(true)
	}
	switch {
	case err == nil && found != own:
		revision, err = x.store.Replace(purpose.With(ctx, "address written"), x.kind, name, own, revision)
	case err != nil:
		revision, err = x.store.Create(purpose.With(ctx, "address written"), x.kind, name, own)
	}

	return revision, err
}

// Ask asks the other instances in the store whether any of them is alive.
func (x *Exchanger) Ask(ctx context.Context) error {
	release, err := x.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	x.question, x.renewals = uuid.NewString(), 0
	if x.askedRevision, err = x.write(ctx); err == nil {
		x.renewedAt = time.Now()
	}

	return err
}

// Answered reports whether another instance has removed the question from the store or doubts this one, and renews the question if not. A
// question that was lost with its object counts as answered, so that it is asked again.
func (x *Exchanger) Answered(ctx context.Context) (bool, error) {
	release, err := x.acquire(ctx)
	if err != nil {
		return false, err
	}
	defer release()
	var found record
	name := x.cluster.Self().Name
	revision, err := x.store.Read(purpose.With(ctx, "address read"), x.kind, name, &found)
	switch {
	case err != nil && fault.CodeOf(err) != fault.CodeNotFound:
		return false, err
	case err != nil || x.question == "" || found.Question != x.question || found.Doubted:
		if found.Doubted {
			x.doubted.Store(true)
		}
		x.question, x.renewals = "", 0

		return true, nil
	case x.left || time.Since(x.renewedAt) < renewalPause:
		return false, nil
	}
	x.renewals = found.Renewals + 1
	if _, err = x.store.Replace(purpose.With(ctx, "address written"), x.kind, name, x.record(), revision); err == nil {
		x.renewedAt = time.Now()
	}

	return false, err
}

// OthersSeen reports whether any other instance has changed an object since this one asked: asked or renewed a question, answered one, or
// started.
func (x *Exchanger) OthersSeen(ctx context.Context) (bool, error) {
	release, err := x.acquire(ctx)
	if err != nil {
		return false, err
	}
	defer release()
	self, seen := x.cluster.Self().Name, ""
	err = x.store.List(purpose.With(ctx, "addresses listed"), x.kind, func(name string, _ json.RawMessage, revision int64) {
		if name != self && revision > x.askedRevision {
			seen = name
		}
	})
	if seen != "" {
		x.log.Info("sign of life of another instance in the store", "peer", seen, "asked_revision", x.askedRevision)
	}

	return seen != "", err
}
