package background

import "sync"

// Tasks is a set of running goroutines; the zero value is empty. It is safe for concurrent use.
type Tasks struct {
	group sync.WaitGroup
}

// Go runs f in a goroutine. Unlike a wait group that keeps a panic of f until Wait, it lets the panic end the process at once.
func (t *Tasks) Go(f func()) {
	t.group.Go(f)
}

// Wait returns once all tasks have ended.
func (t *Tasks) Wait() {
	t.group.Wait()
}
