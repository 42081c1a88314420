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
		return nil, ErrDropped
	}
	m.counted = true
	b.messages[m] = struct{}{}
	b.used += size - m.held
	m.held = size
	for b.used > b.limit {
		v := b.largest(m)
		if v.held == 0 {
			break
		}
		b.release(v)
		v.dropped = true
		dropped.Add(v.kind, 1)
		if v == m {
			return victims, ErrDropped
		}
		victims = append(victims, v)
	}

	return victims, nil
}

func (m *message) end() {
	if !m.counted {
		return
	}
	m.budget.lock.Lock()
	defer m.budget.lock.Unlock()
	m.budget.release(m)
}
