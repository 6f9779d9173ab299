// Package reach finds out whether a host reaches the upstreams of a service, from the connections that it opens.
//
// One upstream that does not answer has failed. The host then tries a few others. If none of them answers either, the host itself is
// cut off from the service. The package does no I/O; the current time is passed in.
package reach

import (
	"slices"
	"time"
)

const (
	// StallTime is how long the opening of a connection, or the first byte of a response, may take before the upstream counts as one
	// that does not answer. It exceeds a round trip between regions.
	StallTime = 200 * time.Millisecond
	// tries is the number of upstreams that are tried when one has not answered.
	tries = 3
	// roundTime bounds the wait for the results of the tries, of which one may never come.
	roundTime = 2 * time.Second
	// calmTime is how long failures are ignored after a try was answered.
	calmTime = 300 * time.Millisecond
	// cutTries and returnTries are the numbers of upstreams that are tried when a service has come to be out of reach, since some may
	// be within reach, and each time after that.
	cutTries, returnTries = 16, 4
	// minReturns is the number of upstreams that have to answer, one after the other, before a service is within reach again. Half
	// of them suffices as well.
	minReturns = 6
)

// Service tells which upstreams of one service the host reaches. It is not safe for concurrent use.
type Service struct {
	tried      []string  // upstreams that are tried, since another one did not answer, and have not failed yet
	triedAt    time.Time // when that began
	answeredAt time.Time // when one of them answered last

	cut     bool                 // the service is out of reach
	reached map[string]bool      // upstreams that have answered since then
	returns int                  // upstreams that have answered since any last failed
	lastTry map[string]time.Time // when each was tried last since then
}

// RecordOpened records that an upstream, of all upstreams that the host knows, has answered. It reports whether the upstreams within
// reach have changed.
func (s *Service) RecordOpened(now time.Time, upstream string, all []string) (changed bool) {
	if !s.cut {
		if len(s.tried) > 0 {
			s.tried, s.answeredAt = nil, now
		}
		return false
	}
	if s.reached[upstream] {
		return false
	}
	s.reached[upstream] = true
	s.returns++
	n := 0
	for _, id := range all {
		if s.reached[id] {
			n++
		}
	}
	if s.returns >= minReturns || 2*n >= len(all) {
		*s = Service{}
	}
	return true
}

// RecordFailed records that an upstream, of all upstreams that the host knows in the order in which they are to be tried, has not
// answered. It returns the upstreams to try now, and reports whether the upstreams within reach have changed.
func (s *Service) RecordFailed(now time.Time, upstream string, all []string) (try []string, changed bool) {
	if s.cut {
		s.returns = 0
		changed = s.reached[upstream]
		delete(s.reached, upstream)
		return nil, changed
	}
	if now.Sub(s.answeredAt) < calmTime {
		return nil, false
	}
	if len(s.tried) == 0 || now.Sub(s.triedAt) > roundTime {
		others := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == upstream })
		s.tried, s.triedAt = others[:min(tries, len(others))], now
		if len(s.tried) > 0 {
			return slices.Clone(s.tried), false
		}
	}
	if s.tried = slices.DeleteFunc(s.tried, func(id string) bool { return id == upstream }); len(s.tried) > 0 {
		return nil, false
	}
	*s = Service{cut: true, reached: map[string]bool{}, lastTry: map[string]time.Time{}}
	return nil, true
}

// IsCut reports whether most upstreams are out of reach.
func (s *Service) IsCut() bool { return s.cut }

// Reaches reports whether an upstream is within reach.
func (s *Service) Reaches(upstream string) bool { return !s.cut || s.reached[upstream] }

// Return returns the upstreams to try now since they are out of reach, of all that the host knows: those that were tried least
// recently, in the order of all.
func (s *Service) Return(now time.Time, all []string) []string {
	if !s.cut {
		return nil
	}
	n := returnTries
	if len(s.lastTry) == 0 {
		n = cutTries
	}
	list := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return s.reached[id] })
	slices.SortStableFunc(list, func(a, b string) int { return s.lastTry[a].Compare(s.lastTry[b]) })
	list = list[:min(n, len(list))]
	for _, id := range list {
		s.lastTry[id] = now
	}
	return list
}
