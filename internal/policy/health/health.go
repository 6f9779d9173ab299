// Package health judges the upstreams of one pool: crashes, stragglers and slow return. It is pure:
// the present time is passed in.
package health

import (
	"cmp"
	"math"
	"time"
)

// Config holds the limits of a Pool; zero values get defaults.
type Config struct {
	OutlierRatio    float64       // slowness relative to the pool from which an upstream is ejected
	MaxEjectedShare float64       // largest share of the pool ejected for slowness at one time
	BaseEjection    time.Duration // first ejection; each further one in a row lasts twice as long
	MaxEjection     time.Duration // longest ejection
	SlowStart       time.Duration // slow return: time from one request at a time to all slots
	MaxReportAge    time.Duration // age from which a load report is ignored
}

func (c Config) withDefaults() Config {
	c.OutlierRatio = cmp.Or(c.OutlierRatio, 3)
	c.MaxEjectedShare = cmp.Or(c.MaxEjectedShare, 0.34)
	c.BaseEjection = cmp.Or(c.BaseEjection, 5*time.Second)
	c.MaxEjection = cmp.Or(c.MaxEjection, 60*time.Second)
	c.SlowStart = cmp.Or(c.SlowStart, 10*time.Second)
	c.MaxReportAge = cmp.Or(c.MaxReportAge, 15*time.Second)
	return c
}

// Pool judges upstreams by comparison with each other.
type Pool struct {
	config  Config
	members int
	ejected int // for slowness
}

// New returns an empty Pool.
func New(c Config) *Pool {
	return &Pool{config: c.withDefaults()}
}

// MaxReportAge returns the age from which a load report is ignored.
func (p *Pool) MaxReportAge() time.Duration { return p.config.MaxReportAge }

// Ejected returns how many upstreams are ejected for slowness.
func (p *Pool) Ejected() int { return p.ejected }

// State is the health of one upstream.
type State struct {
	until    time.Time // end of the ejection
	back     time.Time // begin of the slow return; zero when there is none
	times    int       // ejections in a row
	slow     bool      // the ejection is for slowness
	out      bool
	trial    bool // the next result decides whether the ejection is repeated
	samples  int
	sampled  time.Time // when the slowness was last brought up to date
	slowness float64   // smoothed logarithm of the slowness, 0 being the pool's usual
}

// Join adds an upstream to the pool.
func (p *Pool) Join() *State {
	p.members++
	return &State{}
}

// Leave removes an upstream from the pool.
func (p *Pool) Leave(s *State) {
	p.members--
	p.release(s)
}

func (p *Pool) release(s *State) {
	if s.out && s.slow {
		p.ejected--
	}
	s.out = false
}

// Signal is a latency by which slowness is observed. Its value is the newest sample's share in the
// smoothed slowness.
type Signal float64

// The signals. A request gives one first token and many gaps.
const (
	FirstToken Signal = 0.25
	TokenGap   Signal = 0.1
)

// forgetTime is how long it takes an upstream without samples to lose half of its slowness, so that
// one that has recovered is tried again.
const forgetTime = 120 * time.Second

const (
	ratioMin   = 0.25 // bounds on one sample, so that a single freeze is forgotten soon
	ratioMax   = 8
	minSamples = 4 // samples before an upstream can be ejected for slowness
)

// Observe adds a sample of slowness: an observed latency over the one expected of the pool. Samples
// are averaged by their logarithms, so that one late answer does not outweigh many prompt ones.
func (p *Pool) Observe(now time.Time, s *State, signal Signal, ratio float64) {
	sample := math.Log(min(max(ratio, ratioMin), ratioMax))
	s.forget(now)
	s.samples++
	if s.trial && !s.out {
		p.decide(now, s, signal, ratio)
		return
	}
	s.slowness += float64(signal) * (sample - s.slowness)
	if !s.out && s.samples >= minSamples && s.Slowdown(now) >= p.config.OutlierRatio {
		p.eject(now, s, true)
	}
}

// decide ends the trial of an upstream that came back from an ejection.
func (p *Pool) decide(now time.Time, s *State, signal Signal, ratio float64) {
	if ratio >= p.config.OutlierRatio {
		s.slowness = max(s.slowness, math.Log(min(ratio, ratioMax)))
		p.eject(now, s, true)
		return
	}
	if signal == TokenGap {
		s.trial, s.slowness = false, math.Log(max(ratio, 1))
	}
}

// ReportSuccess notes that an upstream ran a request to its end. It ends a trial in which no sample spoke
// against the upstream.
func (p *Pool) ReportSuccess(s *State) {
	if s.trial && !s.out {
		s.trial, s.slowness = false, 0
	}
}

// ReportCrash ejects an upstream that lost its connections or refuses them. The cap does not hold here: an
// upstream that does not answer serves nobody.
func (p *Pool) ReportCrash(now time.Time, s *State) {
	if s.out && !s.slow && now.Before(s.until) {
		return
	}
	p.release(s)
	p.eject(now, s, false)
}

func (p *Pool) eject(now time.Time, s *State, slow bool) {
	if slow && !p.mayEject() {
		return
	}
	length := min(p.config.BaseEjection<<min(s.times, maxDoublings), p.config.MaxEjection)
	s.times++
	s.until = now.Add(length)
	s.back = time.Time{}
	s.out, s.slow, s.trial = true, slow, false
	if slow {
		p.ejected++
	}
}

const maxDoublings = 8

// mayEject reports whether one more ejection for slowness stays within the cap. A pool of two or
// more may always eject one.
func (p *Pool) mayEject() bool {
	allowed := int(p.config.MaxEjectedShare * float64(p.members))
	if allowed == 0 && p.members > 1 {
		allowed = 1
	}
	return p.ejected < allowed
}

// Weight returns the share of its slots that an upstream may use: 0 while ejected, rising to 1 during
// slow return. It is exactly 1 for a healthy upstream.
func (p *Pool) Weight(now time.Time, s *State) float64 {
	if s.out {
		if now.Before(s.until) {
			return 0
		}
		p.release(s)
		s.back, s.trial = now, true
	}
	if s.back.IsZero() {
		return 1
	}
	if s.trial {
		return minWeight
	}
	passed := now.Sub(s.back)
	if passed >= p.config.SlowStart {
		s.back = time.Time{}
		s.times = 0
		return 1
	}
	return max(minWeight, float64(passed)/float64(p.config.SlowStart))
}

// minWeight lets a single request through to an upstream on trial.
const minWeight = 0.01

// Slowdown returns the smoothed slowness, 1 being the pool's usual.
func (s *State) Slowdown(now time.Time) float64 {
	s.forget(now)
	return math.Exp(s.slowness)
}

// forget lets the slowness fade with the time since the last sample or reading.
func (s *State) forget(now time.Time) {
	passed := now.Sub(s.sampled)
	if passed < forgetStep {
		return
	}
	s.slowness *= math.Exp2(-passed.Seconds() / forgetTime.Seconds())
	s.sampled = now
}

// forgetStep is the time up to which fading is put off.
const forgetStep = time.Second

// CrashedUntil reports whether the upstream is ejected for a crash, and until when.
func (s *State) CrashedUntil(now time.Time) (until time.Time, out bool) {
	return s.until, s.out && !s.slow && now.Before(s.until)
}

// Settled reports whether the weight is 1 and stays so until the next event.
func (s *State) Settled() bool { return !s.out && s.back.IsZero() }
