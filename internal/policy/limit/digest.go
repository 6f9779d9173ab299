package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestSize is how many customers and classes a digest names at most.
	digestSize = 12
	// trackPart is the part of a limit above which all hosts tell their demand on it.
	trackPart = 0.5
	// digestRate is the parts of a request a second that digests count in.
	digestRate = 100
)

// DigestEntry is the demand of some hosts on one limit.
type DigestEntry struct {
	_              struct{} `cbor:",toarray"`
	Key            uint32   // digest of the name
	Rate           int      // requests asked for a second, in 1/digestRate
	Tokens         int      // tokens asked for a second
	WantedInFlight int      // requests that would be open
	Tracked        int      // 1 when all hosts tell their demand
}

// Digest is the demand of some hosts of a large fleet, made small to travel. It names the tracked limits and the
// others with the largest demand; what it does not name is counted too low, never too high.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Hosts   int
	Period  int // milliseconds between digests
	Entries []DigestEntry
}

// Digest returns this host's demand as a Digest that is sent once a period.
func (l *Limiter) Digest(now time.Time, period time.Duration) Digest {
	l.period = period
	l.forget(now)
	d := Digest{Hosts: 1, Period: int(period.Milliseconds()), Entries: make([]DigestEntry, 0, 4*digestSize)}
	hosts := l.count()
	for _, s := range l.order {
		l.update(s, hosts)
		e := s.slowDemand(now)
		if s.isTracked(e) && !s.isQuiet(e) || s.partOf(e)*float64(s.hosts) > trackPart {
			d.Entries = append(d.Entries, s.use(e))
		}
		if len(d.Entries) == cap(d.Entries) {
			d.Entries = choose(d.Entries)
		}
	}
	d.Entries = choose(d.Entries)
	l.remember(now, d.Entries)
	return d
}

// remember notes the demand on the limits of which the other hosts hear, or have heard.
func (l *Limiter) remember(now time.Time, told []DigestEntry) {
	isTold := make(map[uint32]bool, len(told))
	for _, u := range told {
		isTold[u.Key] = true
	}
	for _, s := range l.order {
		if !isTold[s.crowd.hash] && !s.isKnown() {
			s.crowd.past = nil
			continue
		}
		s.remember(now, l.period, s.slowDemand(now))
	}
}

// MergeDigests returns the sum of digests of different hosts.
func MergeDigests(all []Digest) Digest {
	sum := Digest{}
	byKey := map[uint32]DigestEntry{}
	for _, d := range all {
		sum.Hosts += d.Hosts
		sum.Period = max(sum.Period, d.Period)
		for _, u := range d.Entries {
			byKey[u.Key] = u.plus(byKey[u.Key])
		}
	}
	for _, u := range byKey {
		sum.Entries = append(sum.Entries, u)
	}
	sum.Entries = choose(sum.Entries)
	return sum
}

func (u DigestEntry) plus(v DigestEntry) DigestEntry {
	u.Rate += v.Rate
	u.Tokens += v.Tokens
	u.WantedInFlight += v.WantedInFlight
	u.Tracked = max(u.Tracked, v.Tracked)
	return u
}

// entry returns the demand as hosts of a small fleet tell it.
func (u DigestEntry) entry() Demand {
	return Demand{Rate: float64(u.Rate) / digestRate, Tokens: float64(u.Tokens), WantedInFlight: float64(u.WantedInFlight)}
}

// use returns the demand e for a digest.
func (s *scope) use(e Demand) DigestEntry {
	u := DigestEntry{
		Key: s.crowd.hash, Rate: int(math.Round(e.Rate * digestRate)), Tokens: int(math.Round(e.Tokens)),
		WantedInFlight: int(math.Round(e.WantedInFlight)),
	}
	if s.isTracked(e) {
		u.Tracked = 1
	}
	return u
}

// choose returns the uses that fit a digest: the tracked ones first, then those with the largest demand.
func choose(uses []DigestEntry) []DigestEntry {
	slices.SortFunc(uses, func(a, b DigestEntry) int {
		switch {
		case a.Tracked != b.Tracked:
			return cmp.Compare(b.Tracked, a.Tracked)
		case a.Tokens != b.Tokens:
			return cmp.Compare(b.Tokens, a.Tokens)
		case a.Rate != b.Rate:
			return cmp.Compare(b.Rate, a.Rate)
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return uses[:min(len(uses), digestSize)]
}

// hashOf returns the digest of a limit's name.
func hashOf(key string) uint32 { return uint32(xxhash.Sum64String(key)) } //nolint:gosec // half of a hash
