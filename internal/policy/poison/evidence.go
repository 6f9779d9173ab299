package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evidence is what a host tells the others of a trait. Its times are ages, since the clocks of the hosts differ.
type Evidence struct {
	Trait   uint64           `cbor:"t"`
	Depth   int              `cbor:"d"`
	Above   []uint64         `cbor:"a,omitempty"` // more general traits of the same requests
	Crashes map[uint64]int64 `cbor:"c,omitempty"` // ages in milliseconds by crash
	Begun   int64            `cbor:"b,omitempty"` // age in milliseconds of a response that was under way, plus 1; 0 for none
}

const (
	// maxTold and maxToldCrashes bound what a message tells, so that it stays a datagram.
	maxTold, maxToldCrashes = 16, 8
	// tellTime is how long a trait with a single crash, and one that was cleared, are told to the other hosts. Each host that
	// hears of it passes it on for as long, so it reaches all.
	tellTime = 10 * time.Second
	// refusedTellTime replaces tellTime for traits with more crashes.
	refusedTellTime = retention
)

// Evidence returns what to tell the other hosts now, the traits with the most crashes first.
func (t *Tracker) Evidence(now time.Time) []Evidence {
	type told struct {
		id uint64
		r  *record
	}
	var list []told
	for id, r := range t.traits {
		limit := tellTime
		if len(r.crashes) > 1 {
			limit = refusedTellTime
		}
		if len(r.crashes) > 0 && now.Sub(r.usedAt) < limit || now.Sub(r.answerAt) < tellTime {
			list = append(list, told{id, r})
		}
	}
	slices.SortFunc(list, func(a, b told) int {
		return cmp.Or(cmp.Compare(len(b.r.crashes), len(a.r.crashes)), b.r.usedAt.Compare(a.r.usedAt), cmp.Compare(a.id, b.id))
	})
	all := make([]Evidence, 0, min(len(list), maxTold))
	for _, x := range list[:min(len(list), maxTold)] {
		e := Evidence{Trait: x.id, Depth: x.r.depth, Above: slices.Clone(x.r.above)}
		if !x.r.clearedAt.IsZero() {
			e.Begun = now.Sub(x.r.clearedAt).Milliseconds() + 1
		}
		latest := slices.SortedFunc(maps.Keys(x.r.crashes), func(a, b uint64) int { return x.r.crashes[b].Compare(x.r.crashes[a]) })
		for _, crash := range latest[:min(len(latest), maxToldCrashes)] {
			if e.Crashes == nil {
				e.Crashes = map[uint64]int64{}
			}
			e.Crashes[crash] = now.Sub(x.r.crashes[crash]).Milliseconds()
		}
		all = append(all, e)
	}
	return all
}

// Merge records what another host has told. It returns the traits that are refused from now on.
func (t *Tracker) Merge(now time.Time, told []Evidence) (refused []uint64) {
	for _, e := range told {
		if e.Begun > 0 {
			at := now.Add(-age(e.Begun - 1))
			if at.After(t.begun[e.Trait]) {
				t.begun[e.Trait] = at
			}
			if r := t.traits[e.Trait]; r != nil {
				r.clear(at)
			}
		}
		for crash, ms := range e.Crashes {
			r := t.addCrash(now, now.Add(-age(ms)), crash, Trait{ID: e.Trait, Depth: e.Depth})
			for _, above := range e.Above[:min(len(e.Above), maxAbove)] {
				r.addAbove(above)
			}
		}
	}
	if len(told) == 0 {
		return nil
	}
	return t.update()
}

// age converts milliseconds that another host has told, which may be any number.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), (2*retention).Milliseconds())) * time.Millisecond
}
