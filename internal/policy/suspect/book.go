package suspect

import (
	"cmp"
	"time"

	"hickorypath/internal/core/kind"
)

// Config holds the times of a Book; zero values get defaults.
type Config struct {
	Suspect    time.Duration // how long a request stays a suspect after a crash
	Quarantine time.Duration // first quarantine; each further one lasts twice as long
	Longest    time.Duration // longest quarantine
	Size       int           // suspects and quarantines remembered
}

const (
	maxDoublings = 10
	trialRetry   = 500 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.Suspect = cmp.Or(c.Suspect, 10*time.Minute)
	c.Quarantine = cmp.Or(c.Quarantine, 10*time.Minute)
	c.Longest = cmp.Or(c.Longest, 24*time.Hour)
	c.Size = cmp.Or(c.Size, 10_000)
	return c
}

// Book keeps the suspects and quarantines that one host knows. It is not safe for concurrent use.
type Book struct {
	config  Config
	entries map[Print]*entry
	runs    map[uint64]run
	on      map[string]map[uint64]Print // requests by upstream
	order   []Print                     // entries by age, for the bound on size
	down    map[string]outage           // of crashed upstreams
}

// entry is what is known of one suspect.
type entry struct {
	crashes     int
	suspect     time.Time // until when it is a suspect
	quarantine  time.Time // until when it is quarantined
	quarantines int
	running     int // runs of it on this host
}

// outage is the time in which an upstream was found down.
type outage struct {
	since, seen time.Time
}

type run struct {
	upstream string
	print    Print
	started  time.Time
	trial    bool // started as a suspect
}

// New returns an empty Book.
func New(c Config) *Book {
	return &Book{
		config:  c.withDefaults(),
		entries: map[Print]*entry{},
		runs:    map[uint64]run{},
		on:      map[string]map[uint64]Print{},
		down:    map[string]outage{},
	}
}

// Check tells whether a request is a suspect, which must be placed where no other suspect runs. The
// error is of kind Quarantined when the request must not run at all, and of kind Unavailable when the
// same request already runs as a suspect: one more run of it would tell nothing and could crash one
// more upstream.
func (b *Book) Check(now time.Time, p Print) (suspect bool, err error) {
	e := b.entries[p]
	if e == nil {
		return false, nil
	}
	if left := e.quarantine.Sub(now); left > 0 {
		return true, kind.New(kind.Quarantined, "the request crashed the upstreams that ran it").WithRetry(left)
	}
	if !now.Before(e.suspect) {
		return false, nil
	}
	if e.running > 0 {
		return true, kind.New(kind.Unavailable, "the same request is on trial after a crash").WithRetry(trialRetry)
	}
	return true, nil
}

// Start notes that a request was sent to an upstream. A suspect is taken to be placed as the only
// suspect there.
func (b *Book) Start(now time.Time, p Print, upstream string, request uint64) {
	e := b.entries[p]
	trial := e != nil && now.Before(e.suspect)
	if trial {
		e.running++
	}
	b.runs[request] = run{upstream: upstream, print: p, started: now, trial: trial}
	here := b.on[upstream]
	if here == nil {
		here = map[uint64]Print{}
		b.on[upstream] = here
	}
	here[request] = p
}

// Finish notes the end of a request on an upstream that goes on. A suspect whose answer was whole is
// cleared.
func (b *Book) Finish(now time.Time, request uint64, whole bool) {
	r, ok := b.take(request)
	if !ok || !whole {
		return
	}
	if r.started.After(b.down[r.upstream].since) {
		delete(b.down, r.upstream)
	}
	if !r.trial {
		return
	}
	if e := b.entries[r.print]; e != nil && now.After(e.quarantine) {
		delete(b.entries, r.print)
	}
}

func (b *Book) take(request uint64) (run, bool) {
	r, ok := b.runs[request]
	if !ok {
		return run{}, false
	}
	delete(b.runs, request)
	delete(b.on[r.upstream], request)
	if len(b.on[r.upstream]) == 0 {
		delete(b.on, r.upstream)
	}
	if e := b.entries[r.print]; r.trial && e != nil && e.running > 0 {
		e.running--
	}
	return r, true
}

