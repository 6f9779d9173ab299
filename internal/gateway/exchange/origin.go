package exchange

import (
	"context"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/h1"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
)

// unknownOriginRetryAfter is the retry delay for a stream whose origin no host told in time. Its caller's next attempt reaches
// another host, which may hear of it.
const unknownOriginRetryAfter = 300 * time.Millisecond

// findOrigin finds out where the stream began that the request takes up, and sets the service accordingly. A stream whose origin
// is not known is refused: it might go on at another version.
func (e *exchange) findOrigin(ctx context.Context) error {
	if e.route.Kind != config.Stream || e.info.Resumes == "" && e.info.LastEventID == "" {
		return nil
	}
	o, ok := e.orderedOrigin()
	if !ok {
		o, ok = e.askOrigin(ctx)
	}
	if !ok {
		return kind.New(kind.Unavailable, "the version that began the stream is not known").WithRetry(e.retryAfter(unknownOriginRetryAfter))
	}
	if !slices.ContainsFunc(e.route.Backends, func(b config.Backend) bool { return b.Service == o.Service }) {
		return kind.New(kind.Unavailable, "the route does not lead to %s any more, which began the stream", o.Service)
	}
	if e.service = e.config.Service(o.Service); e.service == nil {
		return kind.New(kind.Unavailable, "service %s is not configured", o.Service)
	}
	e.origin = &o
	if err := e.checkHome(); err != nil {
		return err
	}
	if !e.originServes() {
		return kind.New(kind.Unavailable, "no upstream of %s runs version %s, which began the stream", o.Service, o.Version)
	}
	e.x.opts.TellOrigin(e.info.ID, o)
	return nil
}

// askOrigin returns the origin of the stream that the request takes up. If no host knows the request that began the stream, or the
// client does not name it, the origin is known only if there can be no other: the route leads to a single service, which has run a
// single version lately.
func (e *exchange) askOrigin(ctx context.Context) (o upstream.Origin, ok bool) {
	if e.info.Resumes != "" {
		if o, ok = e.x.opts.FindOrigin(ctx, e.info.Resumes); ok {
			return o, true
		}
	}
	if len(e.route.Backends) > 1 {
		return upstream.Origin{}, false
	}
	version, ok := e.x.opts.OnlyVersion(ctx, e.service.Name)
	return upstream.Origin{Service: e.service.Name, Version: version}, ok
}

// orderedOrigin returns the origin of the stream that the host which relays the request has named.
func (e *exchange) orderedOrigin() (o upstream.Origin, ok bool) {
	if e.order == nil || e.order.Origin.Service == "" {
		return upstream.Origin{}, false
	}
	return e.order.Origin, true
}

// begin records that the first event of the stream has come, from an instance or through another host.
func (e *exchange) begin(resp *h1.Response, i *upstream.Instance) {
	if e.helper == nil {
		e.beginAt(i)
	} else if o := relay.ParseSource(&resp.Head).Origin; e.origin == nil && o.Service != "" {
		e.origin = &o
	}
}

// beginAt records that the first event of the stream has come from an instance.
func (e *exchange) beginAt(i *upstream.Instance) {
	if e.origin != nil {
		return
	}
	o := i.Origin()
	if now := e.x.opts.Table.Get(i.ID()); now != nil && now != i {
		o = upstream.Origin{} // the instance has started again, perhaps with another version and before the stream began
	}
	e.origin = &o
	if e.route.Resumable && o.Service != "" {
		e.x.opts.TellOrigin(e.info.ID, o)
	}
}

// originServes reports whether some instance at which the stream may go on, and has not failed before, accepts requests, now or
// after an outage.
func (e *exchange) originServes() bool {
	now := e.x.opts.Now()
	grace := e.x.opts.Table.RemovalGrace(now)
	return slices.ContainsFunc(e.x.opts.Table.Service(e.service.Name), func(i *upstream.Instance) bool {
		return i.Status(now, grace) < upstream.Evacuated && !e.hasFailedAt(i) && e.mayRunAt(i)
	})
}

// mayRunAt reports whether the request may be sent to an instance: its zone must be allowed, and a stream that has begun goes on at its
// origin only.
func (e *exchange) mayRunAt(i *upstream.Instance) bool {
	return e.mayUse(i) && (e.origin == nil || e.x.opts.Table.MayContinue(*e.origin, i))
}
