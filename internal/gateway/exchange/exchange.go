package exchange

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/budget"
	"hickorypath/internal/policy/home"
	"hickorypath/internal/policy/poison"
)

// exchange is the state of one request from its arrival to its response.
type exchange struct {
	x       *Exchanger
	request *frontend.Request
	writer  *frontend.Writer
	arrived time.Time

	config   *config.Config
	info     RequestInfo
	route    *config.Route
	customer *config.Customer
	service  *config.Service
	// home holds the zones that may serve the request, nil for all, according to homeConfig; both are written under x.mu once the
	// request waits or is sent.
	home       *home.Zones
	homeConfig *config.Config
	deadline   time.Time // by which the response must be complete

	admitted       chan admission // set while the request is queued
	traits         []poison.Trait // what it may have in common with requests that break upstreams; the last one is the request itself
	isTrial        bool           // it is let through although requests like it have broken upstreams
	begun          bool           // the response of the current attempt has been under way for a while; x.mu guards it
	attempts       []attempt
	account        *budget.Request // of its arrivals at upstreams; x.mu guards it; nil if it is only explained
	waited         time.Duration   // total time in the queue
	possibleRuns   int             // number of attempts that may have run
	mayHaveRun     bool            // whether any attempt ran or may have run
	status         int             // of the response to the client; 0 before it starts
	firstByteAfter time.Duration   // time from the arrival to the first response byte sent to the client
	progress       streamProgress
	origin         *upstream.Origin // of the stream, once it has begun here or elsewhere
	conn           *upstream.Conn   // on which the current attempt was sent to an upstream; x.mu guards it
	canMove        bool             // another attempt may follow if the current one is given up; x.mu guards it

	order        *relay.Order  // of the host for whose caller the request is relayed; nil for a request of this host's caller
	helper       *relay.Helper // through which the current attempt is sent; nil for an attempt at an upstream
	helpersTried []string      // names of the hosts through which the request was sent
	explained    bool          // it is only explained: no state that placing depends on may change
	sawCut       bool          // the service was out of reach when the request last looked for another host
}

// prepare decodes the request and checks it against the configuration.
func (e *exchange) prepare() error {
	e.config = e.x.opts.Live.Load()
	if e.config == nil {
		return kind.New(kind.Unavailable, "no configuration is known yet")
	}
	var err error
	if e.info, err = e.x.opts.Codec.DecodeRequest(&e.request.Request); err != nil {
		return kind.Wrap(err, kind.Invalid, "request cannot be read")
	}
	if e.route, e.customer, err = e.resolve(e.config); err != nil {
		return err
	}
	e.updateHome(e.config)
	e.setDeadline()
	if err := e.checkDraining(); err != nil {
		return err
	}
	e.traits = append(e.findTraits(), poison.Whole(e.hashRequest()))
	if err := e.checkPoison(); err != nil {
		return err
	}
	if err := e.checkOrder(); err != nil {
		return err
	}
	name := e.pickService()
	if e.service = e.config.Service(name); e.service == nil {
		return kind.New(kind.Unavailable, "service %s is not configured", name)
	}
	return nil
}

// setDeadline sets the deadline of the request from its route and from what its client waits.
func (e *exchange) setDeadline() {
	timeout := e.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if e.info.MaxWait > 0 {
		timeout = min(timeout, e.info.MaxWait)
	}
	e.deadline = e.arrived.Add(timeout)
}

// resolve returns the route and the customer of the request according to a configuration. The customer is nil on an open route
// without a key.
func (e *exchange) resolve(c *config.Config) (*config.Route, *config.Customer, error) {
	route := c.Match(e.info.Host, e.info.Path)
	if route == nil {
		return nil, nil, kind.New(kind.NoRoute, "no route for %s%s", e.info.Host, e.info.Path)
	}
	customer := c.CustomerByKey(e.info.APIKey)
	if customer == nil && !route.AuthExempt && c.RequiresKey() {
		if e.info.APIKey == "" {
			return route, nil, kind.New(kind.NoKey, "the request carries no key")
		}
		return route, nil, kind.New(kind.BadKey, "the key is not known")
	}
	return route, customer, nil
}

// defaultTimeout bounds requests of a route without a configured timeout.
const defaultTimeout = 30 * time.Second

