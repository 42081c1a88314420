package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// trialInterval is the time from one trial of a quarantined part to the next, and trialWindow how long each of them lasts.
	trialInterval = 17 * time.Second
	trialWindow   = 2 * time.Second
	// sureCrashes is the number of crashes after which trials of a part are bounded. It is one less than surelyCrashes, since a server may
	// have crashed under a request that was given up just before, which nobody counts.
	sureCrashes = surelyCrashes - 1
	// maxSureTrials bounds the items in trials of a part after that, over all instances. The count begins a trialWindow after the last crash
	// that this took, so that the trial that proves it includes all items.
	maxSureTrials = 3
)

// waiters are the items of an instance that wait for a quarantined part.
type waiters struct {
	// waiting is their number, tried the number of items in trials that count.
	waiting, tried int
	// trial is the number of the last trial of this instance, and until is when what another instance has said expires.
	trial int64
	until time.Time
	// incarnation is the process of another instance that said so, and earlier the number of items that its former ones tried.
	incarnation string
	earlier     int
}

// hold is the reason for which a request or an item waits.
type hold struct {
	// key names the part, or the combination of parts, and parts are these.
	key   string
	parts []string
	since time.Time
	until time.Time
}

// TrialDue reports whether one waiting item with some parts may run now although one of them is quarantined. Nothing else shows that a part
// is sound, and an item that never runs is never done. Trials of a part take place at the same times at all instances, so that a part
// that does crash servers crashes few, rarely. An item with several such parts waits for the trial of the one with the most crashes.
func (q *Quarantine) TrialDue(parts []string) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	at := q.now()
	h, ok := q.holdOf(parts, at)
	if !ok {
		return false
	}
	passed := at.Sub(h.since)
	if passed < trialInterval || passed%trialInterval >= trialWindow {
		return false
	}
	if !q.surelyCrashes(h, at) {
		return true
	}
	own := q.ownWaiters[h.key]
	waiting, tried, first := own.waiting, own.tried, true
	for name, w := range q.peerWaiters[h.key] {
		tried += w.tried
		if at.Before(w.until) {
			waiting += w.waiting
			first = first && (w.waiting == 0 || q.self < name)
		}
	}

	return tried+waiting <= maxSureTrials || first && tried < maxSureTrials && own.trial < int64(passed/trialInterval)
}

// RecordTrial records that a waiting item with some parts runs as a trial. The caller calls withdraw if no server has accepted the item, which
// then waits again.
func (q *Quarantine) RecordTrial(parts []string) (withdraw func()) {
	q.lock.Lock()
	defer q.lock.Unlock()
	at := q.now()
	h, ok := q.holdOf(parts, at)
	if !ok {
		return func() {}
	}
	decisions.Add("tried", 1)
	own := q.ownWaiters[h.key]
	own.waiting = max(0, own.waiting-1)
	own.trial = int64(at.Sub(h.since) / trialInterval)
	sure := q.surelyCrashes(h, at)
	if sure {
		own.tried++
	}
	q.ownWaiters[h.key] = own
	q.log.Info("item tried", "part", h.key, "trial", own.trial, "since", h.since, "crashes", len(q.evidence(h.parts[0])), "sure", sure,
		"waiting", own.waiting, "tried", own.tried)
	trial := own.trial

	return func() { q.withdrawTrial(h, trial, sure) }
}

// withdrawTrial takes an item out of a trial, and out of the number of those that count if it was counted.
func (q *Quarantine) withdrawTrial(h hold, trial int64, counted bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	own, ok := q.ownWaiters[h.key]
	if !ok {
		return
	}
	own.waiting++
	own.trial = min(own.trial, trial-1)
	if counted {
		own.tried = max(0, own.tried-1)
	}
	q.ownWaiters[h.key] = own
}

// RecordWaiting records how many items wait for each part, or combination of parts, as it was named by Quarantined.
func (q *Quarantine) RecordWaiting(counts map[string]int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for key, own := range q.ownWaiters {
		if own.waiting = counts[key]; own.waiting == 0 && own.tried == 0 {
			delete(q.ownWaiters, key)
		} else {
			q.ownWaiters[key] = own
		}
	}
	for key, n := range counts {
		own := q.ownWaiters[key]
		own.waiting = n
		q.ownWaiters[key] = own
	}
}

// holdOf returns why a request or an item with some parts waits: the quarantined part, or combination, with the most crashes. The caller holds the lock.
func (q *Quarantine) holdOf(parts []string, at time.Time) (worst hold, ok bool) {
	most := -1
	consider := func(h hold) {
		n := len(q.evidence(h.parts[0]))
		if n > most || n == most && h.since.Before(worst.since) {
			worst, most, ok = h, n, true
		}
	}
	for _, p := range parts {
		if e := q.quarantined[p]; e != nil && at.Before(e.until) {
			consider(hold{
				key:   p,
				parts: []string{p},
				since: e.since,
				until: e.until,
			})
		}
		if with := q.combined[p]; with != nil && containsAll(parts, with) {
			key := strings.Join(with, "+")
			consider(hold{
				key:   key,
				parts: with,
				since: q.combinedSince[key],
				until: at.Add(combinedRetry),
			})
		}
	}

	return worst, ok
}

// surelyCrashes reports whether parts have crashed so many servers that their trials count, as of a trialWindow ago. The caller holds the
// lock.
func (q *Quarantine) surelyCrashes(h hold, at time.Time) bool {
	seen := map[incarnation]bool{}
	var times []time.Time
	for _, c := range q.crashes {
		if !c.refuted() && !seen[c.incarnation] && c.parts[h.parts[0]] {
			seen[c.incarnation] = true
			times = append(times, c.at)
		}
	}
	if len(times) < sureCrashes {
		return false
	}
	slices.SortFunc(times, time.Time.Compare)

	return at.Sub(times[sureCrashes-1]) > trialWindow
}

// forgetWaiters drops the items that waited for a part, or a combination, which is no longer in quarantine. The caller holds the lock.
func (q *Quarantine) forgetWaiters(key string) {
	delete(q.ownWaiters, key)
	delete(q.peerWaiters, key)
}
