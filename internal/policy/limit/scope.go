package limit

import (
	"math"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/admit"
)

const (
	// requestBurstTime bounds a burst of requests: the number admitted at once is the rate limit times this duration.
	requestBurstTime = 2 * time.Second
	// tokenBurstTime bounds a burst of tokens: the number admitted at once is the token limit times this duration.
	tokenBurstTime = 3 * time.Second
	// demandWindow is the time constant of the average demand that hosts report in summaries.
	demandWindow = 700 * time.Millisecond
	// shareLifetime is how long a host uses its computed share of a limit of concurrency, unless a summary arrives before.
	shareLifetime = 50 * time.Millisecond
	// concurrencyRetryAfter is the retry delay recommended to a caller that exceeds its limit of concurrency.
	concurrencyRetryAfter = time.Second
)

// scope is the state of the limits of one customer or class on this host.
type scope struct {
	key                 string
	rule                Rule
	hosts               int // number of hosts in the fleet, including this one
	lastUsed            time.Time
	requests            bucket
	tokens              bucket
	inFlight            int
	requestRate         admit.Rate        // requests per second, admitted or not
	tokenRate           admit.Rate        // tokens per second, admitted or not
	concurrencyRefusals admit.Rate        // requests per second refused for the limit of concurrency
	peers               map[string]Demand // by host
	peerRequestRate     float64           // sum of Demand.Rate over peers
	peerTokenRate       float64           // sum of Demand.Tokens over peers
	concurrencyShare    int               // this host's share of the limit of concurrency
	shareComputed       time.Time         // when concurrencyShare was computed; zero when it is out of date

	digest *digestScope // nil in a small fleet
}

func newScope(key string, now time.Time) *scope {
	rate := admit.NewRate(demandWindow)
	return &scope{
		key: key, lastUsed: now, requestRate: rate, tokenRate: rate, concurrencyRefusals: rate, peers: make(map[string]Demand),
	}
}

// applyRule updates the scope to a rule and refills the buckets.
func (s *scope) applyRule(now time.Time, r Rule) {
	isNew := s.rule == Rule{}
	if r != s.rule {
		s.rule, s.shareComputed = r, time.Time{}
	}
	s.lastUsed = now
	if s.usesDigests() {
		s.refillFromDigests(now, r)
		return
	}
	own := s.demand(now)
	share, burst := s.divide(r.Rate, own.Rate, s.peerRequestRate)
	s.requests.refill(now, share, burst*requestBurstTime.Seconds())
	share, burst = s.divide(r.Tokens/60, own.Tokens, s.peerTokenRate)
	s.tokens.refill(now, share, burst*tokenBurstTime.Seconds())
	if isNew {
		s.requests.fill(now)
		s.tokens.fill(now)
	}
}

// divide returns this host's share of a limit, and the rate from which its burst is computed, given this host's demand and
// that of all others. While the total demand is below the limit, each host gets its demand plus an equal part of the rest,
// and may use the whole burst. Otherwise the limit is divided in proportion to the demand.
func (s *scope) divide(limit, own, others float64) (share, burst float64) {
	if limit <= 0 {
		return 0, 0
	}
	total := own + max(0, others)
	if total <= limit {
		return own + (limit-total)/float64(s.hosts), limit
	}
	share = limit * own / total
	return share, share
}

// setPeer stores a peer's demand in place of the previous one.
func (s *scope) setPeer(host string, e Demand) {
	s.removePeer(host)
	s.peers[host] = e
	s.peerRequestRate += e.Rate
	s.peerTokenRate += e.Tokens
	s.shareComputed = time.Time{}
}

// removePeer removes a peer's demand.
func (s *scope) removePeer(host string) {
	e, ok := s.peers[host]
	if !ok {
		return
	}
	delete(s.peers, host)
	s.peerRequestRate -= e.Rate
	s.peerTokenRate -= e.Tokens
	if len(s.peers) == 0 {
		s.peerRequestRate, s.peerTokenRate = 0, 0
	}
	s.shareComputed = time.Time{}
}

// recordDemand counts a request towards the demand, admitted or not.
func (s *scope) recordDemand(now time.Time, tokens float64) {
	s.requestRate.Add(now, 1)
	s.tokenRate.Add(now, tokens)
	if s.digest != nil {
		s.digest.requestRate.Add(now, 1)
		s.digest.tokenRate.Add(now, tokens)
	}
}

