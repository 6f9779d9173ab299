package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/policy/advisory"
)

// Pause is what a host tells other hosts of an instance that wants no requests of it for a while. They tell it the host when it has started
// again.
type Pause struct {
	_    struct{} `cbor:",toarray"`
	Born int64    // incarnation of the instance
	Left time.Duration
}

// MaxPauses bounds the pauses in a message, so that it stays a datagram.
const MaxPauses = 50

// Pauses returns the instances that want no requests of this host, by their identifiers. Of many, those whose pauses end last are returned.
func (t *Table) Pauses(now time.Time) map[string]Pause {
	type paused struct {
		id string
		p  Pause
	}
	var list []paused
	for _, i := range t.All() {
		i.mu.Lock()
		left, born := i.advisory.PausedFor(now), i.entry.Born
		i.mu.Unlock()
		if left > 0 {
			list = append(list, paused{i.id, Pause{Born: born, Left: left}})
		}
	}
	slices.SortFunc(list, func(a, b paused) int { return cmp.Compare(b.p.Left, a.p.Left) })
	return lo.SliceToMap(list[:min(len(list), MaxPauses)], func(x paused) (string, Pause) { return x.id, x.p })
}

// MergePauses records which instances wanted no requests of this host before it started again, as another host has told.
func (t *Table) MergePauses(now time.Time, told map[string]Pause) {
	for id, p := range told {
		i := t.Get(id)
		if i == nil {
			continue
		}
		i.mu.Lock()
		isSame := i.entry.Born == p.Born
		if isSame {
			i.advisory.ObservePause(now, advisory.NewPause(p.Left))
		}
		i.mu.Unlock()
		if isSame {
			i.abandonDials()
		}
	}
}
