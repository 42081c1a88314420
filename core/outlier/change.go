package outlier

import (
	"log/slog"
	"time"
)

// change is the ejection or the return of a server, with the evidence for it.
type change struct {
	server  string
	ejected bool
	// cause is why the server returns.
	cause string
	// failures and requests are this instance's own outcomes, heardFailures and heardRequests those of heardFrom other instances.
	failures, requests           int
	heardFailures, heardRequests int
	heardFrom                    int
	// heardAt is when the newest failure happened that another instance reported, zero if none did.
	heardAt time.Time
	// othersRate is the share of failures at the other servers.
	othersRate float64
	// until is when the first probe may be sent, or when a server that returns gets its full share.
	until time.Time
}

// log logs and counts the change.
func (c change) log(log *slog.Logger, service string, at time.Time) {
	attributes := []any{
		"server", c.server, "service", service, "failures", c.failures, "requests", c.requests,
		"heard_failures", c.heardFailures, "heard_requests", c.heardRequests, "heard_from", c.heardFrom, "others_rate", c.othersRate,
		"until", c.until,
	}
	if !c.heardAt.IsZero() {
		attributes = append(attributes, "heard_age_ms", at.Sub(c.heardAt).Milliseconds())
	}
	if c.ejected {
		ejections.Add("ejected", 1)
		log.Warn("backend server ejected", attributes...)
	} else {
		ejections.Add("returned, "+c.cause, 1)
		log.Info("backend server returns", append(attributes, "cause", c.cause)...)
	}
}