func (s *scope) check(now time.Time, host string, tokens float64) error {
	if s.rule.MaxConcurrent > 0 && s.inFlight >= s.currentConcurrencyShare(now, host) {
		s.concurrencyRefusals.Add(now, 1)
		return limitError(kind.ConcurrencyLimit, "requests at once", concurrencyRetryAfter)
	}
	if s.rule.Rate > 0 {
		if wait := s.requests.waitTime(1); wait > 0 {
			return limitError(kind.RateLimit, "requests a second", wait)
		}
	}
	if s.rule.Tokens > 0 {
		if wait := s.tokens.waitTime(tokens); wait > 0 {
			return limitError(kind.TokenLimit, "tokens a minute", wait)
		}
	}
	return nil
}

func (s *scope) take(tokens float64) {
	s.requests.level--
	s.tokens.level -= tokens
	s.inFlight++
}

func (s *scope) done(excess float64) {
	s.tokens.level += excess
	s.inFlight = max(0, s.inFlight-1)
}

// currentConcurrencyShare returns how many requests this host may have in flight: its share by demand, but no more than
// the others have released of the limit so far.
func (s *scope) currentConcurrencyShare(now time.Time, host string) int {
	if s.usesDigests() {
		return s.concurrencyShareByDigests(now, host)
	}
	if len(s.peers) == 0 {
		return s.rule.MaxConcurrent
	}
	if s.shareComputed.IsZero() || now.Sub(s.shareComputed) >= shareLifetime {
		s.concurrencyShare = s.computeConcurrencyShare(now, host)
		s.shareComputed = now
	}
	return s.concurrencyShare
}

func (s *scope) computeConcurrencyShare(now time.Time, host string) int {
	loads := make([]admit.Load, 0, len(s.peers)+1)
	loads = append(loads, admit.Load{Host: host, Demand: []float64{s.demand(now).WantedInFlight}})
	available := s.rule.MaxConcurrent
	for id, e := range s.peers {
		loads = append(loads, admit.Load{Host: id, Demand: []float64{e.WantedInFlight}})
		available -= e.InFlight
	}
	shares := admit.Split(s.rule.MaxConcurrent, loads)
	for i, l := range loads {
		if l.Host == host {
			return min(shares[i], available)
		}
	}
	return 0
}

func (s *scope) demand(now time.Time) Demand {
	return Demand{
		Key:            s.key,
		Rate:           s.requestRate.PerSecond(now),
		Tokens:         s.tokenRate.PerSecond(now),
		InFlight:       s.inFlight,
		WantedInFlight: s.wantedInFlight(now),
	}
}

// wantedInFlight returns how many requests would be in flight without a limit of concurrency.
func (s *scope) wantedInFlight(now time.Time) float64 {
	return float64(s.inFlight) + math.Ceil(s.concurrencyRefusals.PerSecond(now))
}

// isNegligible reports whether a demand is so small that the other hosts need not know of it.
func (s *scope) isNegligible(e Demand) bool {
	share := negligibleShare / float64(s.hosts)
	return e.Rate <= share*s.rule.Rate && e.Tokens <= share*s.rule.Tokens/60 && (s.rule.MaxConcurrent == 0 || e.WantedInFlight == 0)
}

// bucket is a token bucket with a variable rate.
type bucket struct {
	level, rate, size float64
	at                time.Time
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 && !b.at.IsZero() {
		b.level += elapsed * b.rate
	}
	b.at = now
	b.rate = rate
	b.size = math.Max(1, burst)
	b.level = math.Min(b.level, b.size)
}

// fill sets the level of a new bucket to its size.
func (b *bucket) fill(now time.Time) {
	b.at = now
	b.level = b.size
}

// waitTime returns the time until n can be taken from the bucket, zero if n can be taken now. From a full bucket, more than
// its size can be taken; its level then becomes negative.
func (b *bucket) waitTime(n float64) time.Duration {
	missing := math.Min(n, b.size) - b.level
	if missing <= 1e-9 {
		return 0
	}
	if b.rate <= 0 {
		return time.Minute
	}
	return time.Duration(math.Min(60, missing/b.rate) * float64(time.Second))
}
