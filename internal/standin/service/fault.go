package service

import (
	"encoding/json"
	"net/http"
)

// Crash drops all calls until Restore.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// Restore ends all faults.
func (s *Service) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.reject, s.cut, s.hang, s.cross = 0, 0, 0, 0
}

// Silence makes all open connections silent for good; new ones work.
func (s *Service) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.conns[c] = true
	}
}

// Reject makes the service reject the next n calls without executing them; -1 rejects all.
func (s *Service) Reject(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject = n
}

// Cut executes the next n calls and drops their connections before the answer.
func (s *Service) Cut(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = n
}

// Hang executes the next n calls and never answers them.
func (s *Service) Hang(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang = n
}

// Cross answers the next n calls under the id of another.
func (s *Service) Cross(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cross = n
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Service) isSilent(remote string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.conns[remote]
	s.conns[remote] = silent
	return silent
}

// isRejecting reports whether call is to be rejected, and records it if so.
func (s *Service) isRejecting(call Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !take(&s.reject) {
		return false
	}
	s.calls = append(s.calls, call)
	return true
}

func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

type order struct {
	Fault string `json:"fault"`
	Count int    `json:"count"`
}

func (s *Service) fault(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Count == 0 {
		o.Count = 1
	}
	switch o.Fault {
	case "crash":
		s.Crash()
	case "restore":
		s.Restore()
	case "silence":
		s.Silence()
	case "reject":
		s.Reject(o.Count)
	case "cut":
		s.Cut(o.Count)
	case "hang":
		s.Hang(o.Count)
	case "cross":
		s.Cross(o.Count)
	default:
		http.Error(w, "unknown fault "+o.Fault, http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
