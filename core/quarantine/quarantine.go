package quarantine

import (
	"expvar"
	"log/slog"
	"slices"
	"sync"
	"time"

	"tarragonwalk/core/backend"
)

const (
	// evidenceLife is how long a possible crash counts.
	evidenceLife = 5 * time.Minute
	// quarantineLife is how long a part stays in quarantine.
	quarantineLife = 3 * time.Minute
	// soundLife is how long before a lost connection a request with the same part may have been answered to show that the part is sound.
	soundLife = 2 * time.Second
	// crashSpan is the longest time between the connections that are lost in one crash; a server takes longer to start again.
	crashSpan = time.Second
	// reportMargin covers the time that a heartbeat about a lost connection takes.
	reportMargin = 300 * time.Millisecond
	// bufferMargin covers the time for which bytes of a server may be on the way after it has crashed.
	bufferMargin = 200 * time.Millisecond
	// combinedRetry is when a request with a combination of parts may be repeated: further requests soon show which part it is.
	combinedRetry = time.Second
	// maxCrashes, maxParts, maxPrompts of one part of a crash and maxQuarantined bound the memory and maxPartBytes the length of an ID.
	maxCrashes     = 64
	maxPrompts     = 4
	maxParts       = 48
	maxQuarantined = 64
	maxPartBytes   = 64
)

// decisions counts decisions on prompt parts, refused requests and items that wait.
var decisions = expvar.NewMap("QuarantineDecisions")

// entry is one quarantined part.
type entry struct {
	since time.Time
	until time.Time
	// observed is set if this instance has seen a crash under the part itself.
	observed bool
	saved    bool
}

// Quarantine decides which prompt parts are quarantined; its methods may be called concurrently.
type Quarantine struct {
	objects objects
	now     func() time.Time
	log     *slog.Logger

	// lock guards all fields below.
	lock     sync.Mutex
	answered recent
	// crashes are ordered by the time at which they were recorded.
	crashes     []*crash
	suspected   map[string]bool
	quarantined map[string]*entry
	// combined are parts that are quarantined only in combination with others, which the values include, and combinedSince is since when
	// each combination is, by its parts.
	combined      map[string][]string
	combinedSince map[string]time.Time
	// ownWaiters are the items of this instance that wait for each part or combination, and peerWaiters those of the others by instance.
	// self is the name of this instance, known from its first heartbeat.
	ownWaiters  map[string]waiters
	peerWaiters map[string]map[string]waiters
	self        string
	// cleared are the parts that this instance announces as sound until the given time.
	cleared map[string]time.Time
	// savedUntil are the combinations that are in the store, by name, and until when they count.
	savedUntil map[string]time.Time
	// obsolete are the quarantined parts whose objects in the store are to be deleted.
	obsolete map[string]bool
	// incarnations are the processes of the other instances, and joinedAt is when the last of them was new.
	incarnations map[string]string
	joinedAt     time.Time
	// nextAt is when the passage of time may next change a decision, zero if it cannot.
	nextAt time.Time
	// judgedAt is when the last decisions were made.
	judgedAt time.Time
}

// New returns a quarantine without parts that keeps its decisions in a store.
func New(o objects, now func() time.Time, log *slog.Logger) *Quarantine {
	return &Quarantine{
		objects:      o,
		now:          now,
		log:          log,
		suspected:    map[string]bool{},
		quarantined:  map[string]*entry{},
		cleared:      map[string]time.Time{},
		obsolete:     map[string]bool{},
		savedUntil:   map[string]time.Time{},
		incarnations: map[string]string{},
		ownWaiters:   map[string]waiters{},
		peerWaiters:  map[string]map[string]waiters{},
	}
}

// Quarantined returns the part of a request that is in quarantine, or the combination of parts, and until when; false if there is
// none. Of several it is the one with the most crashes, whose trial counts.
func (q *Quarantine) Quarantined(parts []string) (part string, until time.Time, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.quarantined)+len(q.combined) == 0 {
		return "", time.Time{}, false
	}
	h, ok := q.holdOf(parts, q.now())

	return h.key, h.until, ok
}

func containsAll(parts, subset []string) bool {
	return !slices.ContainsFunc(subset, func(p string) bool { return !slices.Contains(parts, p) })
}

// MayRetry reports whether a request that may have crashed a backend server may be sent to another one. It counts refusals.
func (q *Quarantine) MayRetry(parts []string) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, p := range parts {
		if q.suspected[p] || q.quarantined[p] != nil {
			decisions.Add("not_retried", 1)

			return false
		}
	}

	return true
}

// RecordRefusal counts a request, or an item that has to wait, because of its part.
func (*Quarantine) RecordRefusal(kind string) {
	decisions.Add(kind, 1)
}

