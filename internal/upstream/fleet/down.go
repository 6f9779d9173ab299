package fleet

import (
	"maps"
	"slices"
	"time"

	"hickorypath/internal/upstream/dispatch"
)

// maxFailedPolls is the number of consecutive failed polls after which an upstream counts as down.
const maxFailedPolls = 3

// MarkDown takes a crashed upstream out of service until it answers a poll again. Plain services are not
// polled, so MarkDown leaves them in service.
func (f *Fleet) MarkDown(pool, upstream string) {
	e, ok := f.findPool(pool)
	if ok && e.poller != nil && e.recordFailures(upstream, maxFailedPolls, f.options.Clock.Now()) {
		f.refreshPool(pool)
	}
}

// IsDown reports whether an upstream is out of service because it crashed or does not answer polls.
func (f *Fleet) IsDown(pool, upstream string) bool {
	e, ok := f.findPool(pool)
	return ok && e.isDown(upstream)
}

// refreshPool updates a pool with the current state of its upstreams.
func (f *Fleet) refreshPool(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.pools[name]; ok {
		e.setTargets(f.currentTargets(name))
	}
}

// pollFailures counts the consecutive failed polls of an upstream.
type pollFailures struct {
	count       int // failed polls in a row; maxFailedPolls after a crash
	lastFailure time.Time
}

// recordFailures adds n failed polls and reports whether the upstream has gone down with them.
func (e *poolEntry) recordFailures(upstream string, n int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.failures[upstream].count
	after := min(before+n, maxFailedPolls)
	e.failures[upstream] = pollFailures{count: after, lastFailure: now}
	return before < maxFailedPolls && after == maxFailedPolls
}

// recordRecovery clears the failed polls of an upstream that has reported its load, and reports whether the
// upstream was down until now. A load report made before the last failure is ignored.
func (e *poolEntry) recordRecovery(upstream string, reportedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.failures[upstream]
	if !ok || !reportedAt.After(t.lastFailure) {
		return false
	}
	delete(e.failures, upstream)
	return t.count == maxFailedPolls
}

func (e *poolEntry) isDown(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failures[upstream].count == maxFailedPolls
}

// forgetFailures drops the failed polls of upstreams that are not in the list.
func (e *poolEntry) forgetFailures(list []dispatch.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.failures, func(id string, _ pollFailures) bool {
		return !slices.ContainsFunc(list, func(t dispatch.Target) bool { return t.ID() == id })
	})
}
