package instance

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// advice is what an instance tells the hosts in its responses, other than its limit, and what they send nevertheless. It is safe
// for concurrent use.
type advice struct {
	mu     sync.Mutex
	leaves bool
	pause  time.Duration        // asked for in the response to each request that is turned away; 0 for no pause
	toldAt map[string]time.Time // by host, when it was first told that the instance leaves
	pauses []Pause
	late   []string       // requests that came too late after that
	calls  map[string]int // by host
}

// Pause is a span in which a host should send nothing.
type Pause struct {
	Host     string
	From, To time.Time
	Came     []string // requests of the host that came nevertheless: when, and which
}

// IsKept reports whether no more requests came than may.
func (p Pause) IsKept() bool { return len(p.Came) <= maxPauseCalls }

const (
	// drainTime is how long after a host was told that the instance leaves it may send requests.
	drainTime = 2 * time.Second
	// pauseGrace is the time after a response in which requests may be on their way.
	pauseGrace = 500 * time.Millisecond
	// maxPauseCalls is the number of requests that may come during a pause.
	maxPauseCalls = 2
)

// Leave makes the instance state in all its responses that it leaves.
func (s *Server) Leave() {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	s.advice.leaves = true
}

// TurnAway makes the instance reject all requests and ask for a pause; 0 ends it.
func (s *Server) TurnAway(pause time.Duration) {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	s.advice.pause = pause
}

// CallsFrom returns the number of requests of a host.
func (s *Server) CallsFrom(host string) int {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	return s.advice.calls[host]
}

// IsKnownToLeave reports whether a host was told that the instance leaves, and how long ago.
func (s *Server) IsKnownToLeave(host string) (since time.Duration, ok bool) {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	at, ok := s.advice.toldAt[host]
	return time.Since(at), ok
}

// Violations returns the requests that came later than drainTime after their host was told that the instance leaves, and the pauses
// in which more than maxPauseCalls came.
func (s *Server) Violations() []string {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	all := append([]string(nil), s.advice.late...)
	for _, p := range s.advice.pauses {
		if !p.IsKept() {
			all = append(all, fmt.Sprintf("%d requests of %s in a pause of %s", len(p.Came), p.Host, p.To.Sub(p.From).Round(time.Millisecond)))
		}
	}
	return all
}

// Pauses returns the spans in which hosts should have sent nothing.
func (s *Server) Pauses() []Pause {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	return slices.Clone(s.advice.pauses)
}

// advise records a request of a host and adds what the instance states to its response. It reports whether the request is turned away.
func (a *advice) advise(w http.ResponseWriter, host, id string) (turnedAway bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.calls == nil {
		a.calls, a.toldAt = map[string]int{}, map[string]time.Time{}
	}
	a.calls[host]++
	if told, ok := a.toldAt[host]; ok && now.Sub(told) > drainTime {
		a.late = append(a.late, fmt.Sprintf("request %s came %s after its host was told that the instance leaves", id, now.Sub(told).Round(time.Millisecond)))
	}
	for i, p := range a.pauses {
		if p.Host == host && now.After(p.From) && now.Before(p.To) {
			a.pauses[i].Came = append(p.Came, now.Format("05.000 ")+id)
		}
	}
	if a.leaves {
		w.Header().Set("Server-Leaving", "1")
		if a.toldAt[host].IsZero() {
			a.toldAt[host] = now
		}
	}
	if a.pause == 0 {
		return false
	}
	a.pauses = append(a.pauses, Pause{Host: host, From: now.Add(pauseGrace), To: now.Add(a.pause)})
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(a.pause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