// run sends the request until it is answered or no further attempt is allowed.
func (e *exchange) run(ctx context.Context) error {
	if err := e.findOrigin(ctx); err != nil {
		return err
	}
	defer e.settle()
	for {
		if err := e.checkHome(); err != nil {
			return err
		}
		if needed, usable := e.needsOtherHost(); needed {
			err := e.relay(ctx)
			if !usable || !errors.Is(err, errNoHelper) {
				if err == nil || ctx.Err() != nil || !e.mayRetry(err) {
					return err
				}
				continue
			}
		}
		i, r, err := e.x.admit(ctx, e)
		if errors.Is(err, errSuperseded) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		if err := e.checkPoison(); err != nil { // others may have broken upstreams while this one waited
			r.release()
			return err
		}
		err = e.try(ctx, i, r)
		if err == nil || ctx.Err() != nil || !e.mayRetry(err) {
			return err
		}
	}
}

const (
	// maxSends bounds how often one request is sent, including sends that the upstream rejects.
	maxSends = 4
	// maxAttempts bounds the attempts of one request, including those that found no connection: all upstreams of
	// an availability zone become unreachable at once if the zone is cut off.
	maxAttempts = 12
)

// mayRetry reports whether another attempt may follow a failed one, and sets it aside in the retry budget if it
// needs to.
func (e *exchange) mayRetry(err error) bool {
	if errors.Is(err, errNoHelper) {
		return false
	}
	if errors.Is(err, errSuperseded) {
		return len(e.attempts) < maxAttempts && e.timeLeft() >= minAttemptTime && e.holdRetry()
	}
	failure := kind.From(err)
	if failure.Ran() != kind.RanNo {
		e.mayHaveRun = true
		if errors.Is(err, errPoison) {
			return false
		}
		if !e.route.IsRepeatable() || e.possibleRuns >= e.route.MaxAttempts {
			return false
		}
	}
	if e.writer.IsStarted() && (e.route.Kind != config.Stream || !e.progress.canResume()) {
		return false
	}
	if e.origin != nil && !e.originServes() {
		return false
	}
	if e.arrivals() >= maxSends || len(e.attempts) >= maxAttempts || e.timeLeft() < minAttemptTime {
		return false
	}
	switch failure.Kind() {
	case kind.Failed:
		return true // mayRetryFailed has allowed the retry
	case kind.Rejected, kind.Unavailable, kind.Lost, kind.UpstreamStalled, kind.ResponseMismatch:
		return e.holdRetry()
	default:
		return false
	}
}

// mayRetryFailed reports whether a request that an instance answered with a server error is retried. If not, the
// client gets the error response.
func (e *exchange) mayRetryFailed() bool {
	return e.helper == nil && e.route.IsRepeatable() && e.possibleRuns+1 < e.route.MaxAttempts && !e.writer.IsStarted() &&
		e.arrivals() < maxSends && e.timeLeft() > minRetryTime && e.holdRetry()
}

// minRetryTime is the least time left until the deadline for a retry after a server error.
const minRetryTime = 100 * time.Millisecond

// minAttemptTime is the least time left until the deadline for an attempt to be useful.
const minAttemptTime = 20 * time.Millisecond

// timeLeft returns the time until the deadline.
func (e *exchange) timeLeft() time.Duration { return e.deadline.Sub(e.x.opts.Now()) }

// writeError responds with the status of an error. If an earlier attempt may have run, the status of an error that says that the request
// did not run is replaced by that of kind.Lost.
func (e *exchange) writeError(err error) {
	failure := kind.From(err)
	status := failure.Status()
	if e.mayHaveRun && failure.Ran() == kind.RanNo {
		status = kind.Lost.Response().Status()
	}
	var fields [][2]string
	if after := failure.RetryAfter(); after > 0 && kind.PromisesNotRun(status) {
		fields = append(fields, [2]string{"Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64)})
	}
	e.status = status
	if e.order != nil {
		ran := failure.Ran()
		if e.mayHaveRun && ran == kind.RanNo {
			ran = kind.RanMaybe
		}
		fields = append(append(fields, relay.RefusalFields(failure.Kind(), ran)...), relay.ArrivalsField(e.arrivals()-e.order.Arrivals))
	}
	e.writer.WriteError(status, fields, failure.Message())
}

// timeoutError returns the error for a request whose time ran out before it could be sent.
func (e *exchange) timeoutError(text string) error {
	if e.mayHaveRun {
		return kind.New(kind.Timeout, "%s", text)
	}
	return kind.New(kind.Deadline, "%s", text)
}
