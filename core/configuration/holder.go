package configuration

import "sync"

// Holder keeps the highest configuration seen; its methods may be called concurrently.
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

// Current returns the configuration in effect, nil before the first Apply; it must not be modified.
func (h *Holder) Current() *Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.current
}

// Apply puts c into effect; false if its version is not higher than the current one.
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
