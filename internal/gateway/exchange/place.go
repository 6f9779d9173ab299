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

// countRequest counts a request for the retry budget of its service.
func (x *Exchanger) countRequest(service string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.service(service).budget.RecordRequest(now)
}

// takeRetry takes a retry from the budget of a service and reports whether the budget allowed it.
func (x *Exchanger) takeRetry(service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.service(service).budget.TakeRetry(x.opts.Now(), x.opts.HostCount())
}

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
	now := x.opts.Now()
	grace := x.opts.Table.RemovalGrace(now)
	list := x.opts.Table.Service(e.service.Name)
	model := s.model(e.service)
	req := place.Request{Parts: e.info.PromptParts, PromptTokens: e.info.PromptTokens, Zone: x.opts.Zone,
		MemoryTokens: e.memoryTokens(), Urgent: e.isUrgent(), Objective: e.route.LatencyObjective}
	holders := x.findPrefixHolders(s, e, list, now)
	reserved := x.reservedInstances(s, e.service, list)
	req.HasReserved = len(reserved) > 0
	peerLoads := x.opts.PeerLoads(now)
	fleet, fleetTime := x.opts.Fleet(), x.opts.FleetTime()
	lastResort := x.needsLastResort(list, e, now, grace)
	mayBeBrittle := x.opts.Table.MayBeBrittle(now, e.service.Name)
	bestCost := 0.0
	for n, i := range list {
		status := i.Status(now, grace)
		if !x.mayTake(i, status, lastResort, now) || e.hasFailedAt(i) || !e.mayRunAt(i) {
			continue
		}
		usable = true
		if s.isAwaited(i) {
			continue
		}
		x.setCold(e.service, i, now)
		if i.PausedFor(now) > 0 || !i.MaySend(fleetTime, fleet) {
			continue
		}
		isBrittle := mayBeBrittle && i.IsBrittle(now)
		if isBrittle && s.load(i.ID()).Running >= i.BrittleShare(now, fleet) {
			continue
		}
		candidate := view(s, i, now, peerLoads[i.ID()])
		candidate.Brittle = isBrittle
		candidate.MemoryCapacity, candidate.Reserved = cacheCapacity(e.service), reserved[i.ID()]
		cachedHere := holders.cachedTokens[n]
		held := holders.held(i, cachedHere)
		// Shared parts that the home instance is only expected to hold affect the choice, but are not counted as
		// cached in the load.
		known := cachedHere + model.TokensToCopy(held)
		if holders.large && holders.home == i {
			held.Local = max(held.Local, holders.sharedTokens) // hosts of other availability zones sent the shared parts there
		}
		if !model.CanAccept(candidate, req, held) {
			continue
		}
		cost := model.Cost(candidate, req, held)
		if status == upstream.Unconfirmed {
			cost += unconfirmedCost
		}
		if holders.home == i {
			cost -= homeBonus
		}
		if best.instance == nil || cost < bestCost {
			best, bestCost = choice{instance: i, cachedTokens: known, tokensAhead: candidate.PendingPrefill}, cost
			if model.CopyPerMs > 0 {
				best.copySource = holders.copySource(i, cachedHere)
			}
		}
	}
	return best, usable
}

// setCold bounds the requests to an instance that is cold.
func (x *Exchanger) setCold(s *config.Service, i *upstream.Instance, now time.Time) {
	switch {
	case s.ColdRate <= 0:
	case i.IsCold(now):
		i.SetCold(advisory.Cold{Rate: s.ColdRate, Burst: (x.opts.ColdOvershoot-1)*s.ColdRate + x.opts.ColdSlack})
	default:
		i.SetCold(advisory.Cold{})
	}
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

// view returns what this host knows of an instance; peers is the load that other hosts have in flight there.
func view(s *serviceState, i *upstream.Instance, now time.Time, peers place.Load) place.Candidate {
	entry, reported := i.Entry(), i.Load()
	v := place.Candidate{
		Zone: entry.Zone, Slots: entry.Slots, Load: s.load(entry.ID).Add(peers),
		Cold: i.IsCold(now), Slowdown: s.latencies.Slowdown(entry.ID),
	}
	if age := now.Sub(reported.At); age < maxLoadAge {
		v.Running = max(v.Running, reported.Running+reported.Waiting)
		v.Report = place.Report{Slowdown: reported.Slowdown, Age: age}
	}
	return v
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
