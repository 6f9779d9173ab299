// Package dispatch lets requests wait until their pool assigns an upstream to them. Package pool makes the
// decisions; a Dispatcher serializes the calls to the pool and wakes the waiting requests.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/route"
)

// tickInterval is the interval between calls of the pool's Tick method, which expires waiting requests, sheds
// those of tiers that are held back, and accounts for the ageing of the queue.
const tickInterval = 25 * time.Millisecond

// Target is one upstream from the list of the platform or of the settings.
type Target struct {
	id          string
	zone        string
	addr        string
	slots       int
	reclaimable bool
	draining    bool
	down        bool
}

// NewTarget returns a Target without slots.
func NewTarget(id, zone, addr string, reclaimable, draining bool) Target {
	return Target{id: id, zone: zone, addr: addr, reclaimable: reclaimable, draining: draining}
}

// WithSlots returns a copy of t that runs up to slots requests at once.
func (t Target) WithSlots(slots int) Target {
	t.slots = slots
	return t
}

// WithDraining returns a copy of t that gets no new requests.
func (t Target) WithDraining() Target {
	t.draining = true
	return t
}

// WithDown returns a copy of t that counts as not answering and gets no new requests.
func (t Target) WithDown() Target {
	t.down = true
	return t
}

// Down reports whether the upstream counts as not answering.
func (t Target) Down() bool { return t.down }

// acceptsWork reports whether the upstream may get new requests.
func (t Target) acceptsWork() bool { return !t.draining && !t.down }

// Reclaimable reports whether the platform may take the upstream back.
func (t Target) Reclaimable() bool { return t.reclaimable }

// Draining reports whether the upstream finishes its running requests and gets no new ones.
func (t Target) Draining() bool { return t.draining }

// ID returns the name of the upstream.
func (t Target) ID() string { return t.id }

// Addr returns the address of the upstream as IP number and port.
func (t Target) Addr() string { return t.addr }

// Zone returns the availability zone of the upstream.
func (t Target) Zone() string { return t.zone }

// Grant is the permission to run one attempt of a request on one upstream.
type Grant struct {
	id     uint64
	target Target
	permit advisory.Permit
}

// Target returns the upstream that the attempt may run on.
func (g Grant) Target() Target { return g.target }

// Dispatcher serializes the calls to a pool and wakes the requests that the pool's decisions concern. It is
// safe for concurrent use.
type Dispatcher struct {
	name  string
	clock clock.Clock
	ids   atomic.Uint64

	mu      sync.Mutex
	pool    *pool.Pool
	targets map[string]Target
	waiting map[uint64]chan outcome
	running map[uint64]string // upstream by request id
}

// outcome ends the wait of a request: with a refusal, or with a start on target.
type outcome struct {
	decision pool.Decision
	target   Target
}

// New returns a Dispatcher without upstreams for the pool p, which is called name.
func New(name string, p *pool.Pool, c clock.Clock) *Dispatcher {
	return &Dispatcher{
		name:    name,
		clock:   c,
		pool:    p,
		targets: map[string]Target{},
		waiting: map[uint64]chan outcome{},
		running: map[uint64]string{},
	}
}

// Name returns the name of the pool.
func (d *Dispatcher) Name() string { return d.name }

// Run calls the pool's Tick method every tickInterval until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	clock.Every(ctx, tickInterval, func() { d.handle(d.pool.Tick) })
}

// Acquire waits until an upstream may run the request and returns the grant. The error is the pool's
// refusal or, if ctx ends first, the cause of ctx when that has a kind and Canceled otherwise.
func (d *Dispatcher) Acquire(ctx context.Context, r pool.Request) (Grant, error) {
	r.ID = d.ids.Add(1)
	result := make(chan outcome, 1)
	d.mu.Lock()
	d.waiting[r.ID] = result
	d.apply(d.pool.Arrive(d.clock.Now(), r))
	d.mu.Unlock()
	select {
	case o := <-result:
		return d.toGrant(o)
	case <-ctx.Done():
		return Grant{}, d.withdraw(ctx, r.ID)
	}
}

// MayStillSend reports whether the attempt of a grant, which has not been sent yet, may be sent now: time may have passed since its
// upstream was picked.
func (d *Dispatcher) MayStillSend(g Grant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.targets[g.target.id]
	return ok && t.addr == g.target.addr && t.acceptsWork() && d.pool.MayStillSend(d.clock.Now(), t.id, g.permit)
}

// AddTokens tells the pool that the attempt has produced n more tokens.
func (d *Dispatcher) AddTokens(g Grant, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.CountTokens(d.clock.Now(), g.id, n)
}

// Release ends the attempt of a grant and reports its result to the pool.
func (d *Dispatcher) Release(g Grant, r pool.Result) {
	d.handle(func(now time.Time) []pool.Decision {
		delete(d.running, g.id)
		return d.pool.Finish(now, g.id, r)
	})
}

