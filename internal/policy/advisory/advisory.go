// Package advisory keeps what upstreams state about themselves in their responses.
//
// The package does no I/O; the current time is passed in.
package advisory

import "time"

// Statement is what one response states about the upstream that sent it.
type Statement struct {
	Limit Limit
}

// State is what an upstream stated last. It is not safe for concurrent use.
type State struct {
	limit      Limit
	limitAt    time.Time // when the limit was stated
	unreadable string    // the last statement of a limit, if it could not be read
}

// Observe records the statement of a response that arrived now to a request sent at sentAt. It reports whether the limit
// changed, or is stated in a new way that cannot be read. Responses may overtake each other, so only a response to a request
// that was sent after the limit had been stated withdraws it. A value that cannot be read leaves an earlier limit in force.
func (s *State) Observe(now, sentAt time.Time, st Statement) (changed bool) {
	old := *s
	switch {
	case st.Limit.IsNamed():
		s.limitAt, s.unreadable = now, st.Limit.Unreadable()
		if s.unreadable == "" || !s.limit.IsNamed() {
			s.limit = st.Limit
		}
	case s.limit.IsNamed() && sentAt.After(s.limitAt):
		s.limit, s.limitAt, s.unreadable = Limit{}, sentAt, ""
	}
	return s.limit != old.limit || s.unreadable != "" && s.unreadable != old.unreadable
}

// Limit returns the limit that is in force.
func (s *State) Limit() Limit { return s.limit }
