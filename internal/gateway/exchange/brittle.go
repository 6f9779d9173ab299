package exchange

import (
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/upstream"
)

// freeShare returns how many requests more than it has this host may have at the brittle instances of a service, those that wait left
// out. The caller holds x.mu.
func (x *Exchanger) freeShare(s *serviceState, service string) int {
	now, fleet, free := x.opts.Now(), x.opts.Fleet(), -s.queue.Len()
	for _, i := range x.opts.Table.Service(service) {
		if i.Status(now, 0) == upstream.Usable && i.IsBrittle(now) {
			free += max(i.BrittleShare(now, fleet)-s.load(i.ID()).Running, 0)
		}
	}
	return max(free, 0)
}

// BrittleServices returns the services whose instances are brittle or were lately, for the other hosts.
func (x *Exchanger) BrittleServices() map[string]upstream.BrittleService {
	services := x.opts.Table.BrittleServices(x.opts.Now())
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, b := range services {
		b.Free = x.freeShare(x.service(name), name)
		services[name] = b
	}
	return services
}

// wakeInterval is the interval at which requests that wait for brittle instances look for hosts that may have more requests there. It is
// about that at which hosts tell it.
const wakeInterval = 100 * time.Millisecond

// wakeForOthers lets requests that wait for brittle instances of a service go through other hosts, as many as these may have.
// The caller holds x.mu.
func (x *Exchanger) wakeForOthers(s *serviceState, service string) {
	now := x.opts.Now()
	if s.queue.Len() == 0 || now.Sub(s.wokenAt) < wakeInterval || !x.opts.Table.MayBeBrittle(now, service) {
		return
	}
	s.wokenAt = now
	free := x.opts.Helpers.Free(now, service)
	s.queue.Dispatch(func(e *exchange) bool {
		if free == 0 || e.order != nil || e.home != nil && e.helpers().Free(now, service) == 0 {
			return false
		}
		free--
		e.admitted <- admission{}
		return true
	}, func(e *exchange) bool { return free > 0 && (e.order != nil || e.home != nil) })
}

// canceledWorkTime is how long a request that was given up may still take room at its upstream, which learns of it from the closed
// connection.
const canceledWorkTime = 250 * time.Millisecond

// releaseAfter releases the reservation of an attempt that has ended with err, at once if the instance has no more work with it or is not
// brittle.
func (r *reservation) releaseAfter(err error, a *attempt) {
	i := r.x.opts.Table.Get(r.instanceID)
	if err == nil || !a.sent || kind.Of(err) == kind.Rejected || i == nil || !i.IsBrittle(r.x.opts.Now()) {
		r.release()
		return
	}
	wait := canceledWorkTime
	if a.lateResponse {
		wait += lateResponseTime
	}
	time.AfterFunc(wait, r.release)
}

// isBeyond reports whether this host has more than share requests at the instance, the one of the reservation included.
func (r *reservation) isBeyond(share int) bool {
	r.x.mu.Lock()
	defer r.x.mu.Unlock()
	return r.load.Running > share
}

// hasFallenOver reports whether an instance that has broken a connection may have failed for want of room, and not by the request.
func (x *Exchanger) hasFallenOver(i *upstream.Instance) bool {
	return i.IsBrittle(x.opts.Now()) && i.HasRejected(x.opts.Now())
}
