package exchange

import (
	"slices"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
)

// errSuperseded ends an attempt that has sent nothing and may no longer be sent to the instance that was picked for it. Another
// instance, or the same one later, may take the request.
var errSuperseded = errors.New("the upstream takes no requests any more")

// supersede returns the error for an attempt at an instance that has sent nothing and is given up.
func (e *exchange) supersede(i *upstream.Instance) error {
	return kind.Wrap(errSuperseded, kind.Unavailable, "%s no longer takes the request", i.ID()).WithRetry(e.retryAfter(rejectedRetryAfter))
}

// recheck returns an error if the request may not be sent to instance i now. Time has passed since the instance was picked: the
// request has waited for its turn and for a connection.
func (e *exchange) recheck(i *upstream.Instance, r *reservation) error {
	if err := e.recheckConfig(); err != nil {
		return err
	}
	table, now := e.x.opts.Table, e.x.opts.Now()
	grace := table.RemovalGrace(now)
	status := i.Status(now, grace)
	lastResort := status == upstream.Departing && e.x.needsLastResort(table.Service(e.service.Name), e, now, grace)
	if table.Get(i.ID()) != i || !e.x.mayTake(i, status, lastResort, now) || !e.mayRunAt(i) || i.PausedFor(now) > 0 {
		return e.supersede(i)
	}
	if i.IsBrittle(now) && r.isBeyond(i.BrittleShare(now, e.x.opts.Fleet())) {
		return e.supersede(i)
	}
	e.x.setCold(e.service, i, now)
	var ok bool
	if r.permit, ok = i.RenewPermit(e.x.opts.FleetTime(), e.x.opts.Fleet(), r.permit); !ok {
		return e.supersede(i)
	}
	if s := r.copySource; s != nil && (table.Get(s.ID()) != s || !e.mayUse(s)) { // its address may be another instance's by now
		r.copySource = nil
	}
	return nil
}

// recheckConfig brings the request up to date with the configuration. It returns an error if the request's key or route is withdrawn,
// or errSuperseded if the route leads to another service. A response that has begun goes on as it
// began, but in the regions that are allowed now.
func (e *exchange) recheckConfig() error {
	c := e.x.opts.Live.Load()
	if c == e.config {
		return nil
	}
	if e.writer.IsStarted() {
		e.x.mu.Lock()
		e.updateHome(c)
		e.x.mu.Unlock()
		return nil
	}
	route, customer, err := e.resolve(c)
	if err != nil {
		return err
	}
	e.x.mu.Lock()
	e.config, e.route, e.customer = c, route, customer
	e.updateHome(c)
	e.setMovable()
	e.x.mu.Unlock()
	leadsToService := slices.ContainsFunc(route.Backends, func(b config.Backend) bool { return b.Service == e.service.Name })
	name := e.service.Name
	if !leadsToService && e.origin == nil {
		name = e.drawService(route)
	}
	service := c.Service(name)
	if service == nil || !leadsToService && e.origin != nil {
		return kind.New(kind.Unavailable, "the route does not lead to %s any more", name)
	}
	e.service = service
	if !leadsToService {
		return kind.Wrap(errSuperseded, kind.Unavailable, "the route leads to %s now", name)
	}
	return nil
}
