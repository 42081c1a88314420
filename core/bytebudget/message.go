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
		m.shrink(size)

		return nil, ErrDropped
	}
	m.counted = true
	b.messages[m] = struct{}{}
	before := m.held
	b.used += size - before
	m.held = size
	for b.used > b.limit {
		v := b.largest(m)
		if v.held == 0 {
			break
		}
		if v == m {
			return victims, m.refuse(before)
		}
		b.dropMessage(v)
		victims = append(victims, v)
	}
	if size > before && size > patientBytes && b.ending > b.limit/2 {
		return victims, m.refuse(before)
	}

	return victims, nil
}

// refuse drops a message that holds a number of bytes and has asked for more than there is; it needs the budget's lock.
func (m *message) refuse(held int) error {
	m.budget.used -= m.held - held
	m.held = held
	m.budget.dropMessage(m)
	m.shrink(held)

	return ErrDropped
}

// shrink sets the bytes that a dropped message still holds when its receiver is told. A large one counts until it gives its memory back: its
// receiver may have to wait for processor time before it does. It needs the budget's lock.
func (m *message) shrink(size int) {
	if m.held <= patientBytes {
		size = 0
	}
	if size < m.held {
		m.budget.ending -= m.held - size
		m.held = size
	}
}

func (m *message) end() {
	if !m.counted {
		return
	}
	m.budget.lock.Lock()
	defer m.budget.lock.Unlock()
	m.budget.release(m)
}
