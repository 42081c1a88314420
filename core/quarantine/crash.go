package quarantine

import "time"

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
	// own are the parts that this instance reports to others, nil if it lost no connection itself.
	own []string
	// refutedAt is when the incarnation answered after that, zero if it did not.
	refutedAt time.Time
	// announceRefutation is set if this instance saw that answer.
	announceRefutation bool
}

// includes reports whether a connection that was lost at a time belongs to the same crash.
func (c *crash) includes(of incarnation, at time.Time) bool {
	if c.incarnation != of || at.Sub(c.at).Abs() > crashSpan {
		return false
	}

	return c.refutedAt.IsZero() || at.Before(c.refutedAt.Add(refutationMargin))
}

func (c *crash) refuted() bool {
	return !c.refutedAt.IsZero()
}
