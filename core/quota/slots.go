package quota

import "time"

const (
	// slotCount is the least number of time slots of a window.
	slotCount = 100
	// maxSlot bounds a slot, so that the requests of the last few hundred milliseconds can be told apart in long windows.
	maxSlot = 100 * time.Millisecond
)

// slots counts the requests of a sliding window in time slots. A slot counts until all of it has left the window.
type slots struct {
	width time.Duration
	// base is the start of slot 0. Times are compared with it, so that a step of the wall clock does not empty the window.
	base            time.Time
	newest          int64
	admitted, asked []int32
	// admittedSum and askedSum are the sums over all slots.
	admittedSum, askedSum int
}

func newSlots(window time.Duration, at time.Time) *slots {
	width := min(max(window/slotCount, time.Millisecond), maxSlot)
	count := (window+width-1)/width + 1

	return &slots{
		width:    width,
		base:     at,
		admitted: make([]int32, count),
		asked:    make([]int32, count),
	}
}

// count returns the number of slots, one more than fit into the window.
func (s *slots) count() int64 {
	return int64(len(s.asked))
}

// advance drops the slots that have left the window at a time.
func (s *slots) advance(at time.Time) {
	now := int64(at.Sub(s.base) / s.width)
	for range min(max(0, now-s.newest), s.count()) {
		s.newest++
		n := s.newest % s.count()
		s.admittedSum -= int(s.admitted[n])
		s.askedSum -= int(s.asked[n])
		s.admitted[n], s.asked[n] = 0, 0
	}
	s.newest = max(s.newest, now)
}

// ask counts a request that was received.
func (s *slots) ask() {
	s.asked[s.newest%s.count()]++
	s.askedSum++
}

// admit adds n admitted requests to a slot, unless it has left the window.
func (s *slots) admit(slot int64, n int) {
	if s.newest-slot >= s.count() {
		return
	}
	s.admitted[slot%s.count()] += int32(n) //nolint:gosec // 1 or -1
	s.admittedSum += n
}

// since returns the numbers of requests in the last span.
func (s *slots) since(span time.Duration) (admitted, asked int) {
	for n := range min(int64((span+s.width-1)/s.width), s.count()-1) + 1 {
		i := (s.newest - n + s.count()) % s.count()
		admitted += int(s.admitted[i])
		asked += int(s.asked[i])
	}

	return admitted, asked
}

// expiring returns the number of admitted requests that leave the window within a span.
func (s *slots) expiring(span time.Duration) (admitted int) {
	for n := range min(int64(span/s.width), s.count()) {
		admitted += int(s.admitted[(s.newest+1+n)%s.count()])
	}

	return admitted
}

// roomAt returns when at least n admitted requests will have left the window.
func (s *slots) roomAt(n float64, at time.Time) time.Time {
	sum := 0.0
	for i := range s.count() {
		sum += float64(s.admitted[(s.newest+1+i)%s.count()])
		if sum >= n {
			return s.base.Add(time.Duration(s.newest+1+i) * s.width)
		}
	}

	return at.Add(s.width * time.Duration(len(s.asked)))
}
