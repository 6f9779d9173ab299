package exchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
)

const (
	// drainCutoff is how long after the start of a shutdown every request is accepted: the load balancer has not noticed it yet.
	drainCutoff = 2800 * time.Millisecond
	// drainReserve is the time at the end of the grace period in which the last responses are written.
	drainReserve = 500 * time.Millisecond
	// drainRetryAfter is the retry delay while this host drains; the client then retries on a new connection,
	// which reaches another host.
	drainRetryAfter = 50 * time.Millisecond
	// Requests that may run again are accepted late in a shutdown if the time left is at least drainObjectives times the latency
	// objective of the route, or leastDrainTime without an objective.
	drainObjectives = 4
	leastDrainTime  = 500 * time.Millisecond
)

// errStopped ends the requests that are in hand at the end of a shutdown.
var errStopped = errors.New("the shutdown of the host ends")

// Stop ends all requests in hand, so that their clients get a response before the host ends.
func (x *Exchanger) Stop() { x.stop(errStopped) }

// checkDraining refuses a request that could outlive this host, which would end with the response unsent.
func (e *exchange) checkDraining() error {
	since := e.x.opts.DrainingFor()
	if since <= drainCutoff {
		return nil
	}
	left := e.x.opts.GracePeriod - since - drainReserve
	if e.route.Kind == config.Stream || left < e.minDrainTime() {
		return kind.New(kind.Draining, "the host is shutting down").WithRetry(drainRetryAfter)
	}
	if end := e.x.opts.Now().Add(left); end.Before(e.deadline) {
		e.deadline = end
	}
	return nil
}

// minDrainTime returns the time that must be left of a shutdown for the request to be accepted. A request that must not run twice is
// accepted only if it ends by then in any case, since its client could not repeat it.
func (e *exchange) minDrainTime() time.Duration {
	if !e.route.IsRepeatable() {
		return e.timeLeft()
	}
	return min(e.timeLeft(), max(drainObjectives*e.route.LatencyObjective, leastDrainTime))
}

// stoppedError returns the error for a request that the end of a shutdown has ended.
func (e *exchange) stoppedError() error {
	if e.possibleRuns > 0 {
		return kind.Wrap(errStopped, kind.Lost, "the host is shutting down")
	}
	return kind.Wrap(errStopped, kind.Draining, "the host is shutting down").WithRetry(drainRetryAfter)
}

// isStopped reports whether ctx was ended by Stop.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }
