package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

// admission is the instance assigned to a queued request, with the reservation made there. The zero value ends the wait of a
// request that has to look for another way.
type admission struct {
	instance    *upstream.Instance
	reservation *reservation
}

func (a admission) get() (*upstream.Instance, *reservation, error) {
	if a.instance == nil {
		return nil, nil, kind.Wrap(errSuperseded, kind.Unavailable, "the upstreams are out of reach")
	}
	return a.instance, a.reservation, nil
}

// admit returns an instance for the request and the reservation made there. If no instance has room, the request
// waits in the queue of its service; admit fails if that wait is expected to be too long or ends without an
// instance.
func (x *Exchanger) admit(ctx context.Context, e *exchange) (*upstream.Instance, *reservation, error) {
	if e.timeLeft() <= minAttemptTime {
		return nil, nil, e.timeoutError("no time is left for an attempt")
	}
	x.mu.Lock()
	s := x.service(e.service.Name)
	if s.ahead(e).tokens == 0 {
		if c := x.placeBehind(s, e); c.instance != nil {
			r := x.reserve(s, e, c)
			x.mu.Unlock()
			return c.instance, r, nil
		}
	}
	maxWait := e.maxQueueWait(x.opts.Now())
	if wait := x.expectedWait(s, e); wait > maxWait {
		x.mu.Unlock()
		return nil, nil, kind.New(kind.Overload, "the expected wait is %s", wait.Round(time.Millisecond)).WithRetry(e.retryAfter(wait))
	}
	if wait, beyond := x.isBeyondLimits(s, e, maxWait); beyond {
		x.mu.Unlock()
		return nil, nil, kind.New(kind.Overload, "the upstreams of %s accept no further request in time", e.service.Name).WithRetry(wait)
	}
	if !e.sawCut && x.opts.Table.IsCut(e.service.Name) { // those that wait may have been woken already
		x.mu.Unlock()
		return admission{}.get()
	}
	s.addWaiting(x, e)
	e.admitted = make(chan admission, 1)
	item := s.queue.Push(x.opts.Now(), e, e.rank(), max(e.info.PromptTokens-sharedTokens(e.info.PromptParts), 1))
	x.mu.Unlock()
	begin := x.opts.Now()
	defer func() { e.waited += x.opts.Now().Sub(begin) }()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	var err error
	select {
	case a := <-e.admitted:
		return a.get()
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = kind.New(kind.Overload, "no upstream of %s took the request in time", e.service.Name).WithRetry(e.retryAfter(maxWait))
	}
	x.mu.Lock()
	stillQueued := s.queue.Remove(item)
	x.mu.Unlock()
	if stillQueued {
		return nil, nil, err
	}
	a := <-e.admitted // the request was assigned an instance while its wait ended
	if a.instance != nil && ctx.Err() != nil {
		a.reservation.release()
		return nil, nil, err
	}
	return a.get()
}

// dispatch assigns instances to queued requests, in queue order. The caller holds x.mu.
func (x *Exchanger) dispatch(s *serviceState) {
	if s.queue.Len() == 0 {
		return
	}
	usable := false
	s.queue.Dispatch(func(e *exchange) bool {
		var c choice
		if c, usable = x.place(s, e); c.instance == nil {
			return false
		}
		e.admitted <- admission{c.instance, x.reserve(s, e, c)}
		return true
	}, func(e *exchange) bool { return !usable || s.awaits(e) })
	s.awaited = s.awaited[:0]
}

// dispatchInterval is how often the queues are dispatched without an event on this host: the load of an instance
// also falls when requests of other hosts end, and an upstream may return from an outage.
const dispatchInterval = 20 * time.Millisecond

// Run dispatches the queues of all services until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	clock.Every(ctx, dispatchInterval, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		for name, s := range x.services {
			x.updateHomes(s)
			x.dispatch(s)
			x.wakeForOthers(s, name)
		}
	})
}

