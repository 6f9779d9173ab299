package limit

import (
	"time"

	"github.com/samber/lo"
)

// Demand is one host's demand on one limit.
type Demand struct {
	Key            string  `cbor:"k"`
	Rate           float64 `cbor:"r"` // requests asked for a second
	Tokens         float64 `cbor:"t"` // tokens asked for a second
	InFlight       int     `cbor:"o"` // requests open
	WantedInFlight float64 `cbor:"w"` // requests that would be open
}

// Summary is what a host tells the others, a few times a second.
type Summary struct {
	Demands []Demand `cbor:"e"`
}

// Summarize returns this host's demand on every limit that it uses to a notable part.
func (l *Limiter) Summarize(now time.Time) Summary {
	l.period = 0
	l.forget(now)
	var sum Summary
	for _, s := range l.order {
		s.hosts = l.count()
		if e := s.demand(now); !s.isQuiet(e) {
			sum.Demands = append(sum.Demands, e)
		}
	}
	return sum
}

// ApplySummary takes the summary of another host, which replaces its last one.
func (l *Limiter) ApplySummary(now time.Time, host string, sum Summary) {
	if host == l.config.Host {
		return
	}
	clear(l.crowds)
	l.drop(host)
	p := &peer{at: now, keys: make([]string, 0, len(sum.Demands))}
	l.hosts[host] = p
	for _, e := range sum.Demands {
		s := l.known(e.Key, now)
		s.hear(host, e)
		s.used = now
		p.keys = append(p.keys, e.Key)
	}
}

// drop forgets what another host said.
func (l *Limiter) drop(host string) {
	p, ok := l.hosts[host]
	if !ok {
		return
	}
	for _, key := range p.keys {
		if s, ok := l.scopes[key]; ok {
			s.unhear(host)
		}
	}
	delete(l.hosts, host)
}

// forget drops hosts that fell silent, and a few scopes that are idle.
func (l *Limiter) forget(now time.Time) {
	for host, p := range l.hosts {
		if now.Sub(p.at) > peerTime {
			l.drop(host)
		}
	}
	l.forgetCrowds(now)
	for range min(sweepCount, len(l.order)) {
		l.sweep = (l.sweep + 1) % len(l.order)
		s := l.order[l.sweep]
		if s.open > 0 || now.Sub(s.used) < idleTime {
			continue
		}
		delete(l.scopes, s.key)
		l.order = lo.DropByIndex(l.order, l.sweep)
		if len(l.order) == 0 {
			return
		}
		l.sweep %= len(l.order)
	}
}
