package batchroom

import "time"

// Room says where a batch item could be placed at a time.
type Room struct {
	// Usable is the number of servers that may get requests, Free of those with a free slot for the item.
	Usable int
	Free   int
	// Yielded of the free servers are left to items that may still be in time, if any instance has such items.
	Yielded int
	// InTurn of the free servers are those on which this instance may start items at that time.
	InTurn int
	// CountsAt is when the oldest of the counts of other instances was taken, zero if there are none.
	CountsAt time.Time
}

// Add adds the room on further servers.
func (r *Room) Add(o Room) {
	r.Usable += o.Usable
	r.Free += o.Free
	r.Yielded += o.Yielded
	r.InTurn += o.InTurn
	if r.CountsAt.IsZero() || !o.CountsAt.IsZero() && o.CountsAt.Before(r.CountsAt) {
		r.CountsAt = o.CountsAt
	}
}
