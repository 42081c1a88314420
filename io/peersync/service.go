package peersync

import (
	"context"
	"encoding/json"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/route"
)

// handler answers other instances.
type handler interface {
	// Snapshot returns the route table, nil if none is known, and the list of backend servers with its revision.
	Snapshot() (*route.Table, []backend.Server, int64)
	// ReadHeld returns results of a job that this instance holds; false if it does not.
	ReadHeld(ctx context.Context, id string, after int, until time.Time) (jobpage.Page, bool)
	// CallStore makes a call to the store; code is that of a failure.
	CallStore(ctx context.Context, method, path string, body []byte, until time.Time) (status int, answer []byte, code string)
}

// service holds the methods that net/rpc offers.
type service struct {
	handler handler
}

// Snapshot copies the state of this instance.
func (s *service) Snapshot(_ *Empty, reply *Snapshot) error {
	t, list, revision := s.handler.Snapshot()
	var err error
	if t != nil {
		if reply.Table, err = json.Marshal(t); err != nil {
			return err
		}
	}
	reply.Servers, err = json.Marshal(list)
	reply.Revision = int(revision)

	return err
}

// Read returns results of a job that this instance holds.
func (s *service) Read(q *ReadRequest, reply *ReadReply) error {
	until := time.Now().Add(time.Duration(q.WaitMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), until.Add(callTimeout))
	defer cancel()
	page, held := s.handler.ReadHeld(ctx, q.Job, q.After, until)
	reply.Held = held
	reply.Total = page.Total
	reply.Next = page.Next
	var err error
	reply.Results, err = json.Marshal(page.Results)

	return err
}

// Store makes a call to the store for another instance.
func (s *service) Store(q *StoreRequest, reply *StoreReply) error {
	until := time.Now().Add(time.Duration(q.WaitMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	reply.Status, reply.Body, reply.Code = s.handler.CallStore(ctx, q.Method, q.Path, q.Body, until)

	return nil
}
