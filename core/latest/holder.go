package latest

import "sync"

// Holder keeps the value with the highest revision that it was given; it is safe for concurrent use.
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

// Apply takes a value with a higher revision than the current one and reports whether it did.
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

// Current returns the value and its revision, nil and 0 if there is none.
func (h *Holder[T]) Current() (value *T, revision int64) {
	h.lock.Lock()
	defer h.lock.Unlock()

	return h.value, h.revision
}
