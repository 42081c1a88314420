package configuration

import "sync"

// Holder holds the configuration with the highest version that was applied. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	current *Configuration
	changed chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{
		changed: make(chan struct{}),
	}
}

// Current returns the configuration in force, nil before the first Apply. It must not be modified.
func (h *Holder) Current() *Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.current
}

// Apply puts c into force and reports whether it did. It refuses a version that is not higher than the current one.
func (h *Holder) Apply(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c == nil || h.current != nil && c.Version <= h.current.Version || c.Version < 1 {
		return false
	}
	h.current = c
	close(h.changed)
	h.changed = make(chan struct{})

	return true
}

// Changed returns a channel that is closed at the next accepted Apply.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.changed
}
