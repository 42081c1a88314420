package sweep

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/io/objectstore"
)

const (
	// pageLimit is the number of keys requested in one listing.
	pageLimit = 1000
	// pause limits a sweep to 10 deletions per second, a small part of the several hundred writes that the store can do.
	pause = 100 * time.Millisecond
)

// objects is the part of the object store's client that Sweeper uses.
type objects interface {
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	Delete(ctx context.Context, key string, ifVersion int64) error
	List(ctx context.Context, prefix, after string, limit int) (entries []objectstore.Entry, revision int64, err error)
}

// Sweeper deletes the claims of ended jobs and the parts that no result refers to.
type Sweeper struct {
	objects objects
}

// New returns a sweeper.
func New(o objects) *Sweeper {
	return &Sweeper{
		objects: o,
	}
}

// Sweep deletes the claims of an ended job and the parts of attempts that were not published. It makes O(chunks) calls, and
// deletes at a bounded rate. Parts of a chunk without a result stay, since a late holder may still publish them.
func (s *Sweeper) Sweep(ctx context.Context, id string) error {
	if err := s.forEach(ctx, job.ClaimsPrefix(id), func(e objectstore.Entry) error { return s.remove(ctx, e) }); err != nil {
		return err
	}
	chunk := ""
	var parts []objectstore.Entry
	err := s.forEach(ctx, job.PartsPrefix(id), func(e objectstore.Entry) error {
		name, _ := split(id, e.Key)
		var err error
		if name != chunk {
			err = s.sweepChunk(ctx, id, chunk, parts)
			chunk, parts = name, nil
		}
		parts = append(parts, e)

		return err
	})
	if err != nil {
		return err
	}

	return s.sweepChunk(ctx, id, chunk, parts)
}

// split returns the chunk and the attempt of a part's key.
func split(id, key string) (chunk, attempt string) {
	chunk, rest, _ := strings.Cut(strings.TrimPrefix(key, job.PartsPrefix(id)), "/")
	attempt, _, _ = strings.Cut(rest, "/")

	return chunk, attempt
}

// sweepChunk deletes the parts of a chunk whose attempt was not published. If all parts are from one attempt, they are the
// published ones or the chunk has no result, so that the result need not be read.
func (s *Sweeper) sweepChunk(ctx context.Context, id, chunk string, parts []objectstore.Entry) error {
	multipleAttempts := false
	for _, e := range parts {
		_, first := split(id, parts[0].Key)
		_, attempt := split(id, e.Key)
		multipleAttempts = multipleAttempts || attempt != first
	}
	if !multipleAttempts {
		return nil
	}
	value, _, err := s.objects.Get(ctx, job.ResultsPrefix(id)+chunk)
	if fault.CodeOf(err) == fault.CodeNotFound {
		return nil
	}
	var c job.ChunkResult
	if err == nil {
		err = json.Unmarshal(value, &c)
	}
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot read a result of an ended job")
	}
	for _, e := range parts {
		if _, attempt := split(id, e.Key); attempt != strconv.Itoa(c.Attempt) {
			if err := s.remove(ctx, e); err != nil {
				return err
			}
		}
	}

	return nil
}

// forEach calls f for each key with the prefix, in order.
func (s *Sweeper) forEach(ctx context.Context, prefix string, f func(e objectstore.Entry) error) error {
	after := ""
	for {
		entries, _, err := s.objects.List(ctx, prefix, after, pageLimit)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if err := f(e); err != nil {
				return err
			}
		}
		if len(entries) < pageLimit {
			return nil
		}
		after = entries[len(entries)-1].Key
	}
}

// remove deletes an entry unless it has changed since it was listed.
func (s *Sweeper) remove(ctx context.Context, e objectstore.Entry) error {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.CodeCancelled, "the sweep was cancelled")
	}
	err := s.objects.Delete(ctx, e.Key, int64(e.Version))
	switch fault.CodeOf(err) {
	case "", fault.CodeNotFound, fault.CodeConflict, fault.CodeOutcomeUnknown:
		return nil
	}

	return err
}
