// Package advisory keeps what upstreams state about themselves in their responses.
//
// The package does no I/O; the current time is passed in.
package advisory

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Statement is what one response states about the upstream that sent it.
type Statement struct {
	Limit   Limit
	Version string // of the upstream's software, empty if not stated
	Leaving Leaving
	Pause   Pause
	Brittle Brittle
	// Rejected is set if the upstream did not run the request, for want of room as far as its status tells.
	Rejected bool
}

// State is what an upstream stated last. It is not safe for concurrent use.
type State struct {
	upstream   uint64 // identifier of the upstream, the same on all hosts
	limit      Limit
	limitAt    time.Time // when the limit was stated
	unreadable string    // the last statement of a limit, if it could not be read
	cold       Cold      // how much the upstream takes while it is cold; zero unless it is
	pacer      pacer
	paceSince  time.Time // since when requests are sent at a rate that stands in for an unreadable limit; zero unless they are
	departure  departure
	pausedTo   time.Time // before which the upstream wants no requests of this host
	brittleAt  time.Time // when it stated last that it is brittle
	recovered  time.Time // when the first request after that was sent whose response did not state it; zero if there is none
	soundAt    time.Time // when a request was sent last whose response did not state that the upstream is brittle
	rejectedAt time.Time // when the upstream rejected a request for want of room last
	ranked     *Fleet    // in which the host has the rank
	rank       int       // of the host for the upstream
}

// NewState returns the State of an upstream that has stated nothing. The name identifies the upstream on all hosts.
func NewState(name string) *State { return &State{upstream: xxhash.Sum64String(name)} }

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

// Cold is how many requests an upstream that has just started takes from all hosts together. The zero value is no bound.
type Cold struct {
	Rate  float64 // requests per second
	Burst float64 // requests beyond the rate that it tolerates in one second
}

// SetCold bounds the requests to an upstream that is cold, together with the limit that the upstream states. The zero value ends the bound.
func (s *State) SetCold(c Cold) { s.cold = c }

// isBounded reports whether the upstream takes only so many requests per second.
func (s *State) isBounded() bool { return s.limit.IsNamed() || s.cold.Rate > 0 }

// MaySend reports whether this host may send a request to the upstream now. The clocks of the hosts in f must agree to within a
// few hundred milliseconds.
func (s *State) MaySend(now time.Time, f *Fleet) bool {
	if !s.isBounded() {
		s.pacer, s.paceSince = pacer{}, time.Time{}
		return true
	}
	_, s.pacer.longest = s.cold.pace()
	s.pacer.setRate(now, s.rate(now))
	s.pacer.refill(now, s.upstream, f)
	return len(s.pacer.unused) > 0
}

// rate returns how many requests per second the upstream takes.
func (s *State) rate(now time.Time) float64 {
	switch cold, _ := s.cold.pace(); {
	case !s.limit.IsNamed():
		s.paceSince = time.Time{}
		return cold
	case cold > 0:
		return min(s.limitRate(now), cold)
	}
	return s.limitRate(now)
}

// limitRate returns the limit in requests per second. The one that stands in for an unreadable limit grows, since nobody knows how much
// the upstream takes.
func (s *State) limitRate(now time.Time) float64 {
	if s.limit.Unreadable() == "" {
		s.paceSince = time.Time{}
		return s.limit.Rate()
	}
	if s.paceSince.IsZero() || now.Before(s.paceSince) {
		s.paceSince = now
	}
	doublings := math.Floor(now.Sub(s.paceSince).Seconds() / unreadableDoubling.Seconds())
	return min(s.limit.Rate()*math.Exp2(doublings), MaxRate)
}

// SendsWithin returns how many requests this host may send to the upstream within d from now, but at most limit.
func (s *State) SendsWithin(now time.Time, f *Fleet, d time.Duration, limit int) int {
	s.MaySend(now, f)
	if !s.isBounded() {
		return limit
	}
	return s.pacer.countUntil(now.Add(d), s.upstream, f, limit)
}

// Permit is the permission to send one request under the limit of an upstream. The zero value was given without a limit.
type Permit struct {
	rate  float64   // under which it was given, in requests per second; 0 without a limit
	until time.Time // when it expires
}

// RecordSend counts a request that MaySend has allowed, and returns the permission to send it.
func (s *State) RecordSend() Permit {
	if len(s.pacer.unused) == 0 {
		return Permit{}
	}
	p := Permit{rate: s.pacer.rate, until: s.pacer.unused[0].Add(s.pacer.validity())}
	s.pacer.unused = s.pacer.unused[1:]
	return p
}

// Renew reports whether a request may be sent now that was permitted earlier. If that permission has expired, or was given under a
// higher limit or none, the request takes a new one.
func (s *State) Renew(now time.Time, f *Fleet, p Permit) (renewed Permit, ok bool) {
	if !s.isBounded() {
		return Permit{}, true
	}
	mayTake := s.MaySend(now, f)
	if p.rate > 0 && p.rate <= s.pacer.rate && now.Before(p.until) {
		return p, true
	}
	if !mayTake {
		return Permit{}, false
	}
	return s.RecordSend(), true
}

// Snapshot returns a copy of the state, for questions that must not change it.
func (s *State) Snapshot() *State {
	c := *s
	c.pacer.unused = slices.Clone(s.pacer.unused)
	return &c
}

// Limit returns the limit that is in force.
func (s *State) Limit() Limit { return s.limit }
