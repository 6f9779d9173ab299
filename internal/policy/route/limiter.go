package route

import "time"

// Limiter keeps the request rates that upstreams accept. A nil function limits nothing.
type Limiter struct {
	// MaySend reports whether a request may be sent to the upstream now.
	MaySend func(now time.Time, upstream string) bool
	// RecordSend counts a request that is sent.
	RecordSend func(upstream string)
	// SendsWithin returns how many requests may be sent to the upstream within d, but at most limit.
	SendsWithin func(now time.Time, upstream string, d time.Duration, limit int) int
}

func (l *Limiter) maySend(now time.Time, upstream string) bool {
	return l.MaySend == nil || l.MaySend(now, upstream)
}

func (l *Limiter) recordSend(upstream string) {
	if l.RecordSend != nil {
		l.RecordSend(upstream)
	}
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
