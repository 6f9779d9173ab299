package exchange

import (
	"cmp"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/place"
	"hickorypath/internal/policy/sizing"
)

const (
	// readTokensPerMs is the expected prefill speed of an inference engine, in prompt tokens per millisecond.
	readTokensPerMs = 45
	// stepCost is the delay that one running request adds to another request at the same instance, up to its
	// first event.
	stepCost = 2 * time.Millisecond
	// crossZoneCost is the cost of sending a request to another availability zone.
	crossZoneCost = 12 * time.Millisecond
)

// choice is the instance chosen for a request.
type choice struct {
	instance     *upstream.Instance
	copySource   *upstream.Instance // instance whose cache holds more of the prompt, nil for none
	cachedTokens int                // prompt tokens that the instance need not read
	tokensAhead  int                // unread prompt tokens at the instance before this request
}

// place returns the best instance for a request; choice.instance is nil if none accepts it now. usable is false
// if the request could not be sent to any instance even if all were idle.
func (x *Exchanger) place(s *serviceState, e *exchange) (best choice, usable bool) {
	p := x.newPlacement(s, e)
	var v evaluation
	bestCost := 0.0
	for n, i := range p.list {
		p.evaluate(n, i, &v)
		usable = usable || v.usable
		if v.rule == "" && (best.instance == nil || v.cost() < bestCost) {
			best, bestCost = p.choose(i, &v), v.cost()
		}
	}
	return best, usable
}

// placement is what is the same for all instances that a request may be sent to.
type placement struct {
	x              *Exchanger
	e              *exchange
	s              *serviceState
	now, fleetTime time.Time
	grace          time.Duration
	list           []*upstream.Instance
	model          place.CostModel
	request        place.Request
	holders        prefixHolders
	reserved       map[string]bool
	peerLoads      map[string]place.Load
	fleet          *advisory.Fleet
	lastResort     bool
	mayBeBrittle   bool
	mustBeAlive    bool // the request has been sent before, and addresses of the service have moved
}

func (x *Exchanger) newPlacement(s *serviceState, e *exchange) placement {
	now := x.opts.Now()
	p := placement{
		x: x, e: e, s: s, now: now, grace: x.opts.Table.RemovalGrace(now), list: x.opts.Table.Service(e.service.Name), model: s.model(e.service),
		request: place.Request{
			Parts: e.info.PromptParts, PromptTokens: e.info.PromptTokens, Zone: x.opts.Zone,
			MemoryTokens: e.memoryTokens(), Urgent: e.isUrgent(), Objective: e.route.LatencyObjective,
		},
	}
	p.holders = x.findPrefixHolders(s, e, p.list, now)
	p.reserved = x.reservedInstances(s, e.service, p.list)
	p.request.HasReserved = len(p.reserved) > 0
	p.peerLoads = x.opts.PeerLoads(now)
	p.fleet, p.fleetTime = x.opts.Fleet(), x.opts.FleetTime()
	p.lastResort = x.needsLastResort(p.list, e, now, p.grace)
	p.mayBeBrittle = x.opts.Table.MayBeBrittle(now, e.service.Name)
	p.mustBeAlive = e.arrivals() > 0 && x.retries.HasMoved(x.opts.Elapsed(), e.service.Name)
	return p
}

// evaluation is the result for one instance.
type evaluation struct {
	rule      Rule // by which the instance is ruled out, empty if it may take the request
	usable    bool // it could take the request if it were idle
	status    upstream.Status
	isBrittle bool
	// The following are set by weigh.
	candidate   place.Candidate
	held        place.CachedPrefix
	cachedHere  int // prompt tokens known to be cached at the instance
	known       int // prompt tokens that the instance need not read
	parts       place.Breakdown
	unconfirmed float64 // cost of an instance that may be gone, in milliseconds
	home        float64 // cost of the home instance, in milliseconds, which is a bonus
}

// cost returns the cost of sending the request to the instance, in milliseconds.
func (v *evaluation) cost() float64 { return v.parts.Total + v.unconfirmed + v.home }

// evaluate sets v to the result for instance i, the n-th of the list. The cost is set only if the instance may take the request.
func (p *placement) evaluate(n int, i *upstream.Instance, v *evaluation) {
	if v.rule = p.ruleOut(i, v); v.rule != "" {
		return
	}
	p.view(n, i, v)
	if v.rule = Rule(p.model.Refusal(v.candidate, p.request, v.held)); v.rule == "" {
		p.weigh(i, v)
	}
}

