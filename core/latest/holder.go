package latest

import "sync"

// Holder holds the value with the highest revision that was applied. It is safe for concurrent use.
type Holder[T any] struct {
	// lock guards all fields below.
	lock     sync.Mutex
	value    *T
	revision int64
}

// New returns an empty holder.
func New[T any]() *Holder[T] {
	return &Holder[T]{}
}

// Apply replaces the value if the revision is higher than the current one, and reports whether it did. The first value is
// accepted with any revision.
func (h *Holder[T]) Apply(value *T, revision int64) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.value != nil && revision <= h.revision {
		return false
	}
	h.value = value
	h.revision = revision

	return true
}

// Current returns the value and its revision, or nil and 0 if there is none.
func (h *Holder[T]) Current() (value *T, revision int64) {
	h.lock.Lock()
	defer h.lock.Unlock()

	return h.value, h.revision
}
