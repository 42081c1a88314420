package addresses

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
)

const (
	// rejoinPause is the time between two reads of the addresses in the store. Addresses that do not answer are dropped, so after a
	// long network partition regions find each other again only through the seeds and the store.
	rejoinPause = 30 * time.Second
	// retryPause is the time between two attempts after a failure.
	retryPause = time.Second
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
// addresses once per rejoinPause.
func (x *Exchanger) Run(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		pause := rejoinPause
		if !announced || x.fleet.Watching() {
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			err := x.exchange(attempt, announced)
			cancel()
			announced = announced || err == nil
			if err != nil {
				x.log.Warn("cannot exchange instance addresses through the store", "announced", announced, "error", err.Error())
				pause = retryPause
			}
		}
		select {
		case <-time.After(pause):
			x.fleet.IntroduceSeeds()
		case <-ctx.Done():
		}
	}
}

// exchange reads the addresses of the other instances from the store and, unless announced is set, writes this instance's address there.
func (x *Exchanger) exchange(ctx context.Context, announced bool) error {
	listed, err := x.Read(ctx)
	x.fleet.NoteFleetSize(listed)
	if err != nil || announced {
		return err
	}
	created, err := x.announce(ctx)
	if err != nil || !created {
		return err
	}
	// Instances that started at the same time may have written their addresses since the first read.
	_, err = x.Read(ctx)

	return err
}

// Read passes the addresses in the store to the cluster and returns their number. It answers the questions that it finds.
func (x *Exchanger) Read(ctx context.Context) (listed int, err error) {
	self := x.cluster.Self().Name
	others := 0
	var open []openQuestion
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
	for _, q := range open {
		answer := q.record
		answer.Question = ""
		_, failure := x.store.Replace(ctx, x.kind, q.name, answer, q.revision)
		x.log.Info("question of an isolated instance answered", "peer", q.name, "revision", q.revision, "error", fault.CodeOf(failure))
	}

	return listed, err
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
