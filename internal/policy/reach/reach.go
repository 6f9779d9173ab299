// Package reach finds out which upstreams of a service a host reaches, from the connections that it opens.
//
// When an upstream does not answer, the host tries a few others. If one of them answers, the first is out of reach by itself; if none does,
// the host is cut off from the service. The package does no I/O; the current time is passed in.
package reach

import (
	"maps"
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
	// calmTime is how long after a try was answered the next upstream that does not answer is out of reach without further tries.
	calmTime = 300 * time.Millisecond
	// retryTime is the time between two tries of an upstream that is out of reach by itself, and firstRetryTime that until the first: the
	// opening packet may have been lost.
	retryTime, firstRetryTime = 400 * time.Millisecond, 100 * time.Millisecond
	// cutTries and returnTries are the numbers of upstreams that are tried when a service has come to be out of reach, since some may
	// be within reach, and each time after that. stalledTries bounds those of upstreams that are out of reach by themselves.
	cutTries, returnTries, stalledTries = 16, 4, 8
	// minReturns is the number of upstreams that have to answer, one after the other, before a service is within reach again. Half
	// of them suffices as well.
	minReturns = 6
)

// Service tells which upstreams of one service the host reaches. It is not safe for concurrent use.
type Service struct {
	failed     []string        // upstreams that have not answered since others are tried
	tried      []string        // upstreams that are tried, since another one did not answer, and have not failed yet
	triedAt    time.Time       // when that began
	answeredAt time.Time       // when one of them answered last
	stalled    map[string]bool // upstreams that have not answered while others did

	cut     bool                 // the service is out of reach
	reached map[string]bool      // upstreams that have answered since then
	returns int                  // upstreams that have answered since any last failed
	lastTry map[string]time.Time // when each upstream that is out of reach was tried last
}

// RecordOpened records that an upstream, of all upstreams that the host knows, has answered. It reports whether the upstreams within
// reach have changed.
func (s *Service) RecordOpened(now time.Time, upstream string, all []string) (changed bool) {
	if !s.cut {
		if len(s.tried) > 0 {
			for _, id := range s.failed {
				s.stall(now, id)
			}
			changed = len(s.failed) > 0
			s.failed, s.tried, s.answeredAt = nil, nil, now
		}
		changed = changed || s.stalled[upstream]
		delete(s.stalled, upstream)
		return changed
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
	if len(s.tried) > 0 && now.Sub(s.triedAt) <= roundTime {
		s.failed = append(s.failed, upstream)
		s.tried = without(s.tried, upstream)
		return nil, len(s.tried) == 0 && s.cutOff()
	}
	if s.stalled[upstream] {
		return nil, false
	}
	others := slices.DeleteFunc(without(all, upstream), func(id string) bool { return s.stalled[id] })
	if now.Sub(s.answeredAt) < calmTime {
		if len(others) > 0 {
			s.stall(now, upstream)
		}
		return nil, len(others) > 0
	}
	others = append(others, slices.DeleteFunc(without(all, upstream), func(id string) bool { return !s.stalled[id] })...)
	s.failed, s.tried, s.triedAt = []string{upstream}, others[:min(tries, len(others))], now
	return slices.Clone(s.tried), len(s.tried) == 0 && s.cutOff()
}

// without returns a copy of list without id.
func without(list []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == id })
}

// stall records that an upstream is out of reach by itself.
func (s *Service) stall(now time.Time, upstream string) {
	if s.stalled == nil {
		s.stalled, s.lastTry = map[string]bool{}, map[string]time.Time{}
	}
	s.stalled[upstream], s.lastTry[upstream] = true, now.Add(firstRetryTime-retryTime)
}

// cutOff records that the service is out of reach. It returns true.
func (s *Service) cutOff() bool {
	*s = Service{cut: true, reached: map[string]bool{}, lastTry: map[string]time.Time{}}
	return true
}

// IsCut reports whether most upstreams are out of reach.
func (s *Service) IsCut() bool { return s.cut }

// IsWhole reports whether all upstreams are within reach.
func (s *Service) IsWhole() bool { return !s.cut && len(s.stalled) == 0 }

// Reaches reports whether an upstream is within reach.
func (s *Service) Reaches(upstream string) bool {
	if s.cut {
		return s.reached[upstream]
	}
	return !s.stalled[upstream]
}

// Return returns the upstreams to try now since they are out of reach, of all that the host knows: those that were tried least
// recently, in the order of all.
func (s *Service) Return(now time.Time, all []string) []string {
	if s.IsWhole() {
		return nil
	}
	n := returnTries
	switch {
	case !s.cut:
		n = stalledTries
	case len(s.lastTry) == 0:
		n = cutTries
	}
	maps.DeleteFunc(s.stalled, func(id string, _ bool) bool { return !slices.Contains(all, id) })
	list := slices.DeleteFunc(slices.Clone(all), func(id string) bool {
		return s.Reaches(id) || !s.cut && now.Sub(s.lastTry[id]) < retryTime
	})
	slices.SortStableFunc(list, func(a, b string) int { return s.lastTry[a].Compare(s.lastTry[b]) })
	list = list[:min(n, len(list))]
	for _, id := range list {
		s.lastTry[id] = now
	}
	return list
}
