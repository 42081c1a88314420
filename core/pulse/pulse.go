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
	tasks    []task
	beats    int
}

// task is the channel of a task and the number of beats between two of its ticks.
type task struct {
	beats int
	ticks chan time.Time
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
	p.tasks = append(p.tasks, task{
		beats: max(1, int((period+p.interval-1)/p.interval)),
		ticks: ticks,
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

func (p *Pulse) beat(at time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.beats++
	for _, t := range p.tasks {
		if p.beats%t.beats != 0 {
			continue
		}
		select {
		case t.ticks <- at:
		default:
		}
	}
}
