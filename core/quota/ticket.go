package quota

// ticket is an admitted request.
type ticket struct {
	quota    *Quota
	use      *use
	slots    *slots
	slot     int64
	refunded bool
}

// refund credits a request back that has not run. Further calls do nothing.
func (t *ticket) refund() {
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