// RecordLoss records that the connection of an attempt was lost before anything was answered. The ID of the prompt is that of the part that
// belongs to the request itself, so that repeats of a request count as one; it may be empty if it is not known.
func (q *Quarantine) RecordLoss(s backend.Server, prompt string, parts []string, at time.Time) {
	if len(parts) == 0 {
		return
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	c, _ := q.addLoss(incarnationOf(s), parts, []string{prompt}, at, 0)
	for _, p := range parts {
		if len(c.own) < maxParts && !slices.Contains(c.own, p) {
			c.own = append(c.own, p)
		}
		if e := q.quarantined[p]; e != nil {
			e.observed = true
		}
	}
	decisions.Add("losses", 1)
	q.log.Info("possible crash of a backend server", "server", s.ID, "started_at", s.StartedAt, "prompt", prompt, "parts", parts)
	q.judge(at)
}

// RecordProgress records that a part of an answer came at a time, to a request that was sent at another time: a connection that the
// backend server lost shortly before was no crash.
func (q *Quarantine) RecordProgress(s backend.Server, sentAt, at time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.refute(incarnationOf(s), aliveAt(sentAt, at), true) {
		q.judge(q.now())
	}
}

// RecordAnswer records that a request that was sent at a time has been answered by its first event, or completely.
func (q *Quarantine) RecordAnswer(s backend.Server, parts []string, sentAt, at time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	changed := q.refute(incarnationOf(s), aliveAt(sentAt, at), true)
	for _, p := range parts {
		q.answered.record(p, at)
		if q.clear(p) {
			q.cleared[p] = at.Add(announceLife)
			changed = true
		}
	}
	if changed {
		q.judge(q.now())
	}
}

// Review makes the decisions that depend on the passage of time.
func (q *Quarantine) Review() {
	q.lock.Lock()
	defer q.lock.Unlock()
	if at := q.now(); !q.nextAt.IsZero() && !at.Before(q.nextAt) {
		q.judge(at)
	}
}

func incarnationOf(s backend.Server) incarnation {
	return incarnation{
		server:    s.ID,
		startedAt: s.StartedAt,
	}
}

// aliveAt returns when a server certainly lived that has answered at a time.
func aliveAt(sentAt, at time.Time) time.Time {
	if sent := at.Add(-bufferMargin); sent.After(sentAt) {
		return sent
	}

	return sentAt
}

// addLoss adds parts to a possible crash, whose time is known with a margin, and reports whether that is new evidence. Each part has a
// prompt at its position; the last one stands for all further parts. The caller holds the lock.
func (q *Quarantine) addLoss(of incarnation, parts, prompts []string, at time.Time, margin time.Duration) (c *crash, added bool) {
	i := slices.IndexFunc(q.crashes, func(c *crash) bool { return c.includes(of, parts, at, margin) })
	if i < 0 {
		if len(q.crashes) >= maxCrashes {
			q.evict()
		}
		q.crashes = append(q.crashes, newCrash(of, at))
		i = len(q.crashes) - 1
	}
	c = q.crashes[i]
	for n, p := range parts {
		switch {
		case p == "" || len(p) > maxPartBytes:
		case q.sound(p, c.at):
			q.cleared[p] = q.now().Add(announceLife)
		case len(c.parts) < maxParts || c.parts[p]:
			isNew := c.lost(p, promptAt(prompts, n), at)
			added = added || isNew && !c.refuted()
		}
	}

	return c, added
}

// promptAt returns the prompt at a position, empty if it is not known.
func promptAt(prompts []string, n int) string {
	if len(prompts) == 0 {
		return ""
	}
	prompt := prompts[min(n, len(prompts)-1)]
	if len(prompt) > maxPartBytes {
		return ""
	}

	return prompt
}

// evict drops the oldest of the possible crashes that tell least: those that are withdrawn or have no part left, then those whose
// parts were lost with no other server. The caller holds the lock.
func (q *Quarantine) evict() {
	levels := levelsOf(q.crashes)
	worth := func(c *crash) int {
		if c.refuted() || len(c.parts) == 0 {
			return 0
		}
		for part := range c.parts {
			if levels[part] > 1 {
				return 2
			}
		}

		return 1
	}
	victim, least := 0, worth(q.crashes[0])
	for n, c := range q.crashes {
		if w := worth(c); w < least {
			victim, least = n, w
		}
	}
	q.crashes = slices.Delete(q.crashes, victim, victim+1)
}

// sound reports whether a request with a part has been answered since shortly before a time. The caller holds the lock.
func (q *Quarantine) sound(part string, at time.Time) bool {
	last := q.answered.at(part)

	return !last.IsZero() && last.After(at.Add(-soundLife))
}

// clear removes a part that is sound from the evidence and from quarantine, and reports whether it was there. The caller holds the lock.
func (q *Quarantine) clear(part string) (found bool) {
	for _, c := range q.crashes {
		if c.parts[part] && q.sound(part, c.at) {
			delete(c.parts, part)
			found = true
		}
	}
	if e := q.quarantined[part]; e != nil && q.sound(part, e.since) {
		q.release(part, "answered")
		found = true
	}

	return found
}

// refute withdraws possible crashes of an incarnation that lived soon after them, as this instance or another one has observed, and
// reports whether there were any. The caller holds the lock.
func (q *Quarantine) refute(of incarnation, aliveAt time.Time, observed bool) (changed bool) {
	for _, c := range q.crashes {
		d := aliveAt.Sub(c.at)
		if c.incarnation != of || c.refuted() || d <= 0 || d > crashSpan {
			continue
		}
		if left := c.since(aliveAt); left != nil {
			q.crashes = append(q.crashes, left)
		}
		c.refutedAt, c.announceRefutation = aliveAt, observed
		changed = true
		decisions.Add("no_crash", 1)
	}

	return changed
}

// release ends the quarantine of a part for a cause. The caller holds the lock.
func (q *Quarantine) release(part, cause string) {
	e := q.quarantined[part]
	delete(q.quarantined, part)
	q.forgetWaiters(part)
	if e.saved {
		q.obsolete[part] = true
	}
	decisions.Add("released", 1)
	q.log.Info("prompt part released from quarantine", "part", part, "cause", cause, "since", e.since, "until", e.until)
}
