package spread

import (
	"maps"
	"slices"
	"time"
)

// softState tracks the soft records that changed since the last exchange.
type softState struct {
	fresh map[uint64]source
}

type source struct {
	topic string
	from  string
}

func newSoftState() softState { return softState{fresh: map[uint64]source{}} }

func (t *Table) receiveSoft(now time.Time, from string, w Wire) {
	if !t.topic(w.Topic).soft {
		return
	}
	if t.accept(now, w, from, false) {
		t.soft.fresh[hash(w.Topic, w.Key)] = source{w.Topic, from}
	}
}

// Share sends the soft records that changed since the last call to the linked hosts.
func (t *Table) Share(now time.Time) {
	fresh := slices.Sorted(maps.Keys(t.soft.fresh))
	for _, id := range t.order {
		var wires []Wire
		for _, h := range fresh {
			s := t.soft.fresh[h]
			e := t.find(s.topic, h)
			if s.from == id || e == nil || e.isExpired(now) {
				continue
			}
			wires = append(wires, t.wireOf(s.topic, e))
		}
		if len(wires) > 0 {
			t.send(id, Message{Soft: wires})
		}
	}
	clear(t.soft.fresh)
}
