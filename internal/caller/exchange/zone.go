package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/upstream/dispatch"
)

// zoneProbes is how many other upstreams of a zone are asked whether the zone is lost.
const zoneProbes = 3

// zoneExpiry is how long a zone counts as lost without being asked again. Until then polls have found its
// upstreams down.
const zoneExpiry = 15 * time.Second

// zones remembers which availability zones were found lost. It is safe for concurrent use.
type zones struct {
	mu   sync.Mutex
	lost map[string]time.Time
}

func (z *zones) note(now time.Time, zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.lost[zone] = now
}

func (z *zones) isLost(now time.Time, zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	at, ok := z.lost[zone]
	return ok && now.Sub(at) < zoneExpiry
}

// isTakenBack reports whether the platform stops an upstream: no request crashed it.
func (r *Runner) isTakenBack(pool, upstream string) bool {
	return lo.SomeBy(r.targets(pool), func(t dispatch.Target) bool { return t.ID() == upstream && t.Draining() })
}

// isZoneLost reports whether the whole zone of an upstream is lost or cut off: then no request crashed it.
// None of the zone's other upstreams answers, of those that were in service.
func (r *Runner) isZoneLost(ctx context.Context, pool string, t dispatch.Target) bool {
	now := r.deps.Clock.Now()
	if r.zones.isLost(now, t.Zone()) {
		return true
	}
	others := lo.Filter(r.targets(pool), func(o dispatch.Target, _ int) bool {
		return o.Zone() == t.Zone() && o.ID() != t.ID() && !o.Down() && !o.Draining()
	})
	return len(others) > 0 && !r.anyAlive(ctx, pool, others[:min(len(others), zoneProbes)])
}

// anyAlive asks upstreams at once and reports whether one answers.
func (r *Runner) anyAlive(ctx context.Context, pool string, list []dispatch.Target) bool {
	answers := make(chan bool, len(list))
	for _, t := range list {
		go func() { answers <- r.deps.Alive(ctx, pool, t.Addr()) }()
	}
	for range list {
		if <-answers {
			return true
		}
	}
	return false
}

func (r *Runner) targets(pool string) []dispatch.Target {
	d, ok := r.deps.Pool(pool)
	if !ok {
		return nil
	}
	return d.Targets()
}
