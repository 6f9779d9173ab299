// Package poison finds what requests that break their upstreams have in common, so that they do not take down one upstream after
// the other. The package does no I/O; the current time is passed in.
//
// A request has traits: the parts of its prompt that other requests share, and itself, as it is sent again. A trait is suspected
// with each crash of an upstream that was about to begin a response to a request with it. Healthy requests that were there too
// have traits as well, but responses to others with these traits go on beginning, which clears them, and the trait of the culprit
// explains their crashes. Package suspect instead runs suspected requests one at a time, which finds a faulty request with fewer
// crashes, but delays the healthy ones and does not know of parts.
package poison

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Trait is something that a request may share with others.
type Trait struct {
	ID    uint64
	Depth int // position of a part in the prompt; parts at greater depths are shared by fewer requests
}

// wholeRequest is the depth of the trait that stands for a whole request.
const wholeRequest = math.MaxInt32

// Whole returns the trait that stands for a whole request, which has it in common only with copies of itself.
func Whole(hash uint64) Trait { return Trait{ID: hash, Depth: wholeRequest} }

const (
	// minCrashes is the number of crashes after which requests with a trait are refused.
	minCrashes = 3
	// minUnexplained replaces minCrashes for a trait of which refused traits explain some crashes, but not these.
	minUnexplained = 2
	// sameMoment is the time within which several crashes count as one for a part of prompts: a zone that is lost takes down
	// many upstreams, on which any part may be found.
	sameMoment = 300 * time.Millisecond
	// retention is how long a trait is kept after its last crash or refused request.
	retention = 10 * time.Minute
	// trialDelay is the time from the last crash until one request with a refused trait is let through, on one host, since the
	// cause may have been repaired. It doubles with each further crash, up to 1<<maxTrialDoublings times.
	trialDelay        = 2 * time.Minute
	maxTrialDoublings = 5
	// trialTime is how long the outcome of such a request is waited for before another one.
	trialTime = time.Minute
	// maxTraits and maxBegun bound the traits that are kept: those with crashes, and those with which responses began lately.
	maxTraits, maxBegun = 4096, 8192
	// maxCrashes bounds the crashes that are kept of one trait; the latest ones stay. maxAbove bounds the more general traits.
	maxCrashes, maxAbove = 32, 8
)

// Tracker holds the crashes by trait. It is not safe for concurrent use.
type Tracker struct {
	traits  map[uint64]*record
	begun   map[uint64]time.Time // when a response to a request with a trait was last under way or complete
	refused map[uint64]bool
	answers bool // a response is to be told to the other hosts, since TakeAnswer
}

// record is what is known of a trait that was with an upstream when it crashed.
type record struct {
	depth     int
	above     []uint64             // more general traits of the same requests
	crashes   map[uint64]time.Time // when each crash was noticed
	clearedAt time.Time            // when a response was last under way; earlier crashes do not count
	answerAt  time.Time            // when the other hosts had to be told of clearedAt last
	usedAt    time.Time            // last crash or refused request
	trialEnds time.Time
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{traits: map[uint64]*record{}, begun: map[uint64]time.Time{}, refused: map[uint64]bool{}}
}

// RecordCrash records that an upstream crashed while it was about to begin a response to a request with these traits, the most
// general first. The crash is identified by the incarnation of the upstream, so that all hosts and requests that notice it count it
// once. It returns the traits that are refused from now on.
func (t *Tracker) RecordCrash(now time.Time, crash uint64, traits []Trait) (refused []uint64) {
	for n, trait := range traits {
		r := t.addCrash(now, now, crash, trait)
		for _, above := range traits[:min(n, maxAbove)] {
			r.addAbove(above.ID)
		}
	}
	return t.update()
}

// addCrash records a crash that was noticed at the time at, and returns the record of the trait.
func (t *Tracker) addCrash(now, at time.Time, crash uint64, trait Trait) *record {
	r := t.traits[trait.ID]
	if r == nil {
		if len(t.traits) >= maxTraits {
			t.makeRoom(now)
		}
		r = &record{crashes: map[uint64]time.Time{}, clearedAt: t.begun[trait.ID]}
		t.traits[trait.ID] = r
	}
	if !at.After(r.clearedAt) {
		r.answerAt, t.answers = now, true // the host that told of the crash does not know
		return r
	}
	if known, ok := r.crashes[crash]; ok && !at.Before(known) || now.Sub(at) > retention {
		return r
	}
	r.depth = max(r.depth, trait.Depth)
	r.crashes[crash] = at
	if len(r.crashes) > maxCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.crashes)), func(a, b uint64) int { return r.crashes[a].Compare(r.crashes[b]) })
		delete(r.crashes, oldest)
	}
	if at.After(r.usedAt) {
		r.usedAt = at
	}
	return r
}