// ruleOut returns the rule by which instance i cannot take the request whatever the request weighs there, empty for none.
func (p *placement) ruleOut(i *upstream.Instance, v *evaluation) Rule {
	v.usable, v.isBrittle, v.status = false, false, i.Status(p.now, p.grace)
	switch {
	case !p.x.mayTake(i, v.status, p.lastResort, p.now):
		return statusRule(v.status)
	case p.e.hasFailedAt(i):
		return RuleFailed
	case !p.e.mayUse(i):
		return RuleRegion
	case !p.e.mayRunAt(i):
		return RuleOrigin
	}
	v.usable = true
	if p.mustBeAlive && !i.WasAliveWithin(p.now, p.x.opts.AddressReuseTime) {
		return RuleMoved
	}
	if p.s.isAwaited(i) {
		return RuleAwaited
	}
	limits := p.e.limitsOf(i, p.now)
	if i.PausedFor(p.now) > 0 {
		return RulePaused
	}
	if !limits.maySend(p.fleetTime, p.fleet) {
		return RuleLimit
	}
	v.isBrittle = p.mayBeBrittle && i.IsBrittle(p.now)
	if v.isBrittle && p.s.currentLoad(i.ID()).Running >= i.BrittleShare(p.now, p.fleet) {
		return RuleBrittle
	}
	return ""
}

// view sets what is known of instance i, the n-th of the list.
func (p *placement) view(n int, i *upstream.Instance, v *evaluation) {
	view(&v.candidate, p.s, i, p.now, p.peerLoads[i.ID()])
	v.candidate.Brittle = v.isBrittle
	v.candidate.MemoryCapacity, v.candidate.Reserved = cacheCapacity(p.e.service), p.reserved[i.ID()]
	v.cachedHere = p.holders.cachedTokens[n]
	v.held = p.holders.held(i, v.cachedHere)
	// Shared parts that the home instance is only expected to hold affect the choice, but are not counted as
	// cached in the load.
	v.known = v.cachedHere + p.model.TokensToCopy(v.held)
	if p.holders.large && p.holders.home == i {
		v.held.Local = max(v.held.Local, p.holders.sharedTokens) // hosts of other availability zones sent the shared parts there
	}
}

// weigh sets the cost of sending the request to instance i after view.
func (p *placement) weigh(i *upstream.Instance, v *evaluation) {
	v.parts = p.model.Breakdown(v.candidate, p.request, v.held)
	v.unconfirmed, v.home = 0, 0
	if v.status == upstream.Unconfirmed {
		v.unconfirmed = unconfirmedCost
	}
	if p.holders.home == i {
		v.home = -homeBonus
	}
}

// choose returns the choice of instance i.
func (p *placement) choose(i *upstream.Instance, v *evaluation) choice {
	c := choice{instance: i, cachedTokens: v.known, tokensAhead: v.candidate.PendingPrefill}
	if p.model.CopyPerMs > 0 {
		c.copySource = p.holders.copySource(i, v.cachedHere)
	}
	return c
}

// setCold bounds the requests to an instance that is cold.
func (x *Exchanger) setCold(s *config.Service, i *upstream.Instance, now time.Time) {
	if s.ColdRate > 0 {
		i.SetCold(x.coldBound(s, i, now))
	}
}

// coldBound returns the bound on the requests to an instance of a service with such a bound.
func (x *Exchanger) coldBound(s *config.Service, i *upstream.Instance, now time.Time) advisory.Cold {
	if !i.IsCold(now) {
		return advisory.Cold{}
	}
	return advisory.Cold{Rate: s.ColdRate, Burst: (x.opts.ColdOvershoot-1)*s.ColdRate + x.opts.ColdSlack}
}

// limits answers what the limits of an instance allow. Those of a request that is only explained are answered from a copy.
type limits struct {
	instance *upstream.Instance
	snapshot *advisory.State // nil for the limits in force
}

// limitsOf returns the limits of an instance with the bound for a cold one.
func (e *exchange) limitsOf(i *upstream.Instance, now time.Time) limits {
	if !e.explained {
		e.x.setCold(e.service, i, now)
		return limits{instance: i}
	}
	s := i.Advisory()
	if e.service.ColdRate > 0 {
		s.SetCold(e.x.coldBound(e.service, i, now))
	}
	return limits{snapshot: s}
}

// maySend reports whether the limits allow a request now. The time is that of the fleet.
func (l limits) maySend(now time.Time, f *advisory.Fleet) bool {
	if l.snapshot != nil {
		return l.snapshot.MaySend(now, f)
	}
	return l.instance.MaySend(now, f)
}

