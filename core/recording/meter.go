package recording

import (
	"time"

	"tarragonwalk/core/inference"
)

// meter measures the time between the events of one request. The gaps exclude the time that the caller spends on an
// event, so that a slow caller does not count as a slow backend server. It reads the clock twice per event and allocates
// nothing.
type meter struct {
	sink  func(inference.Event) error
	now   func() time.Time
	limit time.Duration
	began time.Time

	offset       int
	tokens       int
	first        time.Duration
	sinkReturned time.Time
	slow         int
	finished     bool
}

func (m *meter) record(e inference.Event) error {
	if e.Offset > m.offset {
		at := m.now()
		if m.tokens == 0 {
			m.first = at.Sub(m.began)
		} else if at.Sub(m.sinkReturned) > m.limit {
			m.slow++
		}
		m.tokens++
		m.offset = e.Offset
	}
	m.finished = m.finished || e.Finish != ""
	var err error
	if m.sink != nil {
		err = m.sink(e)
	}
	m.sinkReturned = m.now()

	return err
}
