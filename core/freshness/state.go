package freshness

import (
	"sync"
	"time"
)

const (
	// OwnRead is the source of evidence that this instance has read from the store itself.
	OwnRead = "store"
	// transitTime covers the way of a heartbeat from its sender, which its age does not contain.
	transitTime = 50 * time.Millisecond
	// pauseLimit is the time without a sign of work above which this process is considered to have been paused.
	pauseLimit = time.Second
	// settleTime is how long after a pause heartbeats are no evidence: the machine's network may have held them during the pause.
	settleTime = 300 * time.Millisecond
)

// State holds the latest time at which the store had no newer version than the one in force. Versions in force only rise, so the
// time remains valid for later ones. All times are those of one clock that counts while the process is frozen; the wall clock and
// the clocks of other instances are never compared with them. A State is safe for concurrent use.
type State struct {
	bound time.Duration
	// lock guards all fields below.
	lock sync.Mutex
	// at is the latest time, zero if there is no evidence, and source is who found out: OwnRead or the name of an instance.
	at     time.Time
	source string
	// activeAt is when this process last showed a sign of work, settledAt when heartbeats are evidence again after a pause.
	activeAt  time.Time
	settledAt time.Time
}

// New returns a state without evidence; a configuration is fresh for bound after the evidence.
func New(bound time.Duration) *State {
	return &State{
		bound: bound,
	}
}

// RecordRead records that the store has shown a version in answer to a read that was sent at a time. A version other than the one in
// force is no evidence: an older one comes from a read that the store answered from stale state, and a newer one was not applied.
func (s *State) RecordRead(version, inForce int64, sentAt time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if version != inForce {
		return false
	}
	s.advance(sentAt, OwnRead)

	return true
}

// RecordPeer records that another instance, whose version is given, has known for the given time that the store had no newer one. The
// message was received at a time, and arrived at this machine at arrivedAfter or later. If the version is newer than the one in force,
// this instance is behind and the message is no evidence.
func (s *State) RecordPeer(peer string, version, inForce int64, age time.Duration, arrivedAfter, at time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.markActive(at)
	if version > inForce || version == 0 || age < 0 || at.Before(s.settledAt) || arrivedAfter.After(at) {
		return false
	}
	s.advance(arrivedAfter.Add(-age-transitTime), peer)

	return true
}

// MarkActive records that this process works at a time. It is to be called several times a second, so that pauses are noticed.
func (s *State) MarkActive(at time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.markActive(at)
}

// At returns the latest time at which the version in force was known to be the newest, zero if there is none, and who found out.
func (s *State) At() (at time.Time, source string) {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.at, s.source
}

// Fresh reports whether the evidence is recent enough at a time.
func (s *State) Fresh(at time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return !s.at.IsZero() && !at.Before(s.at) && at.Sub(s.at) <= s.bound
}

// advance is called with the lock.
func (s *State) advance(at time.Time, source string) {
	if at.After(s.at) {
		s.at, s.source = at, source
	}
}

// markActive is MarkActive for callers that hold the lock.
func (s *State) markActive(at time.Time) {
	if !s.activeAt.IsZero() && at.Sub(s.activeAt) > pauseLimit {
		s.settledAt = at.Add(settleTime)
	}
	if at.After(s.activeAt) {
		s.activeAt = at
	}
}
