package provision

import (
	"sync"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
)

const (
	backoffBase  = 5 * time.Second
	backoffLimit = 5 * time.Minute
	maxDoublings = 10 // keeps the shift of backoffBase from overflowing
)

// zoneBackoff delays further orders to start upstreams in a zone that refused the last order.
type zoneBackoff struct {
	clock    clock.Clock
	mu       sync.Mutex
	refusals map[zoneKey]refusal
}

// zoneKey identifies what a refusal applies to: upstreams of one pool in one zone, reclaimable or not.
type zoneKey struct {
	pool, zone  string
	reclaimable bool
}

// refusal counts the refused orders since the last accepted one.
type refusal struct {
	count int
	until time.Duration // boot time at which the next order may be sent
}

func newZoneBackoff(c clock.Clock) *zoneBackoff {
	return &zoneBackoff{clock: c, refusals: map[zoneKey]refusal{}}
}

// check returns an error for an order to start while the back-off of its zone lasts.
func (z *zoneBackoff) check(o Order) error {
	if o.Action != ActionStart {
		return nil
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if left := z.refusals[zoneKeyOf(o)].until - z.clock.Boot(); left > 0 {
		return kind.New(kind.Unavailable, "zone %s is in back-off after refused orders", o.Zone).WithRetry(left)
	}
	return nil
}

// record starts the back-off of a zone after a refused order, twice as long after each further refusal and at least as
// long as the platform asks for. It ends the back-off after an accepted order.
func (z *zoneBackoff) record(o Order, err error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	p := zoneKeyOf(o)
	if err == nil {
		delete(z.refusals, p)
		return
	}
	r := z.refusals[p]
	wait := min(backoffBase<<min(r.count, maxDoublings), backoffLimit)
	wait = max(wait, kind.From(err).RetryAfter())
	z.refusals[p] = refusal{count: r.count + 1, until: z.clock.Boot() + wait}
}

func zoneKeyOf(o Order) zoneKey { return zoneKey{o.Pool, o.Zone, o.Reclaimable} }
