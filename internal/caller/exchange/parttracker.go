package exchange

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/poison"
)

const (
	// maxParts bounds the messages of a prompt that are looked at.
	maxParts = 32
	// begunTime is how long after its first event a response must still be under way to show that its messages do not crash
	// upstreams.
	begunTime = 500 * time.Millisecond
	// sameCrashTime is the length of the periods of which each counts one crash of an upstream at most, since hosts notice a crash
	// at different times. It is shorter than an engine takes to load its model again.
	sameCrashTime = 15 * time.Second
	// partsRetryAfter is the retry delay for a request with a message that crashed upstreams.
	partsRetryAfter = 10 * time.Second
)

// PartTracker finds messages that crash the upstreams of all requests that share them. Unlike the SuspectTracker it needs no
// request to be sent again. It is safe for concurrent use.
type PartTracker struct {
	options PartOptions
	mu      sync.Mutex // not held while Publish or a stop function is called
	tracker *poison.Tracker
	runs    map[uint64]*partRun
	untold  bool // a crash has to be told to the other hosts
}

// PartOptions are the options of a PartTracker.
type PartOptions struct {
	Log *zap.Logger

	// Owns reports whether this host alone decides when a refused message may be tried again.
	Owns func(part uint64) bool
	// Publish sends what this host knows to all other hosts.
	Publish func([]poison.Evidence)
}

// partRun is a request that runs on an upstream.
type partRun struct {
	upstream string
	parts    []poison.Trait
	begun    bool
	stop     func() // cancels the run; may be nil
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker(o PartOptions) *PartTracker {
	return &PartTracker{options: o, tracker: poison.New(), runs: map[uint64]*partRun{}}
}

// sharedParts returns the messages of the prompt that other requests may share: all but the last one.
func (b *ChatBody) sharedParts() []poison.Trait {
	messages := gjson.ParseBytes(b.messages).Array()
	return lo.Map(messages[:min(max(len(messages)-1, 0), maxParts)], func(m gjson.Result, depth int) poison.Trait {
		return poison.Trait{ID: xxhash.Sum64String(m.Raw), Depth: depth}
	})
}

// Check returns an error of kind Quarantined if a request with these parts must not run. trial reports that the request may run
// only to find out whether its parts still crash upstreams.
func (p *PartTracker) Check(now time.Time, parts []poison.Trait) (trial bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	refused, trial := p.tracker.Refuses(now, parts, p.options.Owns)
	if refused {
		return false, kind.New(kind.Quarantined, "a message of the request crashed the upstreams that ran it").WithRetry(partsRetryAfter)
	}
	return trial, nil
}

// Start records that a request with these parts was sent to an upstream. stop cancels the run when its parts turn out to crash
// upstreams before its response is under way; it may be nil.
func (p *PartTracker) Start(run uint64, upstream string, parts []poison.Trait, stop func()) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[run] = &partRun{upstream: upstream, parts: parts, stop: stop}
}

// RecordBegun records that the response of a run is under way.
func (p *PartTracker) RecordBegun(now time.Time, run uint64) {
	p.update(now, func() []uint64 {
		p.recordBegun(now, run)
		return nil
	})
}

func (p *PartTracker) recordBegun(now time.Time, run uint64) {
	r, ok := p.runs[run]
	if !ok || r.begun {
		return
	}
	r.begun = true
	p.tracker.RecordBegun(now, r.parts)
}

// Finish records the end of a run; whole reports whether the response was received completely.
func (p *PartTracker) Finish(now time.Time, run uint64, whole bool) {
	p.update(now, func() []uint64 {
		if whole {
			p.recordBegun(now, run)
		}
		delete(p.runs, run)
		return nil
	})
}

// Crash records that an upstream crashed, and tells all other hosts which parts were there without a response under way.
func (p *PartTracker) Crash(now time.Time, upstream string) {
	crash := xxhash.Sum64String(upstream + " " + strconv.FormatInt(now.UnixNano()/int64(sameCrashTime), 10))
	p.update(now, func() (refused []uint64) {
		for _, r := range p.runs {
			if r.upstream == upstream && !r.begun {
				refused = append(refused, p.tracker.RecordCrash(now, crash, r.parts)...)
				p.untold = true
			}
		}
		return refused
	})
}

// Merge records what another host told at a time, by that host's clock.
func (p *PartTracker) Merge(now, told time.Time, evidence []poison.Evidence) {
	if told.After(now) {
		told = now
	}
	p.update(now, func() []uint64 { return p.tracker.Merge(told, evidence) })
}

// update calls change, which returns the parts that are refused from now on, tells the other hosts what they have to know of it,
// and then stops the runs with these parts before they crash further upstreams.
func (p *PartTracker) update(now time.Time, change func() (refused []uint64)) {
	p.mu.Lock()
	refused := change()
	var evidence []poison.Evidence
	if p.tracker.TakeAnswer() || p.untold {
		p.untold = false
		evidence = p.tracker.Evidence(now)
	}
	stops := p.takeStops(refused)
	p.mu.Unlock()
	if len(evidence) > 0 {
		p.options.Publish(evidence)
	}
	for _, part := range refused {
		p.options.Log.Warn("requests with this message are refused, since they crashed every upstream that ran them", zap.String("message", strconv.FormatUint(part, 16)))
	}
	for _, stop := range stops {
		stop()
	}
}

// takeStops returns the functions that stop runs with refused parts whose response is not under way.
func (p *PartTracker) takeStops(refused []uint64) (stops []func()) {
	if len(refused) == 0 {
		return nil
	}
	for _, r := range p.runs {
		if !r.begun && r.stop != nil && p.tracker.HasRefused(r.parts) {
			stops = append(stops, r.stop)
			r.stop = nil
		}
	}
	return stops
}

// Sweep forgets what has been out of use for a long time.
func (p *PartTracker) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Sweep(now)
}

// checkParts returns an error if messages of the request have crashed upstreams.
func (c *chat) checkParts() error {
	if c.isPartTrial {
		return nil
	}
	trial, err := c.runner.deps.Parts.Check(c.runner.deps.Clock.Now(), c.parts)
	c.isPartTrial = trial
	return err
}
