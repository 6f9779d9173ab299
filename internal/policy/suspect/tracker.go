package suspect

import (
	"cmp"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
)

// Config holds the settings of a Tracker; zero values get defaults.
type Config struct {
	Host            string        // id of this host
	SuspectDuration time.Duration // how long a request stays a suspect after a crash or a quarantine
	FirstQuarantine time.Duration // length of the first quarantine of a request; each further one is twice as long
	MaxQuarantine   time.Duration // upper bound of the length of a quarantine
	MaxEntries      int           // how many requests, suspected or quarantined, are remembered
}

const (
	maxDoublings    = 10                     // bounds the exponent of the length of a quarantine
	trialRetryDelay = 500 * time.Millisecond // advised to a request whose copy is on trial
)

func (c Config) withDefaults() Config {
	c.SuspectDuration = cmp.Or(c.SuspectDuration, 10*time.Minute)
	c.FirstQuarantine = cmp.Or(c.FirstQuarantine, 10*time.Minute)
	c.MaxQuarantine = cmp.Or(c.MaxQuarantine, 24*time.Hour)
	c.MaxEntries = cmp.Or(c.MaxEntries, 10_000)
	return c
}

// Tracker keeps the suspects and quarantines that are known to one host, and the requests that the host runs. It is not
// safe for concurrent use.
type Tracker struct {
	config         Config
	entries        map[Fingerprint]*suspectState
	runs           map[uint64]run                    // by id of the request
	runsByUpstream map[string]map[uint64]Fingerprint // ids of the running requests, by upstream
	insertionOrder []insertion                       // of entries, the oldest first, and of entries that were deleted since
	lastInsertion  uint64
	outages        map[string]outage    // by upstream
	turns          map[Fingerprint]Turn // turns of all hosts
	changedTurns   []Turn               // turns of this host that changed since TakeChangedTurns

	recalled []uint64 // ids of requests to stop, since TakeRecalled
}

// insertion is the insertion of an entry into a Tracker.
type insertion struct {
	print Fingerprint
	id    uint64
}

// suspectState is the state of one request that is or was a suspect.
type suspectState struct {
	insertion        uint64 // identifies the insertion of this entry
	crashes          int    // crashes of upstreams on which the request ran
	suspectUntil     time.Time
	quarantinedUntil time.Time
	quarantines      int // quarantines so far
	lastCrash        crash
	runningTrials    int           // runs of the request on this host that were started as a suspect
	maxOffset        int           // most output tokens received until a crash
	maxRunTime       time.Duration // longest time that the request ran until a crash
}

// run is a request that runs on an upstream.
type run struct {
	upstream       string
	print          Fingerprint
	started        time.Time
	onTrial        bool       // started as a suspect, and has not passed the trial
	passed         bool       // started as a suspect, and has passed the trial
	receivedTokens func() int // number of output tokens received so far; nil when unknown
}

// New returns an empty Tracker.
func New(c Config) *Tracker {
	return &Tracker{
		config:         c.withDefaults(),
		entries:        map[Fingerprint]*suspectState{},
		runs:           map[uint64]run{},
		runsByUpstream: map[string]map[uint64]Fingerprint{},
		outages:        map[string]outage{},
		turns:          map[Fingerprint]Turn{},
	}
}

// Check reports whether a request is a suspect, which must not be sent before its turn. The error is of kind Quarantined
// if the request must not run at all.
func (t *Tracker) Check(now time.Time, fp Fingerprint) (suspect bool, err error) {
	e := t.entries[fp]
	if e == nil {
		return false, nil
	}
	if left := e.quarantinedUntil.Sub(now); left > 0 {
		return true, kind.New(kind.Quarantined, "the request crashed the upstreams that ran it").WithRetry(left)
	}
	return now.Before(e.suspectUntil), nil
}

