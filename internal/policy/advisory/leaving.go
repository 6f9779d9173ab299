package advisory

import (
	"strconv"
	"strings"
	"time"
)

// Leaving tells whether a response states that its upstream leaves. The zero value states nothing.
type Leaving struct {
	stated     bool
	unreadable string
}

// ParseLeaving returns what the values of a header field state: 1 that the upstream leaves, 0 and no value that it does not. One
// value of several that states it suffices. Any other value counts as if it stated it, since an upstream that leaves must get no
// requests.
func ParseLeaving(values ...string) Leaving {
	text, found := strings.Join(values, ","), Leaving{}
	if len(values) == 0 {
		return found
	}
	for part := range strings.SplitSeq(text, ",") {
		switch strings.Trim(part, " \t") {
		case "0":
		case "1":
			return Leaving{stated: true}
		default:
			found = Leaving{stated: true, unreadable: strconv.Quote(text[:min(len(text), maxUnreadableLen)])}
		}
	}
	return found
}

// IsStated reports whether the upstream leaves.
func (l Leaving) IsStated() bool { return l.stated }

// Unreadable returns the beginning of the quoted value if it is neither 0 nor 1, and "" otherwise.
func (l Leaving) Unreadable() string { return l.unreadable }

// departure is what is known of an upstream that leaves.
type departure struct {
	since     time.Time // when it was first known; zero unless the upstream leaves
	statedAt  time.Time // when it was stated last
	revokedAt time.Time // when a request was sent whose response did not state it any more
}

// leavingTTL is how long an upstream counts as leaving after it has stated it. It is longer than upstreams stay after that, and
// bounds the effect of a wrong response.
const leavingTTL = time.Minute

// ObserveLeaving records whether a response that arrived now to a request sent at sentAt states that the upstream leaves. It
// reports whether that is new. As of limits, only a response to a request that was sent after the statement withdraws it.
func (s *State) ObserveLeaving(now, sentAt time.Time, l Leaving) (changed bool) {
	_, before := s.LeavingFor(now)
	switch d := &s.departure; {
	case l.IsStated():
		if !before {
			d.since = now
		}
		d.statedAt = now
	case before && sentAt.After(d.statedAt):
		*d = departure{revokedAt: sentAt}
	}
	_, after := s.LeavingFor(now)
	return before != after
}

// MergeLeaving records that another host has told that the upstream stated age ago that it leaves. It reports whether that is new.
func (s *State) MergeLeaving(now time.Time, age time.Duration) (changed bool) {
	at := now.Add(-max(age, 0))
	if !at.After(s.departure.revokedAt) || now.Sub(at) >= leavingTTL {
		return false
	}
	_, before := s.LeavingFor(now)
	if !before {
		s.departure.since = now
	}
	if at.After(s.departure.statedAt) {
		s.departure.statedAt = at
	}
	return !before
}

// LeavingFor returns since when this host knows that the upstream leaves. ok is false if it does not leave.
func (s *State) LeavingFor(now time.Time) (d time.Duration, ok bool) {
	if s.departure.since.IsZero() || now.Sub(s.departure.statedAt) >= leavingTTL {
		return 0, false
	}
	return now.Sub(s.departure.since), true
}

// LeavingAge returns how long ago the upstream stated that it leaves, for the other hosts. ok is false if it does not leave.
func (s *State) LeavingAge(now time.Time) (age time.Duration, ok bool) {
	_, ok = s.LeavingFor(now)
	return now.Sub(s.departure.statedAt), ok
}
