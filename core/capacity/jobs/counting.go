package jobs

import (
	"context"
	"sync/atomic"

	"tarragonwalk/internal/fakestore"
	"tarragonwalk/io/objectstore"
)

// countingStore is an in-memory store that counts reads and writes separately, as the object store limits them
// separately.
type countingStore struct {
	*fakestore.Store
	reads  atomic.Int64
	writes atomic.Int64
}

func newCountingStore() *countingStore {
	return &countingStore{
		Store: fakestore.New(),
	}
}

func (c *countingStore) calls() (reads, writes float64) {
	return float64(c.reads.Load()), float64(c.writes.Load())
}

// Get counts a read.
func (c *countingStore) Get(ctx context.Context, key string) ([]byte, int64, error) {
	c.reads.Add(1)

	return c.Store.Get(ctx, key)
}

// List counts a read.
func (c *countingStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Entry, int64, error) {
	c.reads.Add(1)

	return c.Store.List(ctx, prefix, after, limit)
}

// Put counts a write.
func (c *countingStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	c.writes.Add(1)

	return c.Store.Put(ctx, key, value, ifVersion)
}

// Delete counts a write.
func (c *countingStore) Delete(ctx context.Context, key string, ifVersion int64) error {
	c.writes.Add(1)

	return c.Store.Delete(ctx, key, ifVersion)
}
