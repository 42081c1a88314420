// Package background runs the tasks that live as long as their owner. A panic in one of them ends the process: an instance that goes
// on without one of its tasks is alive to others but does not do its part, while the loss of a process is noticed and made up for.
package background
