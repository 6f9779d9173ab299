package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// candidate is a trait with enough crashes to be refused.
type candidate struct {
	*record
	id    uint64
	count int
}

// update computes the refused traits and returns those that were not refused before.
//
// A trait that was with more crashes is considered first. If it is refused it explains its crashes, and another trait is refused
// only for crashes that are left over. A general trait is not refused if a more specific one of the same requests explains its
// crashes. So all hosts that know the same crashes refuse the same requests, and healthy ones that have general traits in common
// with the culprits are served.
func (t *Tracker) update() (added []uint64) {
	var list []candidate
	for id, r := range t.traits {
		if len(r.crashes) < minCrashes {
			continue
		}
		if n := count(r.depth, r.crashes, nil); n >= minCrashes {
			list = append(list, candidate{r, id, n})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(b.depth, a.depth), cmp.Compare(a.id, b.id))
	})
	refused, explained := map[uint64]bool{}, map[uint64]bool{}
	for _, c := range list {
		if !c.isNeeded(explained) || c.hasSpecificCause(list) {
			continue
		}
		refused[c.id] = true
		for crash := range c.crashes {
			explained[crash] = true
		}
		if !t.refused[c.id] {
			added = append(added, c.id)
		}
	}
	t.refused = refused
	return added
}

// isNeeded reports whether the trait has to be refused although the causes of some crashes are known.
func (c candidate) isNeeded(explained map[uint64]bool) bool {
	need := minCrashes
	for crash := range c.crashes {
		if explained[crash] {
			need = minUnexplained
		}
	}
	return count(c.depth, c.crashes, explained) >= need
}

// hasSpecificCause reports whether a candidate that is more specific than c and belonged to the same requests explains the crashes
// of c. Several that explain some crashes each do not: then c, which they have in common, is the more likely cause.
func (c candidate) hasSpecificCause(list []candidate) bool {
	return slices.ContainsFunc(list, func(o candidate) bool {
		if !slices.Contains(o.above, c.id) {
			return false
		}
		explained := map[uint64]bool{}
		for crash := range o.crashes {
			explained[crash] = true
		}
		return !c.isNeeded(explained)
	})
}

// count returns the number of crashes that are not explained. For a part of prompts, those of the same moment count as one.
func count(depth int, crashes map[uint64]time.Time, explained map[uint64]bool) (n int) {
	if depth == wholeRequest {
		for crash := range crashes {
			if !explained[crash] {
				n++
			}
		}
		return n
	}
	var start time.Time // of the current moment
	for _, crash := range slices.SortedFunc(maps.Keys(crashes), func(a, b uint64) int { return crashes[a].Compare(crashes[b]) }) {
		if at := crashes[crash]; !explained[crash] && (n == 0 || at.Sub(start) > sameMoment) {
			start = at
			n++
		}
	}
	return n
}
