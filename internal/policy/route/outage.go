package route

import "time"

// EarliestReturn tells whether every upstream that may take work is ejected for a crash, and when the first one
// returns. It looks no further than the first upstream that is in service.
func (t *Balancer) EarliestReturn(now time.Time) (at time.Time, out bool) {
	for _, m := range t.members {
		if m == nil || m.leaving {
			continue
		}
		until, crashed := m.health.CrashedUntil(now)
		if !crashed {
			return time.Time{}, false
		}
		if !out || until.Before(at) {
			at, out = until, true
		}
	}
	return at, out
}
