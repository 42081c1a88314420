package peersync

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/route"
	"tarragonwalk/io/messagecodec"
)

// maxSnapshot bounds an encoded part of a snapshot before compression; the store holds configurations of up to 1 MiB.
const maxSnapshot = 8 << 20

var codec = messagecodec.New(maxSnapshot)

// handler answers calls from other instances.
type handler interface {
	// Snapshot returns the route table, nil if none is known, and the list of backend servers with its revision.
	Snapshot() (*route.Table, []backend.Server, int64)
	// ReadHeldResults returns results of a job if this instance holds it, and false otherwise; with true and an error it cannot tell, or, with
	// code not_found, the job is another workspace's.
	ReadHeldResults(ctx context.Context, id, workspace string, after int, until time.Time) (jobpage.Page, bool, error)
	// HeldBody returns the body of an item of a job that this instance holds, nil if the item is listed or unknown; held is false if it does
	// not hold the job, and an error means that the job is another workspace's.
	HeldBody(id, workspace, item string) (body []byte, held bool, err error)
	// CallStore makes a call to the store; code is the fault code of a failed call and empty otherwise.
	CallStore(ctx context.Context, method, path string, body []byte, until time.Time) (status int, answer []byte, code string)
}

// service holds the methods that net/rpc serves.
type service struct {
	handler handler
	// lock guards the cached encoding of the latest table: after a change, all instances of a zone request the same version.
	lock          sync.Mutex
	cachedVersion int
	cachedTable   []byte
}

// Snapshot returns the parts of this instance's state that are newer than the sender's.
func (s *service) Snapshot(q *SnapshotRequest, reply *Snapshot) error {
	t, list, revision := s.handler.Snapshot()
	var err error
	if t != nil && t.Version > q.Version {
		if reply.Table, err = s.encodeTable(t); err != nil {
			return err
		}
	}
	reply.Revision = int(revision)
	if reply.Revision > q.Revision {
		reply.Servers, err = codec.Encode(ServerList{
			Servers: list,
		})
	}

	return err
}

func (s *service) encodeTable(t *route.Table) ([]byte, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.cachedVersion == t.Version {
		return s.cachedTable, nil
	}
	encoded, err := codec.Encode(t)
	if err == nil {
		s.cachedVersion, s.cachedTable = t.Version, encoded
	}

	return encoded, err
}

// Read returns results of a job that this instance holds.
func (s *service) Read(q *ReadRequest, reply *ReadReply) error {
	until := time.Now().Add(time.Duration(q.WaitMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), until.Add(callTimeout))
	defer cancel()
	page, held, err := s.handler.ReadHeldResults(ctx, q.Job, q.Workspace, q.After, until)
	reply.Held = held
	reply.Denied = fault.CodeOf(err) == fault.CodeNotFound
	reply.Unknown = err != nil && !reply.Denied
	reply.Total = page.Total
	reply.Next = page.Next
	reply.Results, err = json.Marshal(page.Results)

	return err
}

// Body returns the body of an item of a job that this instance holds.
func (s *service) Body(q *BodyRequest, reply *BodyReply) error {
	body, held, err := s.handler.HeldBody(q.Job, q.Workspace, q.Item)
	reply.Body, reply.Held = body, body != nil
	reply.Permitted, reply.Denied = held && err == nil, err != nil

	return nil
}

// Store makes a call to the store for another instance.
func (s *service) Store(q *StoreRequest, reply *StoreReply) error {
	until := time.Now().Add(time.Duration(q.WaitMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	reply.Status, reply.Body, reply.Code = s.handler.CallStore(ctx, q.Method, q.Path, q.Body, until)

	return nil
}