// Start records that a request was sent to an upstream. If the request is a suspect, this starts its trial.
// receivedTokens returns how many output tokens were received so far; it is nil if this is unknown.
func (t *Tracker) Start(now time.Time, fp Fingerprint, upstream string, requestID uint64, receivedTokens func() int) {
	e := t.entries[fp]
	trial := e != nil && now.Before(e.suspectUntil)
	if trial {
		e.runningTrials++
		t.markTurnRunning(now, fp)
	} else {
		t.endTurn(now, fp) // a turn is left over if the suspicion was retracted
	}
	t.runs[requestID] = run{upstream: upstream, print: fp, started: now, onTrial: trial, receivedTokens: receivedTokens}
	here := t.runsByUpstream[upstream]
	if here == nil {
		here = map[uint64]Fingerprint{}
		t.runsByUpstream[upstream] = here
	}
	here[requestID] = fp
}

// Finish records the end of a request on an upstream that has not crashed. complete reports whether the response was
// received completely; if so, a suspect is cleared.
func (t *Tracker) Finish(now time.Time, requestID uint64, complete bool) {
	r, ok := t.removeRun(now, requestID)
	if !ok || !complete {
		return
	}
	if r.started.After(t.outages[r.upstream].since) {
		delete(t.outages, r.upstream)
	}
	if !r.onTrial && !r.passed {
		return
	}
	if e := t.entries[r.print]; e != nil && now.After(e.quarantinedUntil) {
		delete(t.entries, r.print)
	}
}

// removeRun removes and returns a running request, and ends its turn if it is on trial.
func (t *Tracker) removeRun(now time.Time, requestID uint64) (run, bool) {
	r, ok := t.runs[requestID]
	if !ok {
		return run{}, false
	}
	delete(t.runs, requestID)
	delete(t.runsByUpstream[r.upstream], requestID)
	if len(t.runsByUpstream[r.upstream]) == 0 {
		delete(t.runsByUpstream, r.upstream)
	}
	if e := t.entries[r.print]; (r.onTrial || r.passed) && e != nil && e.runningTrials > 0 {
		e.runningTrials--
	}
	if r.onTrial {
		t.endTurn(now, r.print)
	}
	return r, true
}

// Crash records that an upstream crashed. Each request of this host that ran on the upstream becomes a suspect. If exactly
// one request was on trial there, on this host or another one, this request is the cause: its host quarantines it, and the
// other requests do not become suspects. Requests that were sent while the upstream was already down become neither.
//
// The results have to reach the other hosts before any of the requests is answered, so that a client that retries through
// another host does not bypass them.
func (t *Tracker) Crash(now time.Time, upstream string) ([]Suspicion, []Quarantine) {
	since, known := t.downSince(now, upstream)
	causeKnown := known && t.outages[upstream].causeKnown
	var trials []Fingerprint
	lostRuns := make([]run, 0, len(t.runsByUpstream[upstream]))
	for requestID, fp := range t.runsByUpstream[upstream] {
		r, ok := t.removeRun(now, requestID)
		if !ok || (known && r.started.After(since)) {
			continue
		}
		if r.onTrial {
			trials = append(trials, fp)
		}
		lostRuns = append(lostRuns, r)
	}
	if !known {
		since = now
	}
	elsewhere := t.remoteTrials(now, upstream)
	culpritHere := len(trials) == 1 && elsewhere == 0 && !causeKnown
	causeKnown = causeKnown || culpritHere || (len(trials) == 0 && elsewhere == 1)
	t.outages[upstream] = outage{since: since, lastSeen: now, causeKnown: causeKnown}
	switch {
	case culpritHere:
		return nil, []Quarantine{t.addQuarantine(now, trials[0], upstream)}
	case causeKnown:
		return nil, nil
	}
	suspicions := make([]Suspicion, 0, len(lostRuns))
	for _, r := range lostRuns {
		suspicions = append(suspicions, t.addSuspicion(now, r))
	}
	return suspicions, nil
}

