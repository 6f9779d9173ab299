package advisory

import (
	"strconv"
	"strings"
	"time"
)

// Brittle tells whether a response states that the upstreams of its service are brittle: that one which has to reject more than some
// requests in a second for want of room fails. The zero value states nothing.
type Brittle struct {
	stated     bool
	rejections int // in a second that an upstream bears
	unreadable string
}

// ParseBrittle returns what the values of a header field state, without values nothing. A value is the number of rejections in a second
// that an upstream bears; the lowest of several counts. A value that is no such number counts as 0.
func ParseBrittle(values ...string) Brittle {
	if len(values) == 0 {
		return Brittle{}
	}
	text, found := strings.Join(values, ","), Brittle{}
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseUint(strings.Trim(part, " \t"), 10, 31)
		if err == nil && (!found.stated || int(n) < found.rejections) {
			found = Brittle{stated: true, rejections: int(n)}
		}
	}
	if !found.stated {
		return Brittle{stated: true, unreadable: strconv.Quote(text[:min(len(text), maxUnreadableLen)])}
	}
	return found
}

// IsStated reports whether the upstreams are brittle.
func (b Brittle) IsStated() bool { return b.stated }

// Rejections returns how many rejections in a second an upstream bears.
func (b Brittle) Rejections() int { return b.rejections }

// Unreadable returns the beginning of the quoted value if it is no number, and "" otherwise.
func (b Brittle) Unreadable() string { return b.unreadable }

// Brittleness is what a host knows of whether the upstreams of one service are brittle. The zero value is that they never stated it.
type Brittleness struct {
	statedAt time.Time // when one of them stated it last
	soundAt  time.Time // when a request was sent last whose response did not state it
}

const (
	// soundTime is how long after the last statement a request is sent whose response shows that all upstreams of the service are sound
	// again. They become so together, and a host may have no request at some of them.
	soundTime = time.Second
	// recoveryTime is how long an upstream that is sound again tells of the others. Later they may have become brittle without it.
	recoveryTime = 5 * time.Second
	// brittleTTL bounds the effect of a statement on a host that gets no response of the service. All responses of others renew it.
	brittleTTL = 30 * time.Second
)

// Observe records that a response which arrived now states it.
func (b *Brittleness) Observe(now time.Time) {
	if now.After(b.statedAt) {
		b.statedAt = now
	}
}

// ObserveSound records that the response to a request sent at sentAt does not state it. It is for upstreams of which State.ObserveSound
// reports that they tell of the others.
func (b *Brittleness) ObserveSound(sentAt time.Time) {
	if sentAt.After(b.soundAt) {
		b.soundAt = sentAt
	}
}

// BrittleRecord is what a host tells other hosts of the Brittleness of a service. Its times are ages, since the clocks of the hosts differ.
type BrittleRecord struct {
	_        struct{}      `cbor:",toarray"`
	Age      time.Duration // since it was stated
	SoundAge time.Duration // since a request was sent whose response did not state it; negative if that was before
}

// Record returns the record to tell other hosts now. ok is false if there is nothing to tell.
func (b *Brittleness) Record(now time.Time) (r BrittleRecord, ok bool) {
	r = BrittleRecord{Age: now.Sub(b.statedAt), SoundAge: -1}
	if b.soundAt.After(b.statedAt) {
		r.SoundAge = now.Sub(b.soundAt)
	}
	return r, !b.statedAt.IsZero() && r.Age < brittleTTL
}

// Merge records what another host has told. What differs by no more than a message may have been under way is the same statement.
func (b *Brittleness) Merge(now time.Time, r BrittleRecord) {
	if at := now.Add(-max(r.Age, 0)); at.After(b.statedAt.Add(maxMessageDelay)) {
		b.statedAt = at
	}
	if at := now.Add(-r.SoundAge); r.SoundAge >= 0 && at.After(b.soundAt.Add(maxMessageDelay)) {
		b.soundAt = at
	}
}

