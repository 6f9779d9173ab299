package fleet

import (
	"time"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/upstream/dispatch"
)

// drainTopic is the topic of the upstreams that all hosts have to take out of service.
const drainTopic = "leave"

// drainExpiry is how long an upstream stays out of service unless the platform stops it earlier.
const drainExpiry = 15 * time.Minute

// Drain takes an upstream out of service on all hosts: the upstream gets no new requests.
func (f *Fleet) Drain(upstream string) {
	now := f.options.Clock.Now()
	f.options.Replicator.Put(drainTopic, upstream, uint64(now.UnixNano()), nil, now.Add(drainExpiry))
	f.refreshAll()
}

// IsDraining reports whether Drain took an upstream out of service.
func (f *Fleet) IsDraining(upstream string) bool {
	_, ok := f.options.Replicator.Get(drainTopic, upstream)
	return ok
}

// refreshAll updates all pools with the current state of their upstreams.
func (f *Fleet) refreshAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.pools {
		e.setTargets(f.currentTargets(name))
	}
}

// withDrainState returns t, marked as draining if Drain took the upstream out of service.
func (f *Fleet) withDrainState(t dispatch.Target) dispatch.Target {
	if f.IsDraining(t.ID()) {
		return t.WithDraining()
	}
	return t
}

// receiveDrain updates the pools after another host has taken an upstream out of service.
func (f *Fleet) receiveDrain(replication.Record) { f.refreshAll() }
