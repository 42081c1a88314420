package storecalls

import (
	"context"
	"sync"
	"time"

	"tarragonwalk/core/fault"
	"tarragonwalk/internal/fakestore"
	"tarragonwalk/io/objectstore"
)

// simulatedStore is an in-memory store that counts the calls of one follower. Its clock advances only in watches.
type simulatedStore struct {
	*fakestore.Store

	mu    sync.Mutex
	now   time.Time
	calls int
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{
		Store: fakestore.New(),
		now:   time.Now(),
	}
}

func (w *simulatedStore) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.now
}

func (w *simulatedStore) count() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
}

func (w *simulatedStore) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.calls
}

// Get counts a read.
func (w *simulatedStore) Get(ctx context.Context, key string) ([]byte, int64, error) {
	w.count()

	return w.Store.Get(ctx, key)
}

// List counts a listing.
func (w *simulatedStore) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Entry, int64, error) {
	w.count()

	return w.Store.List(ctx, prefix, after, limit)
}

// Delete counts a delete.
func (w *simulatedStore) Delete(ctx context.Context, key string, ifVersion int64) error {
	w.count()

	return w.Store.Delete(ctx, key, ifVersion)
}

// Watch counts a watch. Without changes it advances the clock to the end of the watch.
func (w *simulatedStore) Watch(
	ctx context.Context, prefix string, since int64, until time.Time,
) ([]objectstore.Change, int64, error) {
	w.count()
	if ctx.Err() != nil {
		return nil, 0, fault.Wrap(ctx.Err(), fault.CodeStoreUnavailable, "watch canceled")
	}
	changes, revision, err := w.Store.Watch(ctx, prefix, since, time.Now())
	if err == nil && len(changes) == 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.now = until
	}

	return changes, revision, err
}
