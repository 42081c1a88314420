package quarantine

import (
	"slices"
	"time"
)

// incarnation identifies one process of a backend server.
type incarnation struct {
	server    string
	startedAt int
}

// crash is a possible crash of a backend server.
type crash struct {
	incarnation incarnation
	at          time.Time
	// parts are those of unanswered requests, except for the ones that are known to be sound.
	parts map[string]bool
	// lostAt is when a request with each part last lost its connection, and prompts are the IDs of some of these requests' prompts.
	lostAt  map[string]time.Time
	prompts map[string][]string
	// own are the parts that this instance reports to others, nil if it lost no connection itself.
	own []string
	// refutedAt is when the incarnation was known to live after that, zero if it was not.
	refutedAt time.Time
	// announceRefutation is set if this instance saw that the incarnation lived.
	announceRefutation bool
}

func newCrash(of incarnation, at time.Time) *crash {
	return &crash{
		incarnation: of,
		at:          at,
		parts:       map[string]bool{},
		lostAt:      map[string]time.Time{},
		prompts:     map[string][]string{},
	}
}

// includes reports whether parts whose connections were lost at a time, known with a margin, belong to the same crash. A loss that
// follows the last sign of life is another one, unless it is an old report that comes again.
func (c *crash) includes(of incarnation, parts []string, at time.Time, margin time.Duration) bool {
	if c.incarnation != of || at.Sub(c.at).Abs() > crashSpan {
		return false
	}
	if !c.refuted() || !at.After(c.refutedAt) {
		return true
	}

	return at.Before(c.refutedAt.Add(margin)) && !slices.ContainsFunc(parts, func(p string) bool { return !c.parts[p] })
}

// lost adds a part of a prompt whose connection was lost at a time, and reports whether it is new.
func (c *crash) lost(part, prompt string, at time.Time) bool {
	if known := c.prompts[part]; len(known) < maxPrompts && !slices.Contains(known, prompt) {
		c.prompts[part] = append(known, prompt)
	}
	if at.After(c.lostAt[part]) {
		c.lostAt[part] = at
	}
	isNew := !c.parts[part]
	c.parts[part] = true

	return isNew
}

// since returns the crash that is left after a sign of life, nil if there is none.
func (c *crash) since(aliveAt time.Time) *crash {
	left := newCrash(c.incarnation, time.Time{})
	for part := range c.parts {
		at := c.lostAt[part]
		if !at.After(aliveAt) {
			continue
		}
		for _, prompt := range c.prompts[part] {
			left.lost(part, prompt, at)
		}
		if left.at.IsZero() || at.Before(left.at) {
			left.at = at
		}
		if slices.Contains(c.own, part) {
			left.own = append(left.own, part)
		}
	}
	if len(left.parts) == 0 {
		return nil
	}

	return left
}

func (c *crash) refuted() bool {
	return !c.refutedAt.IsZero()
}

// promptsOf returns one prompt of each of some parts.
func (c *crash) promptsOf(parts []string) []string {
	list := make([]string, 0, len(parts))
	for _, part := range parts {
		list = append(list, promptAt(c.prompts[part], 0))
	}

	return list
}