// Holds reports whether some upstreams of the service may be brittle now.
func (b *Brittleness) Holds(now time.Time) bool {
	return !b.statedAt.IsZero() && b.soundAt.Sub(b.statedAt) < soundTime && now.Sub(b.statedAt) < brittleTTL
}

// ObserveBrittle records that a response which arrived now states that the upstream is brittle.
func (s *State) ObserveBrittle(now time.Time) {
	if now.After(s.brittleAt) {
		s.brittleAt, s.recovered = now, time.Time{}
	}
}

// ObserveSound records that the response to a request sent at sentAt does not state that the upstream is brittle. It reports whether that
// tells of the other upstreams of the service: one that has not stated it itself may be sound beside brittle ones, as may one that has
// recovered alone.
func (s *State) ObserveSound(sentAt time.Time) (tellsOfOthers bool) {
	if sentAt.After(s.soundAt) {
		s.soundAt = sentAt
	}
	if s.brittleAt.IsZero() || !sentAt.After(s.brittleAt) {
		return false
	}
	if s.recovered.IsZero() {
		s.recovered = sentAt
	}
	return sentAt.Sub(s.recovered) < recoveryTime
}

// IsBrittle reports whether the upstream is brittle, as one of a service: it, or another one of the service, has stated so since a request
// was sent whose response did not. An upstream that has just started has stated nothing.
func (s *State) IsBrittle(now time.Time, b Brittleness) bool {
	return b.Holds(now) && b.statedAt.After(s.soundAt)
}

// ObserveRejection records that the upstream rejected a request for want of room.
func (s *State) ObserveRejection(now time.Time) {
	if now.After(s.rejectedAt) {
		s.rejectedAt = now
	}
}

// MergeRejection records that another host has told of a rejection age ago, and reports whether that is new.
func (s *State) MergeRejection(now time.Time, age time.Duration) bool {
	at := now.Add(-max(age, 0))
	if !at.After(s.rejectedAt) {
		return false
	}
	s.rejectedAt = at
	return true
}

const (
	// rejectionTTL is how long a rejection for want of room keeps the hosts from using all of a brittle upstream.
	rejectionTTL = 4 * time.Second
	// fullTime is how long a brittle upstream gets no requests after a rejection. It exceeds the second in which rejections add up.
	fullTime = 1100 * time.Millisecond
)

// RejectionAge returns how long ago the upstream rejected a request for want of room. ok is false if that is rejectionTTL ago or longer.
func (s *State) RejectionAge(now time.Time) (age time.Duration, ok bool) {
	if s.rejectedAt.IsZero() || now.Sub(s.rejectedAt) >= rejectionTTL {
		return 0, false
	}
	return now.Sub(s.rejectedAt), true
}

// BrittleShare returns how many requests this host may have at a time at the upstream, which is brittle and runs up to slots requests. The
// hosts divide the slots among them by rank, so that no host depends on what the others send at the same moment.
func (s *State) BrittleShare(now time.Time, f *Fleet, slots int) int {
	if age, ok := s.RejectionAge(now); ok {
		if age < fullTime {
			return 0
		}
		slots = (slots + 1) / 2
	}
	return s.share(f, slots)
}

// share returns this host's part of the slots.
func (s *State) share(f *Fleet, slots int) int {
	if s.ranked != f {
		s.ranked, s.rank = f, f.rank(s.upstream)
	}
	return f.share(s.rank, slots)
}

// rank returns how many hosts come before this one for an upstream.
func (f *Fleet) rank(upstream uint64) (n int) {
	own := mix(upstream ^ f.self)
	for _, h := range f.hosts {
		if mix(upstream^h) > own {
			n++
		}
	}
	return n
}

// share returns the part of n things that belongs to the host with a rank.
func (f *Fleet) share(rank, n int) int {
	share := n / f.Size()
	if rank < n%f.Size() {
		share++
	}
	return share
}
