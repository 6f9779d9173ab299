package httpclient

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// LateResponseTime is how long after the deadline of a request its response is awaited for what it states about the upstream. An
// upstream that has kept a request waiting turns it away at the deadline.
const LateResponseTime = 300 * time.Millisecond

// errLate ends a request that was sent and whose late response is not awaited any longer.
var errLate = errors.New("no response after the deadline")

// RoundTrip sends a request with a transport, in place of the request's own context under ctx. When ctx ends it returns at once. If that is
// the deadline and the request was sent, its response is awaited a little longer in the background and passed to onLate; nothing more is
// sent for the request, and the connection is closed.
func (t *SendTracker) RoundTrip(ctx context.Context, transport *Transport, req *http.Request, onLate func(*http.Response)) (*http.Response, error) {
	ownCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	type result struct {
		res *http.Response
		err error
	}
	done := make(chan result, 1)
	go func() {
		res, err := transport.RoundTrip(req.WithContext(t.WithTrace(ownCtx))) //nolint:bodyclose // the receiver closes it
		done <- result{res, err}
	}()
	select {
	case r := <-done:
		context.AfterFunc(ctx, func() { cancel(ctx.Err()) }) // ends the read of the body
		return r.res, r.err
	case <-ctx.Done():
	}
	t.isOver.Store(true)
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !t.Sent() {
		cancel(ctx.Err())
		r := <-done
		return r.res, r.err
	}
	go func() {
		timer := time.AfterFunc(LateResponseTime, func() { cancel(errLate) })
		defer timer.Stop()
		if r := <-done; r.err == nil {
			onLate(r.res)
			cancel(errLate) // closes the connection, which the response may have kept
			_ = r.res.Body.Close()
		}
	}()
	return nil, ctx.Err()
}