// SetClasses replaces the request classes. Waiting and running requests stay.
func (d *Dispatcher) SetClasses(classes []pool.Class) {
	d.handle(func(now time.Time) []pool.Decision { return d.pool.SetClasses(now, classes) })
}

// ExpectedTokens returns the number of output tokens that a request is expected to produce.
func (d *Dispatcher) ExpectedTokens(r pool.Request) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.ExpectedOutput(r)
}

// SetTargets replaces the list of upstreams.
func (d *Dispatcher) SetTargets(targets []Target) {
	ups := upstreams(targets)
	d.handle(func(now time.Time) []pool.Decision {
		d.targets = lo.KeyBy(targets, Target.ID)
		return d.pool.SetUpstreams(now, ups)
	})
}

func upstreams(targets []Target) []route.Upstream {
	return lo.Map(targets, func(t Target, _ int) route.Upstream {
		return route.NewUpstream(t.id, t.zone, t.slots, t.reclaimable).WithLeaving(!t.acceptsWork())
	})
}

// Targets returns the upstreams, sorted by name.
func (d *Dispatcher) Targets() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.SortedFunc(maps.Values(d.targets), func(a, b Target) int { return strings.Compare(a.id, b.id) })
}

// Running returns the number of this host's requests that an upstream runs.
func (d *Dispatcher) Running(upstream string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.CountBy(lo.Values(d.running), func(id string) bool { return id == upstream })
}

// HasAlternative reports whether an upstream that is not in avoid may get new requests.
func (d *Dispatcher) HasAlternative(avoid []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.SomeBy(lo.Values(d.targets), func(t Target) bool {
		return t.acceptsWork() && !slices.Contains(avoid, t.id)
	})
}

// IsIdle reports whether no request waits or runs.
func (d *Dispatcher) IsIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)+len(d.running) == 0
}

// UpdateLoad passes the load that an upstream reported to the pool.
func (d *Dispatcher) UpdateLoad(id string, l route.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.ReportLoad(d.clock.Now(), id, l)
}

// ApplyCacheEvents tells the pool which prompt blocks an upstream has added to its prefix cache and removed
// from it. gap is true if some events were lost.
func (d *Dispatcher) ApplyCacheEvents(id string, added, removed []uint64, gap bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.UpdatePrefixCache(d.clock.Now(), id, added, removed, gap)
}

// MergeSummary passes the summary of another host to the pool.
func (d *Dispatcher) MergeSummary(host string, s pool.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.ReceiveSummary(d.clock.Now(), host, s)
}

// Summary returns the state of the pool on this host for the other hosts.
func (d *Dispatcher) Summary() pool.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Summary(d.clock.Now())
}

// Digest returns the state of the pool on this host for the other hosts of a large fleet, which exchange
// digests once per period.
func (d *Dispatcher) Digest(period time.Duration) pool.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Digest(d.clock.Now(), period)
}

// MergeDigest passes the sum of the digests of other hosts, as combined by one source, to the pool.
func (d *Dispatcher) MergeDigest(source string, sum pool.Digest, hosts []route.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.ReceiveDigest(d.clock.Now(), source, sum, hosts)
}

// TotalDemand returns the demand of all hosts for the pool, as far as this host knows it.
func (d *Dispatcher) TotalDemand() pool.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Demand(d.clock.Now())
}

// Depth returns the numbers of queued and running requests of each tier.
func (d *Dispatcher) Depth() []pool.TierDepth {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Depth()
}

func (d *Dispatcher) handle(event func(now time.Time) []pool.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(event(d.clock.Now()))
}

// apply wakes the requests that the decisions concern. The caller must hold d.mu.
func (d *Dispatcher) apply(decisions []pool.Decision) {
	for _, dec := range decisions {
		if dec.Action == pool.Wait {
			continue
		}
		result, ok := d.waiting[dec.ID]
		if !ok {
			continue
		}
		delete(d.waiting, dec.ID)
		if dec.Action == pool.Start {
			d.running[dec.ID] = dec.Upstream
		}
		result <- outcome{decision: dec, target: d.targets[dec.Upstream]}
	}
}

func (d *Dispatcher) toGrant(o outcome) (Grant, error) {
	if o.decision.Action == pool.Refuse {
		k := o.decision.Kind
		return Grant{}, kind.New(k, "pool %s refused the request: %s", d.name, k).WithRetry(o.decision.RetryAfter)
	}
	return Grant{id: o.decision.ID, target: o.target, permit: o.decision.Permit}, nil
}

// withdraw removes a request whose context has ended, whether the request still waits or was just started.
func (d *Dispatcher) withdraw(ctx context.Context, id uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	delete(d.running, id)
	d.apply(d.pool.Cancel(d.clock.Now(), id))
	var cause *kind.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause.WithRan(kind.RanNo)
	}
	return kind.Wrap(context.Cause(ctx), kind.Canceled, "the caller went away while the request waited").WithRan(kind.RanNo)
}
