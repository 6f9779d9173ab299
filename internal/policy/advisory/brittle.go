package advisory

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
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

// Brittleness is when the upstreams of one service stated last, as far as a host knows, that they are brittle. The zero value is that they
// never did.
type Brittleness struct{ statedAt time.Time }

// Observe records that a response which arrived now states it.
func (b *Brittleness) Observe(now time.Time) {
	if now.After(b.statedAt) {
		b.statedAt = now
	}
}

// Merge records that another host has told that it was stated age ago. What differs by no more than a message may have been under way is
// the same statement.
func (b *Brittleness) Merge(now time.Time, age time.Duration) {
	if at := now.Add(-max(age, 0)); at.After(b.statedAt.Add(maxMessageDelay)) {
		b.statedAt = at
	}
}

// IsKnown reports whether it was ever stated.
func (b *Brittleness) IsKnown() bool { return !b.statedAt.IsZero() }

// Age returns how long ago it was stated.
func (b *Brittleness) Age(now time.Time) time.Duration { return now.Sub(b.statedAt) }

// ObserveSound records that the response to a request sent at sentAt does not state that the upstream is brittle.
func (s *State) ObserveSound(sentAt time.Time) {
	if sentAt.After(s.soundAt) {
		s.soundAt = sentAt
	}
}

// IsBrittle reports whether the upstream is brittle, as one of a service: it, or another one of the service, has stated so since a request
// was sent whose response did not. An upstream that has just started has stated nothing.
func (s *State) IsBrittle(b Brittleness) bool { return b.statedAt.After(s.soundAt) }

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

// HasBrittleShare reports whether any of the upstream's slots belong to this host.
func (s *State) HasBrittleShare(f *Fleet, slots int) bool { return s.share(f, slots) > 0 }

// share returns this host's part of the slots.
func (s *State) share(f *Fleet, slots int) int {
	if s.ranked != f {
		s.ranked, s.rank = f, f.rank(s.upstream)
	}
	return f.share(s.rank, slots)
}

// HostID identifies a host in a Fleet.
type HostID uint64

// NewHostID returns the identifier of the host with a name.
func NewHostID(name string) HostID { return HostID(hostID(name)) }

// Sharing returns the hosts to which slots of a brittle upstream belong.
func (f *Fleet) Sharing(upstream string, slots int) []HostID {
	id := xxhash.Sum64String(upstream)
	hosts := slices.SortedFunc(slices.Values(f.hosts), func(a, b uint64) int { return cmp.Compare(mix(id^b), mix(id^a)) })
	return lo.Map(hosts[:min(slots, len(hosts))], func(h uint64, _ int) HostID { return HostID(h) })
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
