// Package poll polls the upstreams of a pool for their load and for the events of their prefix caches. The
// hosts of a large fleet share the polling: each upstream is polled by a few of them. The interval grows with
// the number of upstreams that this host polls, which bounds its polls per second.
package poll

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/engine"
)

// Options holds the settings and callbacks of a Poller. A zero Interval or MaxPollsPerSecond gets a default.
type Options struct {
	FetchLoad func(ctx context.Context, addr string) (route.Load, error)
	// FetchCacheEvents is nil if the upstreams have no cache events.
	FetchCacheEvents func(ctx context.Context, addr string, after int) (engine.CacheEvents, error)

	OnLoad        func(id string, load route.Load)
	OnCacheEvents func(id string, added, removed []uint64, gap bool)
	OnFailure     func(id string, err error) // called after each failed poll; may be nil

	IsAssigned        func(id string) bool // reports whether this host polls the upstream; nil means all
	Interval          time.Duration        // minimum interval between two polls of an upstream
	MaxPollsPerSecond int                  // maximum number of polls per second by this Poller
}

const (
	defaultInterval          = 1 * time.Second
	defaultMaxPollsPerSecond = 50
	maxBackoffFactor         = 16 // maximum interval after failures, as a multiple of the normal interval
)

// Target identifies an upstream to poll.
type Target struct {
	ID   string
	Addr string
}

// Poller polls the upstreams of one pool. ReplaceTargets may be called before, during and after Run.
type Poller struct {
	options Options

	mu              sync.Mutex
	targets         map[string]*polledTarget
	wake            chan struct{}
	currentInterval time.Duration // interval between two polls of an upstream, computed at computedAt
	computedAt      time.Time
}

type polledTarget struct {
	Target
	cancel context.CancelFunc
}

// New returns a Poller without targets. ReplaceTargets adds them.
func New(o Options) *Poller {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.MaxPollsPerSecond == 0 {
		o.MaxPollsPerSecond = defaultMaxPollsPerSecond
	}
	return &Poller{options: o, targets: map[string]*polledTarget{}, wake: make(chan struct{}, 1)}
}

// ReplaceTargets replaces the list of upstreams to poll.
func (p *Poller) ReplaceTargets(list []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.computedAt = time.Time{}
	seen := make(map[string]bool, len(list))
	for _, t := range list {
		seen[t.ID] = true
		old := p.targets[t.ID]
		if old != nil && old.Addr == t.Addr {
			continue
		}
		if old != nil && old.cancel != nil {
			old.cancel()
		}
		p.targets[t.ID] = &polledTarget{Target: t}
	}
	for id, t := range p.targets {
		if seen[id] {
			continue
		}
		if t.cancel != nil {
			t.cancel()
		}
		delete(p.targets, id)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run polls the upstreams until ctx ends and returns after the last poll has ended.
func (p *Poller) Run(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		p.startLoops(ctx, &polls)
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
	}
}

// startLoops starts a polling loop for each target that has none.
func (p *Poller) startLoops(ctx context.Context, polls *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.cancel != nil {
			continue
		}
		var loopCtx context.Context
		loopCtx, t.cancel = context.WithCancel(ctx)
		polls.Go(func() { p.pollLoop(loopCtx, t.Target) })
	}
}

// interval returns the time between two polls of one upstream. It exceeds Options.Interval if the polls of
// all assigned upstreams would otherwise exceed MaxPollsPerSecond.
func (p *Poller) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.computedAt.IsZero() || now.Sub(p.computedAt) >= hostsRefreshInterval {
		p.computedAt = now
		p.currentInterval = p.computeInterval()
	}
	return p.currentInterval
}

func (p *Poller) computeInterval() time.Duration {
	assigned := 0
	for id := range p.targets {
		if p.isAssigned(id) {
			assigned++
		}
	}
	return max(p.options.Interval, time.Duration(assigned)*time.Second/time.Duration(p.options.MaxPollsPerSecond))
}

func (p *Poller) isAssigned(id string) bool {
	return p.options.IsAssigned == nil || p.options.IsAssigned(id)
}

// pollLoop polls one upstream until ctx ends. The first poll comes after a fraction of the interval that
// depends on the upstream's ID, which spreads the polls. While polls fail, the interval grows exponentially.
func (p *Poller) pollLoop(ctx context.Context, t Target) {
	interval := p.interval()
	timer := time.NewTimer(time.Duration(xxhash.Sum64String(t.ID) % uint64(interval)))
	defer timer.Stop()
	after, failures := 0, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if p.isAssigned(t.ID) {
			next, err := p.pollOnce(ctx, t, after)
			if ctx.Err() != nil {
				return
			}
			after = next
			failures = p.recordResult(t.ID, failures, err)
		}
		timer.Reset(p.interval() * time.Duration(min(1<<min(failures, 8), maxBackoffFactor)))
	}
}

func (p *Poller) recordResult(id string, failures int, err error) int {
	if err == nil {
		return 0
	}
	if p.options.OnFailure != nil {
		p.options.OnFailure(id, err)
	}
	return failures + 1
}

// pollOnce polls an upstream once and returns the position after the cache events that were read.
func (p *Poller) pollOnce(ctx context.Context, t Target, after int) (int, error) {
	load, err := p.options.FetchLoad(ctx, t.Addr)
	if err != nil {
		return after, err
	}
	p.options.OnLoad(t.ID, load)
	if p.options.FetchCacheEvents == nil {
		return after, nil
	}
	events, err := p.options.FetchCacheEvents(ctx, t.Addr, after)
	if err != nil {
		return after, err
	}
	if events.Gap || len(events.Added)+len(events.Removed) > 0 {
		p.options.OnCacheEvents(t.ID, events.Added, events.Removed, events.Gap)
	}
	return events.Next, nil
}
