package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/policy/admit"
)

// In a large fleet the other hosts are known only by their sums, which are some periods old. While the demand
// on a limit is above it, each host's part follows what the host asked for as long ago: the parts then add up
// to the limit however the demand has moved since.

const (
	// crowdLife is how many periods a sum counts.
	crowdLife = 3
	// pastFrom and pastTo are the ages, in periods, of what other hosts know of this one.
	pastFrom = 1.5
	pastTo   = 2.5
	// slowWindow is the time constant of the demand that digests tell.
	slowWindow = 10 * time.Second
	// crowdBurst is how many requests of a mean size a host may start at once while the demand is above the
	// limit. With fewer, its part would be lost whenever no request comes for a moment.
	crowdBurst = 4
)

// crowd is the sum of other hosts.
type crowd struct {
	hosts int
	ends  time.Time
	uses  map[uint32]DigestEntry
}

// others is the demand of the other hosts of a large fleet on one limit.
type others struct {
	Demand
	hosts int // 0 when nothing is known
}

// crowdScope is what a host of a large fleet knows of one limit beside its own demand.
type crowdScope struct {
	asked  admit.Rate // requests, over some seconds
	wanted admit.Rate // tokens, over some seconds
	past   []moment   // what the others have heard, oldest first
	newest time.Time  // later moments are not known to the others
	others others
	hash   uint32  // of the key
	offset float64 // for rounding
}

// moment is what this host asked for at a time.
type moment struct {
	Demand
	at time.Time
}

// ApplyDigest takes the sum of the other hosts from one source, which replaces its last one.
func (l *Limiter) ApplyDigest(now time.Time, source string, d Digest) {
	for host := range l.hosts {
		l.drop(host)
	}
	l.period = time.Duration(d.Period) * time.Millisecond
	c := &crowd{hosts: d.Hosts, ends: now.Add(crowdLife * l.period), uses: make(map[uint32]DigestEntry, len(d.Entries))}
	for _, u := range d.Entries {
		c.uses[u.Key] = u
	}
	l.crowds[source] = c
}

// update tells a scope what is known of the other hosts.
func (l *Limiter) update(s *scope, hosts int) {
	s.hosts = hosts
	if l.period == 0 {
		s.crowd = nil
		return
	}
	if s.crowd == nil {
		rate := admit.NewRate(slowWindow)
		s.crowd = &crowdScope{asked: rate, wanted: rate, hash: hashOf(s.key), offset: offsetOf(s.key, l.config.Host)}
	}
	sum := others{}
	for _, c := range l.crowds {
		if u, ok := c.uses[s.crowd.hash]; ok {
			e := u.entry()
			sum.Rate += e.Rate
			sum.Tokens += e.Tokens
			sum.WantedInFlight += e.WantedInFlight
			sum.hosts = s.hosts - 1
		}
	}
	s.crowd.others = sum
}

// isKnown reports whether the demand of the other hosts on the limit is known by its sums.
func (s *scope) isKnown() bool { return s.crowd != nil && s.crowd.others.hosts > 0 }

// forgetCrowds drops the sums that are too old.
func (l *Limiter) forgetCrowds(now time.Time) {
	for source, c := range l.crowds {
		if !now.Before(c.ends) {
			delete(l.crowds, source)
		}
	}
}

// offsetOf returns a number from 0 to 1 that differs by limit and host.
func offsetOf(key, host string) float64 {
	return float64(xxhash.Sum64String(key+"/"+host)%1024) / 1024
}

// isTracked reports whether all hosts tell their demand on the limit: so much of it is in use.
func (s *scope) isTracked(own Demand) bool {
	if !s.isKnown() {
		return false
	}
	o := s.crowd.others
	return s.partOf(Demand{Rate: own.Rate + o.Rate, Tokens: own.Tokens + o.Tokens, WantedInFlight: own.WantedInFlight + o.WantedInFlight}) > trackPart
}

// partOf returns the part of the limit that a demand asks for.
func (s *scope) partOf(e Demand) float64 {
	part := 0.0
	if s.rule.Rate > 0 {
		part = max(part, e.Rate/s.rule.Rate)
	}
	if s.rule.Tokens > 0 {
		part = max(part, e.Tokens*60/s.rule.Tokens)
	}
	if s.rule.MaxConcurrent > 0 {
		part = max(part, e.WantedInFlight/float64(s.rule.MaxConcurrent))
	}
	return part
}

// slowDemand returns the demand over some seconds.
func (s *scope) slowDemand(now time.Time) Demand {
	return Demand{Rate: s.crowd.asked.PerSecond(now), Tokens: s.crowd.wanted.PerSecond(now), InFlight: s.open, WantedInFlight: s.wantOpen(now)}
}

// remember notes a demand that others hear of, and forgets what they have heard long ago.
func (s *scope) remember(now time.Time, period time.Duration, e Demand) {
	c := s.crowd
	c.newest = now.Add(-time.Duration(pastFrom * float64(period)))
	oldest := now.Add(-time.Duration(pastTo * float64(period)))
	c.past = slices.DeleteFunc(append(c.past, moment{e, now}), func(m moment) bool { return m.at.Before(oldest) })
}

// before returns the mean demand that the others know of, or the present one while they know of none.
func (s *scope) before(now time.Time) Demand {
	sum, n := Demand{}, 0.0
	for _, m := range s.crowd.past {
		if m.at.After(s.crowd.newest) {
			break
		}
		sum.Rate += m.Rate
		sum.Tokens += m.Tokens
		sum.WantedInFlight += m.WantedInFlight
		n++
	}
	if n == 0 || sum.Rate+sum.WantedInFlight <= 0 {
		return s.slowDemand(now)
	}
	return Demand{Rate: sum.Rate / n, Tokens: sum.Tokens / n, WantedInFlight: sum.WantedInFlight / n}
}

// setCrowd sets this host's parts of the limits where the other hosts are known by their sums.
func (s *scope) setCrowd(now time.Time, r Rule) {
	own, before := s.slowDemand(now), s.before(now)
	part, burst, isOver := s.divideCrowd(r.Rate, own.Rate, before.Rate, s.crowd.others.Rate)
	size := burst * requestBurst.Seconds()
	if isOver {
		size = max(crowdBurst, part*requestBurst.Seconds())
	}
	s.requests.refill(now, part, size)
	part, burst, isOver = s.divideCrowd(r.Tokens/60, own.Tokens, before.Tokens, s.crowd.others.Tokens)
	size = burst * tokenBurst.Seconds()
	if isOver {
		size = max(crowdBurst*own.Tokens/max(own.Rate, 1/slowWindow.Seconds()), part*tokenBurst.Seconds())
	}
	s.tokens.refill(now, part, size)
}

// divideCrowd returns this host's part of a limit and the rate whose burst it may use. Demand below the limit is
// met as in a small fleet.
func (s *scope) divideCrowd(limit, now, before, others float64) (part, burst float64, isOver bool) {
	if limit <= 0 || before+others <= limit {
		part, burst = s.divide(limit, now, others)
		return part, burst, false
	}
	return limit * before / (before + others), 0, true
}

// crowdPart returns this host's part of a limit of concurrency.
func (s *scope) crowdPart(now time.Time, host string) int {
	own := admit.Load{Host: host, Demand: []float64{s.before(now).WantedInFlight}}
	rest := admit.Load{Demand: []float64{s.crowd.others.WantedInFlight}, HostCount: s.crowd.others.hosts}
	return admit.OwnShare(s.rule.MaxConcurrent, own, []admit.Load{rest}, s.crowd.offset)
}
