package exchange

import (
	"sync"
	"time"

	"hickorypath/internal/policy/suspect"
)

// SuspectTracker is a suspect.Tracker for concurrent use. It publishes the turns that change and recalls runs.
type SuspectTracker struct {
	publishTurn func(suspect.Turn)
	publishMu   sync.Mutex // held until changed turns are published, to keep their order; taken before mu
	mu          sync.Mutex
	tracker     *suspect.Tracker
	lastRunID   uint64
	recalls     map[uint64]func() // by run id
}

// NewSuspectTracker returns an empty SuspectTracker. publishTurn sends a turn of this host to the other hosts.
func NewSuspectTracker(config suspect.Config, publishTurn func(suspect.Turn)) *SuspectTracker {
	return &SuspectTracker{tracker: suspect.New(config), publishTurn: publishTurn, recalls: map[uint64]func(){}}
}

// update calls f under the lock and publishes the turns that f changed.
func (s *SuspectTracker) update(f func()) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.mu.Lock()
	f()
	changed := s.tracker.TakeChangedTurns()
	s.mu.Unlock()
	for _, t := range changed {
		s.publishTurn(t)
	}
}

// Check reports whether a request is a suspect. It returns an error if the request must not run.
func (s *SuspectTracker) Check(now time.Time, p suspect.Fingerprint) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Check(now, p)
}

// Admit reports whether a request may be sent now; a suspect may be sent only to the upstream of its turn. t is the
// turn that the previous call returned, and next is to be passed to the next call.
func (s *SuspectTracker) Admit(now time.Time, p suspect.Fingerprint, t suspect.Turn, upstreams func() []string) (next suspect.Turn, ready bool, err error) {
	if isSuspect, err := s.Check(now, p); err != nil || !isSuspect {
		s.LeaveQueue(now, t)
		return suspect.Turn{}, err == nil, err
	}
	list := upstreams()
	s.update(func() { next, ready, err = s.tracker.Admit(now, p, t, list) })
	return next, ready, err
}

// LeaveQueue ends the turn of a suspect that will not be sent.
func (s *SuspectTracker) LeaveQueue(now time.Time, t suspect.Turn) {
	if t.Upstream != "" {
		s.update(func() { s.tracker.LeaveQueue(now, t) })
	}
}

// RunCallbacks are the functions that a SuspectTracker calls for a run; both may be nil.
type RunCallbacks struct {
	Recall func()     // called when a copy of the request crashed another upstream
	Offset func() int // returns how many output tokens were received
}

// Start records that a request was sent to an upstream and returns the id of the run.
func (s *SuspectTracker) Start(now time.Time, p suspect.Fingerprint, upstream string, r RunCallbacks) (run uint64) {
	s.update(func() {
		s.lastRunID++
		run = s.lastRunID
		if r.Recall != nil {
			s.recalls[run] = r.Recall
		}
		s.tracker.Start(now, p, upstream, run, r.Offset)
	})
	return run
}

// RecordProgress records how many output tokens a run has received and reports whether no further calls are needed
// for this run, because it is not on trial or has passed the trial.
func (s *SuspectTracker) RecordProgress(now time.Time, run uint64, offset int) (done bool) {
	s.update(func() { done = s.tracker.RecordProgress(now, run, offset) })
	return done
}

// ScheduleTrialPass lets a run pass its trial after it has lasted for its trial time. It is meant for runs whose
// output tokens are not seen while they run. A run that is not on trial is left as it is.
func (s *SuspectTracker) ScheduleTrialPass(now func() time.Time, run uint64) {
	s.mu.Lock()
	d, ok := s.tracker.TrialTime(run)
	s.mu.Unlock()
	if ok {
		s.passTrialAfter(d, now, run)
	}
}

func (s *SuspectTracker) passTrialAfter(d time.Duration, now func() time.Time, run uint64) {
	time.AfterFunc(d, func() {
		var again time.Duration
		s.update(func() { again = s.tracker.PassTrial(now(), run) })
		if again > 0 {
			s.passTrialAfter(again, now, run)
		}
	})
}

// Finish records the end of a run; whole reports whether the response was received completely.
func (s *SuspectTracker) Finish(now time.Time, run uint64, whole bool) {
	s.update(func() {
		delete(s.recalls, run)
		s.tracker.Finish(now, run, whole)
	})
}

// Crash records that an upstream crashed and returns the suspicions and quarantines to report to the other hosts.
func (s *SuspectTracker) Crash(now time.Time, upstream string) (suspicions []suspect.Suspicion, quarantines []suspect.Quarantine) {
	s.update(func() {
		suspicions, quarantines = s.tracker.Crash(now, upstream)
		s.callRecalls()
	})
	return suspicions, quarantines
}

// callRecalls calls the Recall function of each run that was recalled. The caller holds the lock.
func (s *SuspectTracker) callRecalls() {
	for _, run := range s.tracker.TakeRecalled() {
		if stop, ok := s.recalls[run]; ok {
			stop()
		}
	}
}

// MergeQuarantine applies a quarantine that another host reported.
func (s *SuspectTracker) MergeQuarantine(now time.Time, q suspect.Quarantine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.MergeQuarantine(now, q)
}

// MergeSuspicion applies a suspicion that another host reported.
func (s *SuspectTracker) MergeSuspicion(now time.Time, q suspect.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.MergeSuspicion(now, q)
	s.callRecalls()
}

// MergeTurn applies a turn that another host reported.
func (s *SuspectTracker) MergeTurn(now time.Time, t suspect.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.MergeTurn(now, t)
}
