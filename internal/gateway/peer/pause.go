package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

// knownPause is a time in which an upstream instance wants no requests of another host.
type knownPause struct {
	born int64 // incarnation of the instance
	end  time.Time
}

const (
	// silentTime is how long a host sends no message until it may have ended.
	silentTime = 500 * time.Millisecond
	// maxDelay is how long a message may have been under way. Pauses whose ends differ by less are the same one, which must not get longer
	// by being told on and on.
	maxDelay = 500 * time.Millisecond
)

// recordPauses records the pauses of other hosts that a message tells. The caller holds t.mu.
func (t *Table) recordPauses(now time.Time, m Message) {
	for _, told := range append(m.EarlierPauses[:len(m.EarlierPauses):len(m.EarlierPauses)], HostPauses{Host: m.Host, Pauses: m.Pauses}) {
		if told.Host == t.self || len(told.Pauses) == 0 {
			continue
		}
		if t.pauses[told.Host] == nil {
			t.pauses[told.Host] = map[string]knownPause{}
		}
		for id, p := range told.Pauses {
			known, end := t.pauses[told.Host][id], now.Add(min(p.Left, advisory.MaxPause))
			if known.born != p.Born || end.After(known.end.Add(maxDelay)) {
				t.pauses[told.Host][id] = knownPause{born: p.Born, end: end}
			}
		}
	}
}

// EarlierPauses returns the pauses of other hosts that may have started again: hosts that are silent, or no longer tell them. Of many, those
// that end last are returned.
func (t *Table) EarlierPauses(now time.Time) []HostPauses {
	t.mu.Lock()
	defer t.mu.Unlock()
	type row struct {
		host, id string
		p        knownPause
	}
	var rows []row
	for host, pauses := range t.pauses {
		e := t.hosts[host]
		for id, p := range pauses {
			isTold := false
			if e != nil && now.Sub(e.receivedAt) < silentTime {
				_, isTold = e.message.Pauses[id]
			}
			if p.end.After(now) && !isTold {
				rows = append(rows, row{host, id, p})
			}
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return b.p.end.Compare(a.p.end) })
	byHost := map[string]map[string]upstream.Pause{}
	for _, r := range rows[:min(len(rows), upstream.MaxPauses)] {
		if byHost[r.host] == nil {
			byHost[r.host] = map[string]upstream.Pause{}
		}
		byHost[r.host][r.id] = upstream.Pause{Born: r.p.born, Left: r.p.end.Sub(now)}
	}
	list := make([]HostPauses, 0, len(byHost))
	for host, pauses := range byHost {
		list = append(list, HostPauses{Host: host, Pauses: pauses})
	}
	slices.SortFunc(list, func(a, b HostPauses) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// sweepPauses forgets the pauses that are over. The caller holds t.mu.
func (t *Table) sweepPauses(now time.Time) {
	for host, pauses := range t.pauses {
		maps.DeleteFunc(pauses, func(_ string, p knownPause) bool { return !p.end.After(now) })
		if len(pauses) == 0 {
			delete(t.pauses, host)
		}
	}
}
