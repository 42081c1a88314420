package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// suspectedCrashes is the number of crashes from which requests with a part are not retried.
	suspectedCrashes = 2
	// quarantinedCrashes is the number of crashes, one after the other, from which a part is quarantined if most servers that crash
	// meanwhile do so under it. Servers that crash together do so for a reason of their own, except for surelyCrashes of them.
	quarantinedCrashes = 3
	surelyCrashes      = 5
	// independentPrompts is the number of prompts among those crashes: a request that is repeated in a wave of crashes meets several of
	// them.
	independentPrompts = 2
	// occasionGap is the least time between crashes that happen one after the other.
	occasionGap = 100 * time.Millisecond
	// settleTime is how long a crash waits for the heartbeats of other instances: their unanswered requests, and the parts that
	// they know to be sound.
	settleTime = 600 * time.Millisecond
	// confirmTime is how long a crash waits for a sign that its server lives before it shows which of two parts is to blame.
	confirmTime = 200 * time.Millisecond
	// judgeInterval is the least time between two decisions on the evidence of other instances and on evidence that was withdrawn. Both
	// come with each lost connection of the fleet.
	judgeInterval = 100 * time.Millisecond
)

// judge decides which parts are suspected and which are quarantined. A part that only unconfirmed crashes convict is refused until
// they are confirmed. The caller holds the lock.
func (q *Quarantine) judge(at time.Time) {
	q.nextAt, q.judgedAt = time.Time{}, at
	q.expire(at)
	q.suspect(levelsOf(q.crashes))
	convicted, combined := q.decide(q.confirmed(at), at)
	for part, crashes := range convicted {
		q.add(part, &entry{
			since:    at,
			until:    at.Add(quarantineLife),
			observed: slices.ContainsFunc(crashes, func(c *crash) bool { return slices.Contains(c.own, part) }),
		}, "crashes", at)
	}
	unconfirmed, _ := q.decide(q.crashes, at)
	for part := range unconfirmed {
		combined[part] = []string{part}
	}
	q.combine(combined)
}

// judgeSoon decides now, or leaves the decisions to Review if the last ones are recent. The caller holds the lock.
func (q *Quarantine) judgeSoon() {
	at := q.now()
	if due := q.judgedAt.Add(judgeInterval); at.Before(due) {
		q.wakeAt(due)

		return
	}
	q.judge(at)
}

// decide returns the parts that some crashes convict, with these crashes, and those that they convict in combination with others. The
// caller holds the lock.
func (q *Quarantine) decide(crashes []*crash, at time.Time) (convicted map[string][]*crash, combined map[string][]string) {
	convicted, combined = map[string][]*crash{}, map[string][]string{}
	levels := levelsOf(crashes)
	for part, level := range levels {
		if level < quarantinedCrashes || q.quarantined[part] != nil {
			continue
		}
		certain, shared, inseparable := q.blame(crashes, part, levels)
		if len(inseparable) > 0 {
			certain = shared
		}
		since, ok := q.decisive(part, certain)
		switch settled := since.Add(settleTime); {
		case !ok:
		case at.Before(settled):
			q.wakeAt(settled)
		case len(inseparable) > 0:
			combined[part] = append(inseparable, part)
		default:
			convicted[part] = certain
		}
	}

	return convicted, combined
}

// confirmed returns the crashes that are old enough to decide which part is to blame. The caller holds the lock.
func (q *Quarantine) confirmed(at time.Time) []*crash {
	var list []*crash
	for _, c := range q.crashes {
		if due := c.at.Add(confirmTime); at.Before(due) {
			q.wakeAt(due)
		} else {
			list = append(list, c)
		}
	}

	return list
}

// suspect decides which parts are suspected, given the levels of all parts. The caller holds the lock.
func (q *Quarantine) suspect(levels map[string]int) {
	suspected := map[string]bool{}
	for part, level := range levels {
		if level < suspectedCrashes || q.quarantined[part] != nil {
			continue
		}
		_, shared, _ := q.blame(q.crashes, part, levels)
		if countIncarnations(shared) < suspectedCrashes {
			continue
		}
		suspected[part] = true
		if !q.suspected[part] {
			decisions.Add("suspected", 1)
			q.log.Info("prompt part suspected", "part", part, "crashes", level, "unexplained", len(shared))
		}
	}
	q.suspected = suspected
}

// expire drops old evidence and ends quarantines whose deadline has passed. The caller holds the lock.
func (q *Quarantine) expire(at time.Time) {
	for part, e := range q.quarantined {
		if at.Before(e.until) {
			q.wakeAt(e.until)

			continue
		}
		q.release(part, "deadline")
		for _, c := range q.crashes {
			delete(c.parts, part)
		}
	}
	for name, until := range q.savedUntil {
		if at.Before(until) {
			q.wakeAt(until)

			continue
		}
		delete(q.savedUntil, name)
		q.obsolete[name] = true
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c *crash) bool { return at.Sub(c.at) >= evidenceLife })
	if len(q.crashes) > 0 {
		q.wakeAt(q.crashes[0].at.Add(evidenceLife))
	}
}

// wakeAt makes Review decide again at a time, or earlier. The caller holds the lock.
func (q *Quarantine) wakeAt(at time.Time) {
	if q.nextAt.IsZero() || at.Before(q.nextAt) {
		q.nextAt = at
	}
}

// levelsOf returns under how many of some crashed incarnations each part was unanswered.
func levelsOf(crashes []*crash) map[string]int {
	type occurrence struct {
		part string
		of   incarnation
	}
	seen := map[occurrence]bool{}
	levels := map[string]int{}
	for _, c := range crashes {
		if c.refuted() {
			continue
		}
		for part := range c.parts {
			o := occurrence{
				part: part,
				of:   c.incarnation,
			}
			if !seen[o] {
				seen[o] = true
				levels[part]++
			}
		}
	}

	return levels
}

