package route

import (
	"time"

	"hickorypath/internal/policy/advisory"
)

// Limiter keeps the request rates that upstreams accept. A nil function limits nothing.
type Limiter struct {
	// MaySend reports whether a request may be sent to the upstream now.
	MaySend func(now time.Time, upstream string) bool
	// RecordSend counts a request that is assigned to the upstream, and returns the permission to send it.
	RecordSend func(upstream string) advisory.Permit
	// Renew reports whether a request may be sent to the upstream now that was permitted earlier. Without it, MaySend is asked again.
	Renew func(now time.Time, upstream string, p advisory.Permit) bool
	// Room returns how many requests this host may have at a time at the upstream, which runs slots requests. It is math.MaxInt for an
	// upstream that can keep requests waiting.
	Room func(now time.Time, upstream string, slots int) int
	// SendsWithin returns how many requests may be sent to the upstream within d, but at most limit.
	SendsWithin func(now time.Time, upstream string, d time.Duration, limit int) int
}

func (l *Limiter) maySend(now time.Time, upstream string) bool {
	return l.MaySend == nil || l.MaySend(now, upstream)
}

// hasRoom reports whether the host may have n requests at a time at an upstream.
func (l *Limiter) hasRoom(now time.Time, m *member, n int) bool {
	return l.Room == nil || n <= l.Room(now, m.id, m.slots)
}

func (l *Limiter) recordSend(upstream string) advisory.Permit {
	if l.RecordSend == nil {
		return advisory.Permit{}
	}
	return l.RecordSend(upstream)
}

// MayStillSend reports whether a request that was assigned to an upstream some time ago may be sent there now.
func (b *Balancer) MayStillSend(now time.Time, upstream string, p advisory.Permit) bool {
	m := b.byID[upstream]
	if m == nil || m.leaving || !b.config.Limiter.hasRoom(now, m, m.ownRunning) {
		return false
	}
	if b.config.Limiter.Renew == nil {
		return b.config.Limiter.maySend(now, upstream)
	}
	return b.config.Limiter.Renew(now, upstream, p)
}

// SendsWithin returns how many requests the rates of the upstreams allow this host within d, but at most limit.
func (b *Balancer) SendsWithin(now time.Time, d time.Duration, limit int) int {
	if b.config.Limiter.SendsWithin == nil {
		return limit
	}
	n := 0
	for id, m := range b.byID {
		if n >= limit {
			break
		}
		if !m.leaving {
			n += b.config.Limiter.SendsWithin(now, id, d, limit)
		}
	}
	return min(n, limit)
}