// expectedWait estimates how long the usable instances of a service take, together, to read the prompts queued
// ahead of the request. It is 0 for services without an inference engine.
func (x *Exchanger) expectedWait(s *serviceState, e *exchange) time.Duration {
	if e.service.Engine == nil {
		return 0
	}
	now, n := x.opts.Now(), 0
	for _, i := range x.opts.Table.Service(e.service.Name) {
		if i.Status(now, 0) == upstream.Usable && e.mayUse(i) {
			n++
		}
	}
	hosts := x.opts.HostCount() // each host has its own queue in front of the same instances
	ahead := float64(s.ahead(e).tokens * hosts)
	return time.Duration(ahead / (s.prefillPerMs() * float64(max(n, 1))) * float64(time.Millisecond))
}

// isBeyondLimits reports whether the limits and pauses of the instances that may take the request keep it waiting for longer than
// maxWait, behind the requests that wait already. It returns the time after which the caller should return. The caller holds x.mu.
func (x *Exchanger) isBeyondLimits(s *serviceState, e *exchange, maxWait time.Duration) (wait time.Duration, beyond bool) {
	now, fleet := x.opts.Now(), x.opts.Fleet()
	grace, list := x.opts.Table.RemovalGrace(now), x.opts.Table.Service(e.service.Name)
	lastResort := x.needsLastResort(list, e, now, grace)
	ahead, sends, usable, paused := s.ahead(e).requests, 0, 0, 0
	pause := advisory.MaxPause
	for _, i := range list {
		if !x.mayTake(i, i.Status(now, grace), lastResort, now) || e.hasFailedAt(i) || !e.mayRunAt(i) {
			continue
		}
		usable++
		if p := i.PausedFor(now); p > maxWait {
			paused++
			pause = min(pause, p)
			continue
		}
		if sends += e.limitsOf(i, now).sendsWithin(x.opts.FleetTime(), fleet, maxWait, ahead+1); sends > ahead {
			return 0, false
		}
	}
	if usable == 0 {
		return 0, false
	}
	if usable == paused {
		return pause + rand.N(pause/pauseSpread), true
	}
	return e.retryAfter(maxWait), true
}

// pauseSpread is the part of a pause over which the callers that were refused during it return, so that they do not all come at
// its end.
const pauseSpread = 4

const (
	// routePriorities is the number of route priorities that are distinguished within one customer priority.
	routePriorities = 3
	// defaultCustomerPriority is the priority of a customer without a configured one. It lies between the highest
	// and the lowest priority in use.
	defaultCustomerPriority = 1
)

// rank returns the priority of the request in the queue and at the inference engines; 0 goes first. The
// customer's priority takes precedence; the route's priority orders requests of customers with the same priority.
func (e *exchange) rank() int {
	customer := defaultCustomerPriority
	if e.customer != nil && e.customer.HasPriority {
		customer = e.customer.Priority
	}
	return customer*routePriorities + min(e.route.Priority, routePriorities-1)
}

const (
	// Clients abandon a stream that has sent no event after the longest of abandonTime, abandonObjectives times
	// the route's latency objective, and abandonGaps times the route's objective for the gap between events.
	abandonTime       = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
	// streamWaitShare is the fraction of the time until the client abandons the stream that a request may spend
	// in the queue.
	streamWaitShare = 0.6
	// deadlineWaitShare is the fraction of the time left until the deadline that a request may spend in the
	// queue; the rest is reserved for the response.
	deadlineWaitShare = 0.4
)

// maxQueueWait returns how long the request may wait in the queue, counted from now.
func (e *exchange) maxQueueWait(now time.Time) time.Duration {
	left := time.Duration(deadlineWaitShare * float64(e.deadline.Sub(now)))
	if e.route.Kind != config.Stream {
		return left
	}
	abandonAfter := max(abandonTime, abandonObjectives*e.route.LatencyObjective, abandonGaps*e.route.GapObjective)
	return max(min(left, time.Duration(streamWaitShare*float64(abandonAfter))-now.Sub(e.arrived)), 0)
}

// retryAfter returns the delay before a rejected client should retry: the expected wait, but at most a quarter of
// the time left until the deadline.
func (e *exchange) retryAfter(wait time.Duration) time.Duration { return min(wait, e.timeLeft()/4) }
