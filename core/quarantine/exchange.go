package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonwalk/core/gossip"
)

const (
	// announceLife is how long new evidence is repeated in heartbeats, since datagrams may be lost.
	announceLife = 3 * time.Second
	// maxAnnounced bounds the crashes, and maxAnnouncedParts the parts of each other kind, in a heartbeat.
	maxAnnounced      = 8
	maxAnnouncedParts = 32
	// waitersLife is how long the items of another instance count that has not been heard from since.
	waitersLife = 5 * time.Second
	// minLeft is the least time for which a quarantine is taken over, so that one that ends here is not renewed by another instance
	// whose clock is a little behind.
	minLeft = time.Second
)

// FillHeartbeat adds what other instances have to know: crashes that this instance observed, parts that were answered here, and the
// parts in quarantine.
func (q *Quarantine) FillHeartbeat(b *gossip.Heartbeat) {
	q.lock.Lock()
	defer q.lock.Unlock()
	at := q.now()
	q.self = b.Sender.Name
	for _, c := range slices.Backward(q.crashes) {
		parts := q.announced(c, at)
		if len(b.Crashes) >= maxAnnounced || len(parts) == 0 && !c.announceRefutation {
			continue
		}
		if c.refuted() && (!c.announceRefutation || at.Sub(c.refutedAt) >= announceLife) {
			continue
		}
		since := c.at
		if c.refuted() {
			since = c.refutedAt
		}
		b.Crashes = append(b.Crashes, gossip.Crash{
			Server:    c.incarnation.server,
			StartedAt: c.incarnation.startedAt,
			AgeMillis: gossip.Age(since, at),
			Parts:     parts,
			Prompts:   c.promptsOf(parts),
			Answered:  c.refuted(),
		})
	}
	for part, until := range q.cleared {
		last := q.answered.at(part)
		switch {
		case !at.Before(until) || last.IsZero():
			delete(q.cleared, part)
		case len(b.SoundParts) < maxAnnouncedParts:
			b.SoundParts = append(b.SoundParts, gossip.SoundPart{
				Part:      part,
				AgeMillis: gossip.Age(last, at),
			})
		}
	}
	for part, e := range q.quarantined {
		if len(b.QuarantinedParts) < maxAnnouncedParts {
			b.QuarantinedParts = append(b.QuarantinedParts, gossip.QuarantinedPart{
				Part:       part,
				AgeMillis:  gossip.Age(e.since, at),
				LeftMillis: gossip.Age(at, e.until),
			})
		}
	}
	for key, w := range q.ownWaiters {
		if len(b.HeldItems) < maxAnnouncedParts {
			b.HeldItems = append(b.HeldItems, gossip.HeldItems{
				Part:    key,
				Waiting: w.waiting,
				Tried:   w.tried,
			})
		}
	}
	slices.SortFunc(b.SoundParts, func(x, y gossip.SoundPart) int { return cmp.Compare(x.Part, y.Part) })
	slices.SortFunc(b.QuarantinedParts, func(x, y gossip.QuarantinedPart) int { return cmp.Compare(x.Part, y.Part) })
	slices.SortFunc(b.HeldItems, func(x, y gossip.HeldItems) int { return cmp.Compare(x.Part, y.Part) })
}

// announced returns the parts of a crash that other instances have to know: those that this instance lost, while they are new, and all
// that are known, for an instance that has just started. The caller holds the lock.
func (q *Quarantine) announced(c *crash, at time.Time) []string {
	switch {
	case c.refuted():
		return nil
	case at.Sub(c.at) < announceLife && len(c.own) > 0:
		return slices.Clone(c.own)
	}
	if at.Sub(q.joinedAt) >= announceLife {
		return nil
	}

	return slices.Sorted(maps.Keys(c.parts))
}

// ObserveHeartbeat applies what another instance has announced as of a time.
func (q *Quarantine) ObserveHeartbeat(b *gossip.Heartbeat, at time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if s := b.Sender; q.incarnations[s.Name] != s.Incarnation {
		q.incarnations[s.Name] = s.Incarnation
		q.joinedAt = q.now()
	}
	changed := false
	for _, s := range b.SoundParts[:min(len(b.SoundParts), maxAnnouncedParts)] {
		if len(s.Part) <= maxPartBytes {
			q.answered.record(s.Part, gossip.Before(at, max(0, s.AgeMillis)))
			changed = q.clear(s.Part) || changed
		}
	}
	for _, c := range b.Crashes[:min(len(b.Crashes), maxAnnounced)] {
		of := incarnation{
			server:    c.Server,
			startedAt: c.StartedAt,
		}
		since := gossip.Before(at, max(0, c.AgeMillis))
		if c.Answered {
			changed = q.refute(of, since, false) || changed

			continue
		}
		_, isNew := q.addLoss(of, c.Parts[:min(len(c.Parts), maxParts)], c.Prompts, since, reportMargin)
		changed = changed || isNew
	}
	if changed {
		q.judgeSoon()
	}
	for _, p := range b.QuarantinedParts[:min(len(b.QuarantinedParts), maxAnnouncedParts)] {
		left := min(quarantineLife, time.Duration(max(0, p.LeftMillis))*time.Millisecond)
		q.adopt(p.Part, gossip.Before(at, max(0, p.AgeMillis)), at.Add(left), "peer")
	}
	q.observeWaiters(b.Sender, b.HeldItems[:min(len(b.HeldItems), maxAnnouncedParts)], at)
}

// observeWaiters keeps what another instance says of its items that wait for the parts, or combinations, in quarantine. The caller holds the
// lock.
func (q *Quarantine) observeWaiters(sender gossip.Member, list []gossip.HeldItems, at time.Time) {
	for _, peers := range q.peerWaiters {
		if last, ok := peers[sender.Name]; ok {
			last.waiting = 0
			peers[sender.Name] = last
		}
	}
	for _, h := range list {
		if _, combined := q.combinedSince[h.Part]; !combined && q.quarantined[h.Part] == nil {
			continue
		}
		if q.peerWaiters[h.Part] == nil {
			q.peerWaiters[h.Part] = map[string]waiters{}
		}
		// Of an instance that is gone, and of its former processes, only the trials go on to count.
		last := q.peerWaiters[h.Part][sender.Name]
		earlier := last.earlier
		if last.incarnation != sender.Incarnation {
			earlier = last.tried
		}
		q.peerWaiters[h.Part][sender.Name] = waiters{
			waiting:     max(0, h.Waiting),
			tried:       earlier + max(0, h.Tried),
			until:       at.Add(waitersLife),
			incarnation: sender.Incarnation,
			earlier:     earlier,
		}
	}
}

// adopt takes a part that was quarantined at a time elsewhere, or in an earlier process, unless it is known to be sound since. The
// caller holds the lock.
func (q *Quarantine) adopt(part string, since, until time.Time, source string) (added bool) {
	at := q.now()
	switch e := q.quarantined[part]; {
	case part == "" || len(part) > maxPartBytes || until.Sub(at) < minLeft:
		return false
	case q.sound(part, since):
		q.cleared[part] = at.Add(announceLife)

		return false
	case e != nil:
		return false
	}
	q.add(part, &entry{
		since: since,
		until: until,
	}, source, at)
	q.judge(at)

	return q.quarantined[part] != nil
}
