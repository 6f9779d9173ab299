package exchange

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/home"
)

// errForeignHost ends an attempt through a host that has sent nothing, since the request may not be passed to that host any more.
var errForeignHost = errors.New("the host is not in an allowed region")

// updateHome sets the zones that may serve the request according to a configuration. They stay as they are if the configuration does not
// admit the request. The caller holds x.mu, or is the only one that knows the request.
func (e *exchange) updateHome(c *config.Config) {
	if c == e.homeConfig {
		return
	}
	e.homeConfig = c
	route, customer, err := e.resolve(c)
	if err == nil {
		e.setHome(route, customer)
	}
}

// setHome sets the zones that may serve the request according to its route and customer, which may be nil.
func (e *exchange) setHome(route *config.Route, customer *config.Customer) {
	var regions []string
	if customer != nil {
		regions = customer.Regions
	}
	e.home = home.New(route.Regions, regions, e.x.opts.Regions)
}

// mayUse reports whether the request, or a part of its prompt, may be at an instance.
func (e *exchange) mayUse(i *upstream.Instance) bool {
	return e.home == nil || e.home.Allows(i.Entry().Zone)
}

// usable returns the instances of a list at which the request may be.
func (e *exchange) usable(list []*upstream.Instance) []*upstream.Instance {
	if e.home == nil {
		return list
	}
	return lo.Filter(list, func(i *upstream.Instance, _ int) bool { return e.mayUse(i) })
}

// mayPassTo reports whether the request may be sent through a host in a zone.
func (e *exchange) mayPassTo(zone string) bool {
	return e.home == nil || e.home.WithRegionOf(e.x.opts.Zone, e.x.opts.Regions).Allows(zone)
}

// helpers returns the hosts through which the request may be sent.
func (e *exchange) helpers() *relay.Helpers {
	if e.home == nil {
		return e.x.opts.Helpers
	}
	return e.x.opts.Helpers.Within(e.home.WithRegionOf(e.x.opts.Zone, e.x.opts.Regions).Allows)
}

// hasHome reports whether a service has an upstream in an allowed zone that accepts requests, now or after an outage. It may have one as
// long as no upstream of the service is known.
func (e *exchange) hasHome(service string) bool {
	if e.home == nil {
		return true
	}
	now, list := e.x.opts.Now(), e.x.opts.Table.Service(service)
	grace := e.x.opts.Table.RemovalGrace(now)
	return !e.home.IsEmpty() && (len(list) == 0 || slices.ContainsFunc(list, func(i *upstream.Instance) bool {
		return e.mayUse(i) && i.Status(now, grace) < upstream.Evacuated
	}))
}

// drawService draws one of a route's services, among those with upstreams in allowed zones if there are any.
func (e *exchange) drawService(r *config.Route) string {
	if e.home != nil {
		if able := lo.Filter(r.Backends, func(b config.Backend, _ int) bool { return e.hasHome(b.Service) }); len(able) > 0 {
			return pickService(able)
		}
	}
	return pickService(r.Backends)
}

// checkHome returns an error if no upstream is left in the allowed regions. If another service of the route has one, it takes the request.
func (e *exchange) checkHome() error {
	if e.hasHome(e.service.Name) {
		return nil
	}
	if err := e.recheckConfig(); err != nil && !errors.Is(err, errSuperseded) {
		return err
	}
	if e.origin == nil && !e.hasHome(e.service.Name) {
		if service := e.config.Service(e.pickService()); service != nil {
			e.service = service
		}
	}
	if e.hasHome(e.service.Name) {
		return nil
	}
	return kind.New(kind.Unavailable, "no upstream of %s is left in the regions that are allowed for the request", e.service.Name).WithRetry(e.spreadRetryAfter())
}

// updateHomes brings the waiting requests up to date with the configuration, and wakes those that have no upstream left. The caller holds
// x.mu.
func (x *Exchanger) updateHomes(s *serviceState) {
	c := x.opts.Live.Load()
	if c == s.homeConfig && !s.hasRestricted {
		return
	}
	s.homeConfig, s.hasRestricted = c, false
	s.queue.Dispatch(func(e *exchange) bool {
		e.updateHome(c)
		if !e.hasHome(e.service.Name) {
			e.admitted <- admission{}
			return true
		}
		s.hasRestricted = s.hasRestricted || e.home != nil
		return false
	}, func(*exchange) bool { return true })
}

// addWaiting prepares the state of the service for a request that begins to wait. The caller holds x.mu.
func (s *serviceState) addWaiting(x *Exchanger, e *exchange) {
	e.updateHome(x.opts.Live.Load())
	s.hasRestricted = s.hasRestricted || e.home != nil
}

// queueAhead is what waits in front of a request.
type queueAhead struct{ requests, tokens int }

// ahead returns the waiting requests that go before e wherever e may run. Those that may use only a part of the zones of e do not keep it
// from the others. The caller holds x.mu.
func (s *serviceState) ahead(e *exchange) (a queueAhead) {
	if e.home == nil && !s.hasRestricted {
		return queueAhead{s.queue.Ahead(e.rank()), s.queue.TokensAhead(e.rank())}
	}
	s.queue.EachAhead(e.rank(), func(o *exchange, tokens int) {
		if o.home.Contains(e.home) {
			a.requests++
			a.tokens += tokens
		}
	})
	return a
}

// awaits reports whether a request that has not been placed waits for some zones only, which it keeps from the requests behind it: large
// requests would be starved by small ones otherwise. The caller holds x.mu.
func (s *serviceState) awaits(e *exchange) bool {
	if e.home == nil {
		return false
	}
	s.awaited = append(s.awaited, e.home)
	return true
}

// isAwaited reports whether requests that go first wait for the zone of an instance.
func (s *serviceState) isAwaited(i *upstream.Instance) bool {
	return len(s.awaited) > 0 && slices.ContainsFunc(s.awaited, func(z *home.Zones) bool { return z.Allows(i.Entry().Zone) })
}

// placeBehind is place for a new request, which leaves the zones alone for which requests of its rank or above wait.
func (x *Exchanger) placeBehind(s *serviceState, e *exchange) choice {
	if s.hasRestricted {
		s.queue.EachAhead(e.rank(), func(o *exchange, _ int) { s.awaits(o) })
		defer func() { s.awaited = s.awaited[:0] }()
	}
	c, _ := x.place(s, e)
	return c
}
