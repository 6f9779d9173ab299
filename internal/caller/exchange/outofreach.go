package exchange

import (
	"errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/upstream/httpclient"
)

// IsOutOfReach reports whether this host is cut off from the upstreams of the session's pool, so that the request should be sent
// through another host. A request that another host has sent stays here.
func (s *Session) IsOutOfReach() bool { return !s.req.Relayed && s.runner.isCutOff(s.route.Pool()) }

// MayRelay reports whether a request that has failed before anything of its response was written may be sent through another host.
func (s *Session) MayRelay(err error) bool {
	if err == nil || s.ctx.Err() != nil || !s.IsOutOfReach() {
		return false
	}
	e := kind.From(err)
	switch e.Kind() {
	case kind.Unavailable, kind.Lost, kind.UpstreamStalled:
		return e.Ran() == kind.RanNo || s.route.Repeatable()
	default:
		return false
	}
}

// IsOutOfRoom reports whether a request was refused because this host may use only a part of the pool's upstreams, so that another host may
// have room for it.
func (s *Session) IsOutOfRoom(err error) bool {
	isBrittle := s.runner.deps.IsBrittle
	return kind.Of(err) == kind.Overload && s.ctx.Err() == nil && !s.req.Relayed && isBrittle != nil && isBrittle(s.route.Pool())
}

// Pool returns the name of the session's pool.
func (s *Session) Pool() string { return s.route.Pool() }

// IsRepeatable reports whether the request may run more than once.
func (s *Session) IsRepeatable() bool { return s.route.Repeatable() }

// Abandon releases the session's resources without a record of the request, which another host records.
func (s *Session) Abandon() {
	s.unwatch()
	s.cancel(nil)
}

// isCutOff reports whether this host is cut off from the upstreams of a pool.
func (r *Runner) isCutOff(pool string) bool { return r.deps.IsCutOff != nil && r.deps.IsCutOff(pool) }

// isUnsent reports whether an attempt ended before anything was sent for a reason that says nothing about its upstream.
func isUnsent(err error) bool {
	return errors.Is(err, errSuperseded) || errors.Is(err, httpclient.ErrOutOfReach)
}
