package pulse

import (
	"context"
	"sync"
	"time"
)

// Pulse is a ticker for several tasks. It is safe for concurrent use.
type Pulse struct {
	interval time.Duration
	lock     sync.Mutex
	tasks    []*task
	// origin is an interval before the first beat, zero until then.
	origin time.Time
}

// task is the channel of a task, the period of its ticks and when the next one is due, zero if it is not known yet.
type task struct {
	period time.Duration
	due    time.Time
	ticks  chan time.Time
}

// New returns a pulse whose beats are an interval apart; Run starts it.
func New(interval time.Duration) *Pulse {
	return &Pulse{
		interval: interval,
	}
}

// Every returns a channel that gets the time at every period, rounded up to whole intervals. Like a time.Ticker, it drops ticks for a
// slow task.
func (p *Pulse) Every(period time.Duration) <-chan time.Time {
	ticks := make(chan time.Time, 1)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.tasks = append(p.tasks, &task{
		period: max(p.interval, (period + p.interval - 1).Truncate(p.interval)),
		ticks:  ticks,
	})

	return ticks
}

// Run beats until ctx ends.
func (p *Pulse) Run(ctx context.Context) {
	t := time.NewTicker(p.interval)
	defer t.Stop()
	for {
		select {
		case at := <-t.C:
			p.beat(at)
		case <-ctx.Done():
			return
		}
	}
}

// beat wakes the tasks that are due. A process may get processor time rarely, so it is the time that counts, not the beats.
func (p *Pulse) beat(at time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.origin.IsZero() {
		p.origin = at.Add(-p.interval)
	}
	nearest := at.Add(p.interval / 2)
	for _, t := range p.tasks {
		if t.due.IsZero() {
			// Multiples of the period since the same origin keep the tasks together.
			t.due = p.origin.Add((at.Sub(p.origin) - p.interval/2).Truncate(t.period) + t.period)
		}
		if t.due.After(nearest) {
			continue
		}
		t.due = t.due.Add(nearest.Sub(t.due).Truncate(t.period) + t.period)
		select {
		case t.ticks <- at:
		default:
		}
	}
}
