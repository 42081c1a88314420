package quota

// Ticket is an admitted request.
type Ticket struct {
	quota    *Quota
	use      *use
	slots    *slots
	slot     int64
	refunded bool
}

// Refund credits a request back that has not run. Further calls, and those of a nil ticket, do nothing.
func (t *Ticket) Refund() {
	if t == nil {
		return
	}
	q := t.quota
	q.lock.Lock()
	defer q.lock.Unlock()
	if t.refunded {
		return
	}
	t.refunded = true
	// Slots that have left the window are dropped by the next request, so that a late refund may not be subtracted from a newer slot.
	if t.use.slots == t.slots {
		t.slots.admit(t.slot, -1)
		t.use.viewedAt = t.use.viewedAt.Add(-viewLife)
		counters.Add("Refunded", 1)
	}
}