// addAbove records that a more general trait belonged to the same request.
func (r *record) addAbove(trait uint64) {
	if len(r.above) < maxAbove && !slices.Contains(r.above, trait) {
		r.above = append(r.above, trait)
	}
}

// RecordBegun records that a response to a request with these traits is under way or complete. Such traits do not break
// upstreams, at least not any more.
func (t *Tracker) RecordBegun(now time.Time, traits []Trait) {
	changed := false
	for _, trait := range traits {
		t.begun[trait.ID] = now
		if r := t.traits[trait.ID]; r != nil && r.clear(now) {
			r.answerAt, t.answers, changed = now, true, true
		}
	}
	if len(t.begun) > maxBegun {
		maps.DeleteFunc(t.begun, func(_ uint64, at time.Time) bool { return now.Sub(at) > retention/2 })
		if len(t.begun) > maxBegun {
			clear(t.begun)
		}
	}
	if changed {
		t.update()
	}
}

// TakeAnswer reports whether, since its last call, this host has found out that a trait for which others may know of crashes does not
// break upstreams. A host that does not send its Evidence periodically sends it then, and after a crash.
func (t *Tracker) TakeAnswer() bool {
	answers := t.answers
	t.answers = false
	return answers
}

// clear forgets the crashes up to a time and reports whether there were any.
func (r *record) clear(at time.Time) (changed bool) {
	if at.After(r.clearedAt) {
		r.clearedAt = at
	}
	before := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ uint64, crashed time.Time) bool { return !crashed.After(at) })
	return len(r.crashes) != before
}

// Refuses reports whether a request with these traits is refused. After a long time without a crash, isOwner decides whether this
// host lets one request with a refused trait through; trial reports that this is such a request.
func (t *Tracker) Refuses(now time.Time, traits []Trait, isOwner func(trait uint64) bool) (refused, trial bool) {
	if len(t.refused) == 0 {
		return false, false
	}
	var due []*record
	for _, trait := range traits {
		if !t.refused[trait.ID] {
			continue
		}
		r := t.traits[trait.ID]
		r.usedAt = now
		if now.Before(r.trialDue()) || now.Before(r.trialEnds) || !isOwner(trait.ID) {
			refused = true
		}
		due = append(due, r)
	}
	if refused || len(due) == 0 {
		return refused, false
	}
	for _, r := range due {
		r.trialEnds = now.Add(trialTime)
	}
	return false, true
}

// HasRefused reports whether any of the traits is refused.
func (t *Tracker) HasRefused(traits []Trait) bool {
	return len(t.refused) > 0 && slices.ContainsFunc(traits, func(x Trait) bool { return t.refused[x.ID] })
}

// trialDue returns the time from which a request with the refused trait may be let through.
func (r *record) trialDue() time.Time {
	last := time.Time{}
	for _, at := range r.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last.Add(trialDelay << min(max(len(r.crashes)-minCrashes, 0), maxTrialDoublings))
}

// Sweep forgets the traits that are out of use.
func (t *Tracker) Sweep(now time.Time) {
	before := len(t.traits)
	maps.DeleteFunc(t.traits, func(_ uint64, r *record) bool {
		return now.Sub(r.usedAt) > retention && now.Sub(r.answerAt) > retention
	})
	if len(t.traits) != before {
		t.update()
	}
}

// makeRoom forgets a quarter of the traits, those with the fewest crashes first.
func (t *Tracker) makeRoom(now time.Time) {
	t.Sweep(now)
	for crashes := 1; len(t.traits) > maxTraits*3/4; crashes++ {
		maps.DeleteFunc(t.traits, func(_ uint64, r *record) bool { return len(t.traits) > maxTraits*3/4 && len(r.crashes) <= crashes })
	}
	t.update()
}