// addSuspicion makes the request of r a suspect, after its upstream crashed.
func (t *Tracker) addSuspicion(now time.Time, r run) Suspicion {
	e := t.getOrCreate(r.print)
	e.crashes++
	e.suspectUntil = now.Add(t.config.SuspectDuration)
	e.maxRunTime = max(e.maxRunTime, now.Sub(r.started))
	e.lastCrash = crash{upstream: r.upstream, at: now}
	if r.receivedTokens != nil {
		e.maxOffset = max(e.maxOffset, r.receivedTokens())
	}
	s := Suspicion{Fingerprint: r.print, Crashes: e.crashes, Until: e.suspectUntil, Upstream: r.upstream, At: now, RunTime: e.maxRunTime, Offset: e.maxOffset}
	t.recallCopies(now, s)
	return s
}

// addQuarantine quarantines a request that crashed upstream, and clears the other requests that ran there.
func (t *Tracker) addQuarantine(now time.Time, fp Fingerprint, upstream string) Quarantine {
	e := t.getOrCreate(fp)
	e.crashes++
	length := min(t.config.FirstQuarantine<<min(e.quarantines, maxDoublings), t.config.MaxQuarantine)
	e.quarantines++
	e.quarantinedUntil = now.Add(length)
	e.suspectUntil = e.quarantinedUntil.Add(t.config.SuspectDuration)
	t.retractSuspicions(crash{upstream: upstream, at: now})
	return Quarantine{Fingerprint: fp, Until: e.quarantinedUntil, Upstream: upstream, At: now}
}

// getOrCreate returns the state of fp. If there is none, it adds one and evicts the oldest entries beyond MaxEntries.
func (t *Tracker) getOrCreate(fp Fingerprint) *suspectState {
	if e := t.entries[fp]; e != nil {
		return e
	}
	for len(t.entries) >= t.config.MaxEntries && len(t.insertionOrder) > 0 {
		oldest := t.insertionOrder[0]
		t.insertionOrder = t.insertionOrder[1:]
		if t.isPresent(oldest) {
			delete(t.entries, oldest.print)
		}
	}
	if len(t.insertionOrder) >= 2*t.config.MaxEntries {
		t.insertionOrder = slices.DeleteFunc(t.insertionOrder, func(i insertion) bool { return !t.isPresent(i) })
	}
	t.lastInsertion++
	e := &suspectState{insertion: t.lastInsertion}
	t.entries[fp] = e
	t.insertionOrder = append(t.insertionOrder, insertion{fp, e.insertion})
	return e
}

// isPresent reports whether the entry that was inserted has not been deleted since.
func (t *Tracker) isPresent(i insertion) bool {
	e := t.entries[i.print]
	return e != nil && e.insertion == i.id
}

// MergeQuarantine applies a quarantine that another host reported. The other requests that ran on the crashed upstream are
// cleared.
func (t *Tracker) MergeQuarantine(now time.Time, q Quarantine) {
	if !now.Before(q.Until) {
		return
	}
	t.mergeOutage(q.Upstream, q.At, true)
	t.retractSuspicions(crash{upstream: q.Upstream, at: q.At})
	e := t.getOrCreate(q.Fingerprint)
	if q.Until.After(e.quarantinedUntil) {
		e.quarantinedUntil = q.Until
		e.suspectUntil = q.Until.Add(t.config.SuspectDuration)
		e.quarantines++
	}
}

// MergeSuspicion applies a suspicion that another host reported, unless the cause of the crash is already known.
func (t *Tracker) MergeSuspicion(now time.Time, s Suspicion) {
	if !now.Before(s.Until) {
		return
	}
	t.mergeOutage(s.Upstream, s.At, false)
	if t.outages[s.Upstream].causeKnown {
		return
	}
	e := t.getOrCreate(s.Fingerprint)
	e.lastCrash = crash{upstream: s.Upstream, at: s.At}
	e.crashes = max(e.crashes, s.Crashes)
	e.maxRunTime, e.maxOffset = max(e.maxRunTime, s.RunTime), max(e.maxOffset, s.Offset)
	t.recallCopies(now, s)
	if s.Until.After(e.suspectUntil) {
		e.suspectUntil = s.Until
	}
}

// QuarantineCount returns the number of requests that are quarantined at now.
func (t *Tracker) QuarantineCount(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if now.Before(e.quarantinedUntil) {
			n++
		}
	}
	return n
}