// Crash notes that an upstream crashed. Each request that ran there becomes a suspect; if exactly one
// of them was a suspect already, it is quarantined and its neighbours are not suspects. Requests that
// were sent to an upstream which was down before are neither. Both results are for the other hosts,
// too, before any of the requests gets its answer.
func (b *Book) Crash(now time.Time, upstream string) ([]Suspicion, []Quarantine) {
	since, known := b.downSince(now, upstream)
	var trials []Print
	all := make([]Print, 0, len(b.on[upstream]))
	for request, p := range b.on[upstream] {
		r, ok := b.take(request)
		if !ok || (known && r.started.After(since)) {
			continue
		}
		if r.trial {
			trials = append(trials, p)
		}
		all = append(all, p)
	}
	if !known {
		since = now
	}
	b.down[upstream] = outage{since: since, seen: now}
	if len(trials) == 1 {
		return nil, []Quarantine{b.quarantine(now, trials[0], upstream)}
	}
	out := make([]Suspicion, 0, len(all))
	for _, p := range all {
		out = append(out, b.suspect(now, p, upstream))
	}
	return out, nil
}

// downSince returns since when an upstream is known to be down. What was last seen some time ago does
// not count: the upstream may have come back without an answer to this host.
func (b *Book) downSince(now time.Time, upstream string) (since time.Time, known bool) {
	o, known := b.down[upstream]
	if known && now.Sub(o.seen) > downExpiry {
		delete(b.down, upstream)
		return time.Time{}, false
	}
	return o.since, known
}

// downExpiry is below the time that an engine takes to load its model again.
const downExpiry = 15 * time.Second

// crashed takes another host's word that an upstream crashed.
func (b *Book) crashed(upstream string, at time.Time) {
	if upstream != "" && at.After(b.down[upstream].since) {
		b.down[upstream] = outage{since: at, seen: at}
	}
}

func (b *Book) suspect(now time.Time, p Print, upstream string) Suspicion {
	e := b.entry(p)
	e.crashes++
	e.suspect = now.Add(b.config.Suspect)
	return Suspicion{Print: p, Crashes: e.crashes, Until: e.suspect, Upstream: upstream, At: now}
}

func (b *Book) quarantine(now time.Time, p Print, upstream string) Quarantine {
	e := b.entry(p)
	e.crashes++
	length := min(b.config.Quarantine<<min(e.quarantines, maxDoublings), b.config.Longest)
	e.quarantines++
	e.quarantine = now.Add(length)
	e.suspect = e.quarantine.Add(b.config.Suspect)
	return Quarantine{Print: p, Until: e.quarantine, Upstream: upstream, At: now}
}

// entry returns the entry of p, making room for it when the Book is full.
func (b *Book) entry(p Print) *entry {
	if e := b.entries[p]; e != nil {
		return e
	}
	for len(b.entries) >= b.config.Size && len(b.order) > 0 {
		delete(b.entries, b.order[0])
		b.order = b.order[1:]
	}
	e := &entry{}
	b.entries[p] = e
	b.order = append(b.order, p)
	return e
}

// Merge takes a quarantine from another host.
func (b *Book) Merge(now time.Time, q Quarantine) {
	if !now.Before(q.Until) {
		return
	}
	b.crashed(q.Upstream, q.At)
	e := b.entry(q.Print)
	if q.Until.After(e.quarantine) {
		e.quarantine = q.Until
		e.suspect = q.Until.Add(b.config.Suspect)
		e.quarantines++
	}
}

// MergeSuspicion takes a suspicion from another host.
func (b *Book) MergeSuspicion(now time.Time, s Suspicion) {
	if !now.Before(s.Until) {
		return
	}
	b.crashed(s.Upstream, s.At)
	e := b.entry(s.Print)
	e.crashes = max(e.crashes, s.Crashes)
	if s.Until.After(e.suspect) {
		e.suspect = s.Until
	}
}

// Quarantined returns how many requests are quarantined.
func (b *Book) Quarantined(now time.Time) int {
	n := 0
	for _, e := range b.entries {
		if now.Before(e.quarantine) {
			n++
		}
	}
	return n
}
