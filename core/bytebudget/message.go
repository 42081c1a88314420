package bytebudget

// message is what one message takes of a budget. It is used by one goroutine.
type message struct {
	budget *Budget
	kind   string
	drop   func()
	held   int
	// counted is set while the message is in the budget's table, dropped once it was dropped.
	counted bool
	dropped bool
}

func (m *message) resize(size int) error {
	if size <= freeBytes {
		size = 0
	}
	if size == 0 && !m.counted {
		return nil
	}
	victims, err := m.take(size)
	for _, v := range victims {
		v.drop()
	}

	return err
}

// take sets the bytes that the message holds and returns the messages that were dropped for it.
func (m *message) take(size int) (victims []*message, err error) {
	b := m.budget
	b.lock.Lock()
	defer b.lock.Unlock()
	if m.dropped {
		b.release(m)

		return nil, ErrDropped
	}
	m.counted = true
	b.messages[m] = struct{}{}
	grows := size > m.held
	b.used += size - m.held
	m.held = size
	for b.used > b.limit {
		v := b.largest(m)
		if v.held == 0 {
			break
		}
		if v == m {
			return victims, m.refuse()
		}
		b.dropMessage(v)
		victims = append(victims, v)
	}
	if grows && size > patientBytes && b.ending > b.limit/2 {
		return victims, m.refuse()
	}

	return victims, nil
}

// refuse drops a message that has asked for more than there is; it needs the budget's lock.
func (m *message) refuse() error {
	m.budget.release(m)
	m.dropped = true
	dropped.Add(m.kind, 1)

	return ErrDropped
}

func (m *message) end() {
	if !m.counted {
		return
	}
	m.budget.lock.Lock()
	defer m.budget.lock.Unlock()
	m.budget.release(m)
}
