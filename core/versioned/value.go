package versioned

import "sync"

// Value holds a value with the highest revision that was applied. It is safe for concurrent use.
type Value[T any] struct {
	// lock guards all fields below.
	lock     sync.Mutex
	value    *T
	revision int64
}

// New returns an empty Value.
func New[T any]() *Value[T] {
	return &Value[T]{}
}

// Apply replaces the value if the revision is higher than the current one, and reports whether it did. The first value is
// accepted with any revision.
func (v *Value[T]) Apply(value *T, revision int64) bool {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.value != nil && revision <= v.revision {
		return false
	}
	v.value = value
	v.revision = revision

	return true
}

// Current returns the value and its revision, or nil and 0 if there is none.
func (v *Value[T]) Current() (value *T, revision int64) {
	v.lock.Lock()
	defer v.lock.Unlock()

	return v.value, v.revision
}