// blame returns those of some crashes of a part that no other part explains better: those in which it has a higher level than all other
// parts, and those in which it has the highest. Inseparable are other parts of the same level that occur in all of these. The caller
// holds the lock.
func (q *Quarantine) blame(crashes []*crash, part string, levels map[string]int) (alone, shared []*crash, inseparable []string) {
	ties := map[string]int{}
	for _, c := range crashes {
		if c.refuted() || !c.parts[part] {
			continue
		}
		tied, best := q.compare(c, part, levels)
		if !best {
			continue
		}
		shared = append(shared, c)
		for _, other := range tied {
			ties[other]++
		}
		if len(tied) == 0 || levels[part] >= surelyCrashes {
			alone = append(alone, c)
		}
	}
	for other, n := range ties {
		if n == len(shared) {
			inseparable = append(inseparable, other)
		}
	}

	return alone, shared, inseparable
}

// compare reports whether no other part explains a crash better than a given one, and returns the other parts that explain it as
// well. The caller holds the lock.
func (q *Quarantine) compare(c *crash, part string, levels map[string]int) (tied []string, best bool) {
	for other := range c.parts {
		switch {
		case other == part:
		case levels[other] > levels[part] || q.quarantined[other] != nil:
			return nil, false
		case levels[other] == levels[part]:
			tied = append(tied, other)
		}
	}

	return tied, true
}

// combine replaces the parts that are quarantined in combination: servers crash under requests with all of them, and nothing tells
// yet which of them is the cause. The caller holds the lock.
func (q *Quarantine) combine(combined map[string][]string) {
	since := map[string]time.Time{}
	for part, with := range combined {
		slices.Sort(with)
		key := strings.Join(with, "+")
		if since[key] = q.combinedSince[key]; since[key].IsZero() {
			since[key] = q.judgedAt
		}
		if q.combined[part] == nil {
			decisions.Add("combined", 1)
			q.log.Warn("prompt parts quarantined in combination", "part", part, "parts", with, "evidence", q.evidence(part))
		}
	}
	for key := range q.combinedSince {
		if since[key].IsZero() && q.quarantined[key] == nil {
			q.forgetWaiters(key)
		}
	}
	q.combined, q.combinedSince = combined, since
}

func countIncarnations(crashes []*crash) int {
	seen := map[incarnation]bool{}
	for _, c := range crashes {
		seen[c.incarnation] = true
	}

	return len(seen)
}

// decisive reports whether crashes under a part are enough to quarantine it, and since when they are. The caller holds the lock.
func (q *Quarantine) decisive(part string, crashes []*crash) (since time.Time, ok bool) {
	ordered := slices.Clone(crashes)
	slices.SortStableFunc(ordered, func(a, b *crash) int { return a.at.Compare(b.at) })
	seen := map[incarnation]bool{}
	prompts := promptCount{}
	var times []time.Time
	for _, c := range ordered {
		prompts.add(c.prompts[part])
		if seen[c.incarnation] {
			continue
		}
		seen[c.incarnation] = true
		times = append(times, c.at)
		n := occasions(times)
		enough := n >= quarantinedCrashes && prompts.distinct() >= independentPrompts
		if enough && 3*n >= 2*q.occasionsBetween(times[0], c.at) || len(seen) >= surelyCrashes {
			return c.at, true
		}
	}

	return time.Time{}, false
}

// promptCount counts the different prompts of some crashes; each one that is not known counts as another one.
type promptCount struct {
	known   map[string]bool
	unknown int
}

func (p *promptCount) add(prompts []string) {
	for _, prompt := range prompts {
		switch {
		case prompt == "":
			p.unknown++
		case p.known == nil:
			p.known = map[string]bool{prompt: true}
		default:
			p.known[prompt] = true
		}
	}
}

func (p *promptCount) distinct() int {
	return len(p.known) + p.unknown
}

// occasionsBetween returns on how many occasions servers crashed in a time, except for crashes under a quarantined part. The caller
// holds the lock.
func (q *Quarantine) occasionsBetween(from, to time.Time) int {
	var times []time.Time
	for _, c := range q.crashes {
		if !c.refuted() && !c.at.Before(from) && !c.at.After(to) && !q.explained(c) {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)

	return occasions(times)
}

// explained reports whether a server crashed under a part that is quarantined. The caller holds the lock.
func (q *Quarantine) explained(c *crash) bool {
	for part := range c.parts {
		if q.quarantined[part] != nil {
			return true
		}
	}

	return false
}

// occasions counts crashes, given the times of them in their order, without those that follow another one closely.
func occasions(times []time.Time) int {
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= occasionGap {
			n++
			last = at
		}
	}

	return n
}

// add quarantines a part, known from a source. The caller holds the lock.
func (q *Quarantine) add(part string, e *entry, source string, at time.Time) {
	if len(q.quarantined) >= maxQuarantined {
		decisions.Add("no_room", 1)

		return
	}
	q.quarantined[part] = e
	delete(q.suspected, part)
	delete(q.obsolete, part)
	q.wakeAt(e.until)
	decisions.Add("quarantined", 1)
	q.log.Warn("prompt part quarantined", "part", part, "source", source, "since", e.since, "until", e.until,
		"observed", e.observed, "evidence", q.evidence(part), "answered_at", q.answered.at(part), "age_ms", at.Sub(e.since).Milliseconds())
}

// evidence returns the servers that crashed under a part. The caller holds the lock.
func (q *Quarantine) evidence(part string) []string {
	var servers []string
	for _, c := range q.crashes {
		if !c.refuted() && c.parts[part] {
			servers = append(servers, c.incarnation.server)
		}
	}

	return servers
}
