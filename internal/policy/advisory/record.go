package advisory

import "time"

// Record is what a host tells other hosts about an upstream. Its times are ages, since the clocks of the hosts differ.
type Record struct {
	_    struct{}      `cbor:",toarray"`
	Rate float64       // limit in requests per second, negative if it was withdrawn
	Age  time.Duration // since the limit was stated or withdrawn
}

// withdrawnRate is the Rate of a Record of a limit that was withdrawn.
const withdrawnRate = -1

const (
	// withdrawalTTL is how long other hosts are told of a withdrawal. It is longer than a message takes to reach them all.
	withdrawalTTL = 30 * time.Second
	// maxMessageDelay bounds the time that a Record is on its way, in which it ages unnoticed.
	maxMessageDelay = 500 * time.Millisecond
)

// Record returns the Record to tell other hosts now. ok is false if there is nothing to tell, as of an unreadable limit, which says
// nothing that other hosts could not do without.
func (s *State) Record(now time.Time) (r Record, ok bool) {
	if s.limit.Unreadable() != "" {
		return Record{}, false
	}
	r = Record{Rate: s.limit.Rate(), Age: now.Sub(s.limitAt)}
	if !s.limit.IsNamed() {
		r.Rate = withdrawnRate
	}
	return r, s.limit.IsNamed() || !s.limitAt.IsZero() && r.Age < withdrawalTTL
}

// Merge records what another host has told and reports whether the limit changed. The newer statement counts, and of two that
// may be of the same time, the limit.
func (s *State) Merge(now time.Time, r Record) (changed bool) {
	at := now.Add(-max(r.Age, 0))
	switch old := s.limit; {
	case r.Rate >= 0 && (at.After(s.limitAt) || s.limit.Unreadable() != ""):
		s.limit, s.limitAt = NewLimit(r.Rate), at
		return s.limit != old
	case r.Rate < 0 && s.limit.IsNamed() && at.After(s.limitAt.Add(maxMessageDelay)):
		s.limit, s.limitAt = Limit{}, at
		return true
	}
	return false
}