// sendsWithin returns how many requests the limits allow within d from now, but at most most.
func (l limits) sendsWithin(now time.Time, f *advisory.Fleet, d time.Duration, most int) int {
	if l.snapshot != nil {
		return l.snapshot.SendsWithin(now, f, d, most)
	}
	return l.instance.SendsWithin(now, f, d, most)
}

// mayTake reports whether an instance with a status accepts requests. Those that state that they leave accept them as the last
// resort, and for the first half of the time for which they go on serving.
func (x *Exchanger) mayTake(i *upstream.Instance, status upstream.Status, lastResort bool, now time.Time) bool {
	if status == upstream.Departing && lastResort {
		d, _ := i.LeavingFor(now)
		return d < x.opts.DrainTime/2
	}
	return status < upstream.Departing
}

// needsLastResort reports whether only instances that state that they leave may take the request.
func (x *Exchanger) needsLastResort(list []*upstream.Instance, e *exchange, now time.Time, grace time.Duration) bool {
	for _, i := range list {
		if i.Status(now, grace) < upstream.Departing && !e.hasFailedAt(i) && e.mayRunAt(i) {
			return false
		}
	}
	return true
}

// reservedInstances returns the instances of a service that are reserved for short prompts.
func (x *Exchanger) reservedInstances(s *serviceState, c *config.Service, list []*upstream.Instance) map[string]bool {
	if c.Engine == nil {
		return nil
	}
	if s.reservedList != nil && isSameList(s.reservedList, list) {
		return s.reserved
	}
	ids := make([]string, 0, len(list))
	for _, i := range list {
		if e := i.Entry(); !e.Draining {
			ids = append(ids, e.ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(place.RendezvousRank(0, a), place.RendezvousRank(0, b)) })
	s.reserved = map[string]bool{}
	for _, id := range ids[:place.ReservedCount(len(ids))] {
		s.reserved[id] = true
	}
	s.reservedList = list
	return s.reserved
}

// isSameList reports whether two lists are the same slice. The upstream table builds a new list for each change.
func isSameList(a, b []*upstream.Instance) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// view sets v to what this host knows of an instance; peers is the load that other hosts have in flight there.
func view(v *place.Candidate, s *serviceState, i *upstream.Instance, now time.Time, peers place.Load) {
	reported := i.Load()
	*v = place.Candidate{Load: s.currentLoad(i.ID()).Add(peers), Cold: i.IsCold(now), Slowdown: s.latencies.Slowdown(i.ID())}
	v.Zone, v.Slots = i.Capacity()
	if age := now.Sub(reported.At); age < maxLoadAge {
		v.Running = max(v.Running, reported.Running+reported.Waiting)
		v.Report = place.Report{Slowdown: reported.Slowdown, Age: age}
	}
}

// model returns the performance model of a service's instances.
func (s *serviceState) model(c *config.Service) place.CostModel {
	m := place.CostModel{DelayPerRunning: stepCost, CrossZonePenalty: crossZoneCost}
	if c.Engine != nil {
		m.PrefillPerMs, m.WeighsRoom = s.prefillPerMs(), s.reportsSpeed
		if c.Engine.KVTokenBytes > 0 {
			m.CopyPerMs = c.Engine.LinkMbps * 1e3 / 8 / c.Engine.KVTokenBytes
		}
	}
	return m
}

// prefillPerMs returns the prefill speed of an instance, in prompt tokens per millisecond. It is learned where instances report their speed.
func (s *serviceState) prefillPerMs() float64 {
	if rate, ok := s.prefill.Rate(); ok && s.reportsSpeed {
		return rate
	}
	return readTokensPerMs
}

// memoryTokens returns the engine memory that the request is expected to take, in tokens: its prompt and half of
// its maximum output.
func (e *exchange) memoryTokens() int { return e.info.PromptTokens + e.info.MaxOutputTokens/2 }

// isUrgent reports whether the request's route has the highest priority.
func (e *exchange) isUrgent() bool { return e.route.Priority == 0 }

const (
	// maxLoadAge is how long a load that an instance reported is used.
	maxLoadAge = time.Second
	// unconfirmedCost keeps requests away from instances that may be gone as long as others are available, in
	// milliseconds.
	unconfirmedCost = 10000
)

// hasFailedAt reports whether an earlier attempt of the request failed at an instance. An instance that rejected the request and
// asked for a pause may get it again after the pause.
func (e *exchange) hasFailedAt(i *upstream.Instance) bool {
	for _, a := range e.attempts {
		if a.upstream == i.ID() && a.failed && (a.result != kind.Rejected || a.pause == 0) {
			return true
		}
	}
	return false
}

// reservation is the capacity of an instance that a request takes.
type reservation struct {
	x               *Exchanger
	service         *serviceState
	load            *place.Load
	instanceID      string
	copySource      *upstream.Instance // instance whose cache holds more of the prompt, nil for none
	permit          advisory.Permit    // under the instance's limit
	cachedTokens    int                // prompt tokens that the instance need not read
	tokensAhead     int                // unread prompt tokens at the instance before this request
	unreadTokens    int
	promptUnread    int // unreadTokens before the first event
	memoryTokens    int
	sentAt          time.Time
	expectedDelayMs float64 // expected time until the first event
	sawFirstEvent   bool    // the first event has arrived
}

// notifyTokens is the number of unread prompt tokens from which the other hosts are notified at once: until they
// know of the load, they would send their queued requests to the same instance.
const notifyTokens = 2000

// reserve records that a request is sent to an instance. The caller holds x.mu.
func (x *Exchanger) reserve(s *serviceState, e *exchange, c choice) *reservation {
	now, id := x.opts.Now(), c.instance.ID()
	r := &reservation{x: x, service: s, load: s.load(id), instanceID: id, memoryTokens: e.memoryTokens(), copySource: c.copySource, cachedTokens: c.cachedTokens, tokensAhead: c.tokensAhead}
	r.unreadTokens = max(e.info.PromptTokens-c.cachedTokens, 0)
	r.promptUnread, r.sentAt = r.unreadTokens, now
	if m := s.model(e.service); m.PrefillPerMs > 0 {
		r.expectedDelayMs = float64(r.load.PendingPrefill+r.unreadTokens) / m.PrefillPerMs
	}
	r.permit = c.instance.RecordSend()
	r.load.Running++
	r.load.PendingPrefill += r.unreadTokens
	r.load.MemoryTokens += r.memoryTokens
	s.active++
	s.promptRate.add(now, float64(max(e.info.PromptTokens-sharedTokens(e.info.PromptParts), 0)))
	s.recordSend(now, id, e.info.PromptParts, e.service)
	if r.unreadTokens >= notifyTokens {
		x.opts.NotifyPeers()
	}
	return r
}

// firstEvent records that the instance has read the prompt.
func (r *reservation) firstEvent() {
	r.x.mu.Lock()
	defer r.x.mu.Unlock()
	r.load.PendingPrefill -= r.unreadTokens
	r.unreadTokens = 0
	if !r.sawFirstEvent {
		r.sawFirstEvent = true
		delay := r.x.opts.Now().Sub(r.sentAt)
		r.service.latencies.Observe(r.instanceID, float64(delay)/float64(time.Millisecond), r.expectedDelayMs)
		r.service.prefill.Observe(r.promptUnread, r.tokensAhead, delay)
	}
	r.x.dispatch(r.service)
}

// release returns the reserved capacity and dispatches the queue of the service.
func (r *reservation) release() {
	r.x.mu.Lock()
	defer r.x.mu.Unlock()
	r.load.PendingPrefill -= r.unreadTokens
	r.load.Running--
	r.load.MemoryTokens -= r.memoryTokens
	r.service.active--
	if r.load.Running == 0 && r.x.opts.Table.Get(r.instanceID) == nil {
		delete(r.service.loads, r.instanceID)
	}
	r.x.dispatch(r.service)
}

// Demand returns the demand of this host's clients for each service.
func (x *Exchanger) Demand() map[string]sizing.Demand {
	now := x.opts.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[string]sizing.Demand, len(x.services))
	for name, s := range x.services {
		d := sizing.Demand{PromptRate: s.promptRate.rate(now), ActiveRequests: float64(s.active + s.queue.Len()), Backlog: float64(s.queue.Tokens())}
		for _, w := range s.loads {
			d.Backlog += float64(w.PendingPrefill)
		}
		out[name] = d
	}
	return out
}

// Loads returns the in-flight load of this host at each instance.
func (x *Exchanger) Loads() map[string]place.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]place.Load{}
	for _, s := range x.services {
		for id, w := range s.loads {
			if w.Running > 0 {
				out[id] = *w
			}
		}
	}
	return out
}

// ReadRate returns the prefill speed of one instance of a service, in prompt tokens per second.
func (x *Exchanger) ReadRate(service string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.service(service).prefillPerMs() * 1000
}
