package spread

import (
	"maps"
	"slices"
	"time"
)

// forward queues a record for every linked host but the one that it came from.
func (t *Table) forward(now time.Time, name string, h, version uint64, from string) {
	for id, l := range t.links {
		if id == from {
			continue
		}
		if len(l.pending) >= maxPending {
			clear(l.pending)
		}
		l.pending[h] = &push{topic: name, version: version, due: now}
	}
	t.flush(now)
}

// flush sends the pushes that are due.
func (t *Table) flush(now time.Time) {
	for _, id := range t.order {
		t.flushLink(now, id, t.links[id])
	}
}

func (t *Table) flushLink(now time.Time, id string, l *link) {
	var wires []Wire
	if len(l.pending) == 0 {
		return
	}
	for _, h := range slices.Sorted(maps.Keys(l.pending)) {
		p := l.pending[h]
		if p.due.After(now) {
			continue
		}
		e := t.find(p.topic, h)
		if e == nil || p.tries >= maxTries {
			delete(l.pending, h)
			continue
		}
		p.due = now.Add(backoff(p.tries))
		p.tries++
		wires = append(wires, t.wireOf(p.topic, e))
	}
	t.sendWires(id, wires)
}

func backoff(tries int) time.Duration {
	return min(retryFirst<<tries, retryMax)
}

// sendWires sends records in messages of bounded size.
func (t *Table) sendWires(id string, wires []Wire) {
	start, size := 0, 0
	for i, w := range wires {
		size += len(w.Value) + len(w.Refs) + len(w.Key)
		if size >= maxBatch {
			t.send(id, Message{Push: wires[start : i+1]})
			start, size = i+1, 0
		}
	}
	if start < len(wires) {
		t.send(id, Message{Push: wires[start:]})
	}
}

// receivePush merges records and acknowledges them. A sender that is behind gets the newer record.
func (t *Table) receivePush(now time.Time, from string, wires []Wire) {
	var acks []byte
	for _, w := range wires {
		h := hash(w.Topic, w.Key)
		acks = appendHead(acks, head{h, w.Version})
		t.accept(now, w, from, true)
		if e := t.find(w.Topic, h); e != nil && e.version > w.Version {
			t.sendWires(from, []Wire{t.wireOf(w.Topic, e)})
		}
	}
	t.send(from, Message{Ack: acks})
	t.countWanted(from, len(wires))
}

func (t *Table) receiveAck(from string, h head) {
	l := t.links[from]
	if l == nil {
		return
	}
	if p := l.pending[h.hash]; p != nil && p.version <= h.version {
		delete(l.pending, h.hash)
	}
}
