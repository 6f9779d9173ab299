package upstream

import "time"

// movedTime is how long an instance gets no requests after another upstream was seen at its address, unless it shows itself.
const movedTime = 10 * time.Second

// RecordAlive records that the instance has answered this host.
func (i *Instance) RecordAlive(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.aliveAt, i.movedAt = now, time.Time{}
}

// WasAliveWithin reports whether the instance has answered this host, or written its entry, within d before now.
func (i *Instance) WasAliveWithin(now time.Time, d time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.aliveAt) <= d
}

// hasMoved reports whether another upstream has the instance's address. The caller holds i.mu.
func (i *Instance) hasMoved(now time.Time) bool {
	return !i.movedAt.IsZero() && now.Sub(i.movedAt) < movedTime
}

// setMoved records that another upstream has the instance's address.
func (i *Instance) setMoved(now time.Time) {
	i.mu.Lock()
	i.movedAt = now
	i.mu.Unlock()
	i.closeIdle()
}

// RecordMoved records that another upstream answered at the address of instance i. It returns that upstream, nil if it is not known.
func (t *Table) RecordMoved(now time.Time, i *Instance) (holder *Instance) {
	i.setMoved(now)
	e := i.Entry()
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, x := range t.byID {
		if o := x.Entry(); x != i && o.Address == e.Address && !x.IsRemoved() {
			return x
		}
	}
	return nil
}

// moveOthers records for the instances that have the address of a new one, and started before it, that they have ended. The caller holds
// t.mu.
func (t *Table) moveOthers(now time.Time, e Entry) {
	for _, x := range t.byID {
		if o := x.Entry(); o.ID != e.ID && o.Address == e.Address && o.Born > 0 && o.Born < e.Born {
			x.setMoved(now)
		}
	}
}
