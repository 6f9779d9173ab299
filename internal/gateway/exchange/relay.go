package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
)

// HandleRelayed serves a request of a caller of another host, which is cut off from the upstreams.
func (x *Exchanger) HandleRelayed(ctx context.Context, r *frontend.Request, w *frontend.Writer) {
	order, ok := relay.ParseOrder(&r.Head)
	if n := int(x.relaying.Add(1)); !ok || n > x.opts.MaxRelayed {
		x.relaying.Add(-1)
		err := kind.New(kind.Unavailable, "the host relays too many requests")
		if !ok {
			err = kind.New(kind.Peer, "the order of a relayed request cannot be read").WithRan(kind.RanNo)
		}
		w.WriteError(err.Kind().Response().Status(), relay.RefusalFields(err.Kind(), kind.RanNo), err.Message())
		return
	}
	defer x.relaying.Add(-1)
	x.handle(ctx, &exchange{x: x, request: r, writer: w, arrived: r.ArrivedAt(), order: &order, possibleRuns: order.Runs})
}

// Relaying returns the number of requests that this host relays for other hosts.
func (x *Exchanger) Relaying() int { return int(x.relaying.Load()) }

// checkOrder checks whether this host can serve a relayed request.
func (e *exchange) checkOrder() error {
	if e.order != nil && e.order.Config > e.config.Version() {
		return kind.New(kind.Unavailable, "the configuration of this host is older")
	}
	return nil
}

// pickService returns the service of the request: the one that the host which relays it has drawn, or one of the route's services.
func (e *exchange) pickService() string {
	if e.order != nil {
		for _, b := range e.route.Backends {
			if b.Service == e.order.Service {
				return b.Service
			}
		}
	}
	return e.drawService(e.route)
}

// needsOtherHost reports whether the request should be sent through another host: no upstream takes it now, and this host is cut off from
// most of its service, or they are brittle and other hosts may have more requests there. A host that knows of no other one waits instead.
// usable reports whether an upstream may take the request later.
func (e *exchange) needsOtherHost() (needed, usable bool) {
	x, now := e.x, e.x.opts.Now()
	e.sawCut = x.opts.Table.IsCut(e.service.Name)
	if !e.mayNeedOtherHost(now) {
		return false, false
	}
	x.mu.Lock()
	c, usable := x.place(x.service(e.service.Name), e)
	x.mu.Unlock()
	if c.instance != nil || !e.hasOtherHost(now) {
		return false, false
	}
	return true, usable
}

// mayNeedOtherHost reports whether the request goes through another host if no instance takes it now.
func (e *exchange) mayNeedOtherHost(now time.Time) bool {
	return e.sawCut || e.order == nil && e.x.opts.Table.MayBeBrittle(now, e.service.Name)
}

// hasOtherHost reports whether another host is known that may take the request.
func (e *exchange) hasOtherHost(now time.Time) bool {
	helpers := e.helpers()
	return !helpers.IsAlone(now) && (e.sawCut || helpers.Free(now, e.service.Name) > 0)
}

// errNoHelper means that no other host is known that could serve the request.
var errNoHelper = errors.New("no other host can serve the request")

