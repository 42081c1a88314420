package bytebudget

// Share is what one message takes of a budget. It is used by one goroutine.
type Share struct {
	budget *Budget
	kind   string
	drop   func()
	held   int
	// counted is set while the share is in the budget's table, dropped once its message was dropped.
	counted bool
	dropped bool
}

// Resize sets the size of the message in bytes. It fails with ErrDropped if the message was dropped, or has to be.
func (s *Share) Resize(size int) error {
	if size <= freeBytes {
		size = 0
	}
	if size == 0 && !s.counted {
		return nil
	}
	victims, err := s.resize(size)
	for _, v := range victims {
		v.drop()
	}

	return err
}

func (s *Share) resize(size int) (victims []*Share, err error) {
	b := s.budget
	b.lock.Lock()
	defer b.lock.Unlock()
	if s.dropped {
		return nil, ErrDropped
	}
	s.counted = true
	b.shares[s] = struct{}{}
	b.used += size - s.held
	s.held = size
	for b.used > b.limit {
		v := b.largest(s)
		if v.held == 0 {
			break
		}
		b.release(v)
		v.dropped = true
		dropped.Add(v.kind, 1)
		if v == s {
			return victims, ErrDropped
		}
		victims = append(victims, v)
	}

	return victims, nil
}

// Close gives the bytes back.
func (s *Share) Close() {
	if !s.counted {
		return
	}
	s.budget.lock.Lock()
	defer s.budget.lock.Unlock()
	s.budget.release(s)
}
