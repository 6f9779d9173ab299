// Package usage is a stand-in of the platform's interface for usage reports.
package usage

import (
	"encoding/json"
	"net/http"
	"reflect"
	"sync"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/usage"
)

// Faults are the faults of a Sink.
type Faults struct {
	Down   bool          `json:"down"`   // reports fail without effect
	Slow   time.Duration `json:"slow"`   // delay of each report
	Lose   int           `json:"lose"`   // so many coming reports are kept and their answers are lost
	Refuse int           `json:"refuse"` // so many coming reports are refused
	Ignore bool          `json:"ignore"` // old fences are not refused
}

// Sink keeps all reports and tells what no reporter may do.
type Sink struct {
	mu       sync.Mutex
	faults   Faults
	fence    uint64
	received []usage.Report
	first    map[int64]usage.Report
	wrong    []string
}

// New returns an empty Sink.
func New() *Sink { return &Sink{first: map[int64]usage.Report{}} }

// Set replaces the faults.
func (s *Sink) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Received returns every report that was kept, repeats included.
func (s *Sink) Received() []usage.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]usage.Report(nil), s.received...)
}

// Wrong returns the windows that were reported with other figures or under an old fence.
func (s *Sink) Wrong() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.wrong...)
}

// Reports returns the first report of each window.
func (s *Sink) Reports() map[int64]usage.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[int64]usage.Report, len(s.first))
	for w, r := range s.first {
		out[w] = r
	}
	return out
}

// Accept takes a report as the interface does. Lost means that it was kept and the answer is lost.
func (s *Sink) Accept(r usage.Report) (lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return false, kind.New(kind.Unavailable, "the interface is down")
	}
	if s.faults.Refuse > 0 {
		s.faults.Refuse--
		return false, kind.New(kind.Refused, "refused")
	}
	if r.Fence < s.fence && !s.faults.Ignore {
		return false, kind.New(kind.Fenced, "fence %d is older than %d", r.Fence, s.fence)
	}
	if err := s.keep(r); err != nil {
		return false, err
	}
	lost = s.faults.Lose > 0
	if lost {
		s.faults.Lose--
	}
	return lost, nil
}

// keep records a report and what is wrong with it.
func (s *Sink) keep(r usage.Report) error {
	s.received = append(s.received, r)
	if r.Fence < s.fence {
		s.wrong = append(s.wrong, r.ID+": old fence")
	}
	s.fence = max(s.fence, r.Fence)
	first, ok := s.first[r.Window]
	if !ok {
		s.first[r.Window] = r
		return nil
	}
	if len(first.Rows)+len(r.Rows) > 0 && !reflect.DeepEqual(first.Rows, r.Rows) {
		s.wrong = append(s.wrong, r.ID+": other figures")
		return kind.New(kind.Conflict, "%s was reported with other figures", r.ID)
	}
	return nil
}

// Handler returns the HTTP interface: `PUT /reports/ID`, `GET /reports`, `POST /fault`.
func (s *Sink) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /reports/{id}", s.put)
	mux.HandleFunc("GET /reports", func(w http.ResponseWriter, _ *http.Request) { write(w, s.Received()) })
	mux.HandleFunc("POST /fault", s.fault)
	return mux
}

func (s *Sink) put(w http.ResponseWriter, r *http.Request) {
	var report usage.Report
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	slow := s.faults.Slow
	s.mu.Unlock()
	time.Sleep(slow)
	lost, err := s.Accept(report)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), status(kind.Of(err)))
	}
}

func status(k kind.Kind) int {
	switch k {
	case kind.Fenced:
		return http.StatusPreconditionFailed
	case kind.Conflict:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Sink) fault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	write(w, struct{}{})
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return
	}
}
