package advisory

import (
	"strconv"
	"strings"
	"time"
)

// Pause is the time for which an upstream wants no requests of the host that it has told. The zero value is no pause.
type Pause struct {
	length     time.Duration
	unreadable string
}

const (
	// MaxPause bounds a Pause, so that a wrong value does not keep requests from an upstream for good.
	MaxPause = time.Minute
	// unreadablePause stands in for a value that is no time.
	unreadablePause = time.Second
)

// ParsePause returns the Pause that the values of a header field state, in seconds with an optional fraction. The longest one
// counts.
func ParsePause(values ...string) Pause {
	if len(values) == 0 {
		return Pause{}
	}
	text, longest, found := strings.Join(values, ","), 0.0, false
	for part := range strings.SplitSeq(text, ",") {
		if seconds, ok := parseRate(strings.Trim(part, " \t")); ok {
			longest, found = max(longest, seconds), true
		}
	}
	if !found {
		return Pause{length: unreadablePause, unreadable: strconv.Quote(text[:min(len(text), maxUnreadableLen)])}
	}
	return Pause{length: time.Duration(min(longest, MaxPause.Seconds()) * float64(time.Second))}
}

// NewPause returns the Pause of a length, MaxPause at most.
func NewPause(d time.Duration) Pause { return Pause{length: min(max(d, 0), MaxPause)} }

// Length returns the length of the pause, 0 without one.
func (p Pause) Length() time.Duration { return p.length }

// Unreadable returns the beginning of the quoted value if it is no time, and "" otherwise.
func (p Pause) Unreadable() string { return p.unreadable }

// ObservePause records that a response that arrived now asks this host for a pause. A shorter pause does not end a longer one.
func (s *State) ObservePause(now time.Time, p Pause) {
	if end := now.Add(p.Length()); end.After(s.pausedTo) {
		s.pausedTo = end
	}
}

// PausedFor returns for how much longer the upstream wants no requests of this host, 0 if it takes them.
func (s *State) PausedFor(now time.Time) time.Duration { return max(s.pausedTo.Sub(now), 0) }
