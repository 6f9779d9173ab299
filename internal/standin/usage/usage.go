// Package usage is a stand-in for the platform's API that receives usage reports.
package usage

import (
	"maps"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/standin/httpjson"
	"hickorypath/internal/state/usage"
)

// Faults configures the faults of a Sink.
type Faults struct {
	Down         bool              `json:"down"`   // reports fail without effect
	Slow         settings.Duration `json:"slow"`   // delay of each report
	LoseReplies  int               `json:"lose"`   // number of coming reports that are recorded but whose responses are lost
	Refuse       int               `json:"refuse"` // number of coming reports that are refused
	IgnoreFences bool              `json:"ignore"` // reports with an old fencing token are not refused
}

// Sink records all usage reports and detects reports that violate the protocol.
type Sink struct {
	mu            sync.Mutex
	faults        Faults
	fence         uint64 // highest fencing token received
	received      []usage.Report
	firstByWindow map[int64]usage.Report // first report of each window
	violations    []string
}

// New returns an empty Sink.
func New() *Sink { return &Sink{firstByWindow: map[int64]usage.Report{}} }

// SetFaults replaces the faults in effect.
func (s *Sink) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Received returns all recorded reports in order of arrival, including repeated ones.
func (s *Sink) Received() []usage.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// Violations returns the reports that repeated a window with different figures or carried an old fencing token.
func (s *Sink) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// FirstReports returns the first report of each window.
func (s *Sink) FirstReports() map[int64]usage.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.firstByWindow)
}

// Accept handles a report as the platform does. An error of kind.Lost means that the report was recorded but the
// response is lost.
func (s *Sink) Accept(r usage.Report) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := &s.faults; {
	case f.Down:
		return kind.New(kind.Refused, "the interface is down")
	case f.Refuse > 0:
		f.Refuse--
		return kind.New(kind.Refused, "refused")
	case r.FencingToken < s.fence && !f.IgnoreFences:
		return kind.New(kind.Fenced, "fence %d is older than %d", r.FencingToken, s.fence)
	}
	if err := s.record(r); err != nil {
		return err
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return kind.New(kind.Lost, "the answer is lost")
	}
	return nil
}

// record stores a report and notes whether it violates the protocol.
func (s *Sink) record(r usage.Report) error {
	s.received = append(s.received, r)
	if r.FencingToken < s.fence {
		s.violations = append(s.violations, r.ID+": old fence")
	}
	s.fence = max(s.fence, r.FencingToken)
	first, ok := s.firstByWindow[r.Window]
	if !ok {
		s.firstByWindow[r.Window] = r
		return nil
	}
	if len(first.Rows)+len(r.Rows) > 0 && !reflect.DeepEqual(first.Rows, r.Rows) {
		s.violations = append(s.violations, r.ID+": other figures")
		return kind.New(kind.Conflict, "%s was reported with other figures", r.ID)
	}
	return nil
}

// Handler returns the HTTP API: `PUT /reports/ID`, `GET /reports`, `POST /fault`.
func (s *Sink) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /reports/{id}", httpjson.HandleBody(s.put))
	mux.HandleFunc("GET /reports", httpjson.HandleGet(func() ([]usage.Report, error) { return s.Received(), nil }))
	mux.HandleFunc("POST /fault", httpjson.HandleBody(httpjson.NeverFails(s.SetFaults)))
	return mux
}

func (s *Sink) put(r usage.Report) error {
	s.mu.Lock()
	slow := s.faults.Slow
	s.mu.Unlock()
	time.Sleep(time.Duration(slow))
	return s.Accept(r)
}