// relay sends the request through another host and relays the response to the client. The error states whether the request may have
// run.
func (e *exchange) relay(ctx context.Context) error {
	if e.order != nil {
		return kind.Wrap(errNoHelper, kind.Unavailable, "the upstreams of %s are out of reach of this host too", e.service.Name)
	}
	begin := e.x.opts.Now()
	helper, ok := e.helpers().Pick(begin, e.service.Name, e.config.Version(), e.helpersTried, !e.sawCut)
	if !ok {
		return kind.Wrap(errNoHelper, kind.Unavailable, "no host reaches the upstreams of %s", e.service.Name).WithRetry(e.spreadRetryAfter())
	}
	defer helper.Done()
	e.helpersTried = append(e.helpersTried, helper.Name())
	a := attempt{helper: helper.Name(), reportAge: -1, arrivals: -1}
	attemptCtx, end := e.startAttempt(ctx)
	e.helper = helper
	err := e.sendThrough(attemptCtx, helper, &a)
	e.helper = nil
	end()
	a.duration = e.x.opts.Now().Sub(begin)
	if err == nil {
		helper.RecordReached(e.service.Name)
	} else {
		a.failed, a.result = true, kind.Of(err)
		if kind.From(err).Ran() != kind.RanNo {
			e.possibleRuns += max(a.arrivals, 1)
		}
		isFault := relay.IsFaultOfHost(kind.From(err))
		if a.arrivals < 0 && isFault {
			a.arrivals = 0
		}
		switch {
		case ctx.Err() != nil, errors.Is(err, errForeignHost):
		case isFault || a.result == kind.Lost && a.framing == "": // it has said so, or has not answered
			helper.RecordUnable(e.x.opts.Now(), e.service.Name)
		default:
			helper.RecordReached(e.service.Name)
		}
		if isFault && !errors.Is(err, errForeignHost) { // what the other host says of the key or the route is not what this one has found
			err = kind.Wrap(err, kind.Unavailable, "%s cannot serve the request", helper.Name()).WithRetry(e.spreadRetryAfter())
		}
	}
	if a.sent && a.arrivals < 0 { // nothing shows how often
		a.arrivals = 1
	}
	a.sent = a.arrivals > 0
	e.arriveElsewhere(max(a.arrivals, 0))
	e.attempts = append(e.attempts, a)
	return err
}

// spreadRetryAfter returns a delay before the retry of a client that no host can serve. It is drawn at random, so that the clients do
// not come back together.
func (e *exchange) spreadRetryAfter() time.Duration {
	longest := max(e.timeLeft()/4, minSpread)
	return minSpread/2 + rand.N(longest)
}

// minSpread is the least time over which clients come back that no host can serve.
const minSpread = 100 * time.Millisecond

// sendThrough sends the request to another host and relays the response to the client. A host starts only with a whole request.
func (e *exchange) sendThrough(ctx context.Context, helper *relay.Helper, a *attempt) error {
	begin, i := e.x.opts.Now(), helper.Instance()
	c, err := i.Acquire(ctx, begin, e.route.IsRepeatable(), e.timeLeft())
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrNoTime) {
			helper.RecordLost(e.x.opts.Now())
		}
		return kind.Wrap(err, kind.Unavailable, "no connection to %s", helper.Name())
	}
	if err := e.recheckConfig(); err != nil {
		c.Return(e.x.opts.Now())
		return err
	}
	if !e.mayPassTo(i.Entry().Zone) {
		c.Return(e.x.opts.Now())
		return kind.Wrap(errForeignHost, kind.Unavailable, "%s may not get the request any more", helper.Name()).WithRetry(e.spreadRetryAfter())
	}
	order := relay.Order{Host: e.x.opts.Host, Service: e.service.Name, Runs: e.possibleRuns, Config: e.config.Version(), Arrivals: e.arrivals(), Counts: e.passOn()}
	if e.origin != nil {
		order.Origin = *e.origin
	}
	info := RelayInfo{TimeLeft: e.timeLeft(), LastEventID: e.progress.lastID, Fields: order.Fields()}
	body := e.request.Body()
	head := e.x.opts.Codec.EncodeRelay(nil, &e.request.Request, len(body), info)
	sentAt := e.x.opts.Now()
	a.connected = sentAt.Sub(begin)
	n, err := c.Send(head, body, e.deadline)
	if a.sent = n == len(head)+len(body); !a.sent {
		c.Close()
		return kind.Wrap(err, kind.Unavailable, "request not sent to %s", helper.Name())
	}
	err = e.receive(ctx, c, i, sentAt, a, func() {})
	if err != nil {
		c.Close()
		return err
	}
	c.Release(e.x.opts.Now())
	e.recordComplete()
	return nil
}

// wake lets the requests that wait in the queue of a service look for another way. The caller holds x.mu.
func (x *Exchanger) wake(s *serviceState) {
	s.queue.Dispatch(func(e *exchange) bool {
		e.admitted <- admission{}
		return true
	}, func(*exchange) bool { return false })
}

// describeSource adds to a relayed response where it comes from.
func (e *exchange) describeSource(i *upstream.Instance) {
	if e.order == nil || e.writer.IsStarted() {
		return
	}
	source := relay.Source{Upstream: i.ID(), Arrivals: e.arrivals() - e.order.Arrivals}
	if e.origin != nil {
		source.Origin = *e.origin
	}
	e.writer.AddFields(source.Fields())
}
