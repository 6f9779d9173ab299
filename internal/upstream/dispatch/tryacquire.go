package dispatch

import (
	"time"

	"hickorypath/internal/policy/pool"
)

// Headroom returns the number of further requests that this host may run, and the number that wait.
func (d *Dispatcher) Headroom() (free, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.pool.Limit()-d.pool.Running()), len(d.waiting)
}

// TryAcquire returns a grant if an upstream may run the request at once. The request never waits.
func (d *Dispatcher) TryAcquire(r pool.Request) (Grant, bool) {
	r.ID = d.ids.Add(1)
	result := make(chan outcome, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.waiting[r.ID] = result
	d.apply(d.pool.Arrive(now, r))
	select {
	case o := <-result:
		grant, err := d.toGrant(o)
		return grant, err == nil
	default:
		delete(d.waiting, r.ID)
		d.apply(d.pool.Cancel(now, r.ID))
		return Grant{}, false
	}
}

// Cancel ends the attempt of a grant that this host stopped early. The pool does not learn
// from the length of its output.
func (d *Dispatcher) Cancel(g Grant) {
	d.handle(func(now time.Time) []pool.Decision {
		delete(d.running, g.id)
		return d.pool.Cancel(now, g.id)
	})
}
