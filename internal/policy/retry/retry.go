// Package retry decides what follows a failed attempt of a request (retry, resume or stop), and when a request may be
// hedged, that is, when a second attempt may run in parallel to the first. It does no I/O and reads no clock: callers pass
// in the current time. See docs/design/retries.md.
package retry

import (
	"cmp"
	"time"

	"hickorypath/internal/core/kind"
)

// Action is what to do after a failed attempt.
type Action string

// The actions.
const (
	Retry  Action = "retry"  // run the request again from the start
	Resume Action = "resume" // run the request again and continue after the tokens received so far
	Stop   Action = "stop"   // return the error to the caller
)

// Attempt describes a request and the attempt that failed.
type Attempt struct {
	Err        error         // why the attempt failed
	Ran        kind.Ran      // whether an upstream ran the request in any attempt so far
	Repeatable bool          // the request may run more than once
	Resumable  bool          // the response can be resumed from an offset
	Tokens     int           // output tokens received so far
	Count      int           // attempts so far, with the failed one
	Deadline   time.Time     // of the whole request; zero if there is none
	Expected   time.Duration // expected time of another attempt until its response is of use
}

// Decision says what follows a failed attempt.
type Decision struct {
	Action        Action
	Kind          kind.Kind     // kind of the error for the caller, if the action is Stop
	Ran           kind.Ran      // whether an upstream ran the request in any attempt so far
	Delay         time.Duration // wait before the next attempt
	AvoidUpstream bool          // the next attempt should not use the same upstream
}

// Config holds the limits of a Budget; zero values get defaults.
type Config struct {
	RetryRatio  float64       // retries per request that are allowed in the long run
	RetryBurst  float64       // retries that are allowed at once
	MaxAttempts int           // attempts of one request, with the first
	BaseDelay   time.Duration // delay before the second retry; it doubles with each further retry
	HedgeRatio  float64       // hedges per request that are allowed in the long run
}

// maxDelay bounds the exponential delay before a retry.
const maxDelay = 500 * time.Millisecond

func (c Config) withDefaults() Config {
	c.RetryRatio = cmp.Or(c.RetryRatio, 0.1)
	c.RetryBurst = cmp.Or(c.RetryBurst, 20)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 4)
	c.BaseDelay = cmp.Or(c.BaseDelay, 20*time.Millisecond)
	c.HedgeRatio = cmp.Or(c.HedgeRatio, 0.02)
	return c
}

// Budget limits the retries and hedges of a pool to a fraction of its requests, so that retries do not amplify an overload.
// It is not safe for concurrent use.
type Budget struct {
	config      Config
	retryCredit float64 // retries that are allowed now
	hedgeCredit float64 // hedges that are allowed now
}

// New returns a Budget that allows a full burst of retries and one hedge.
func New(c Config) *Budget {
	c = c.withDefaults()
	return &Budget{config: c, retryCredit: c.RetryBurst, hedgeCredit: 1}
}

// RecordRequest adds the retries and hedges that a new request allows to the budget.
func (b *Budget) RecordRequest() {
	b.retryCredit = min(b.retryCredit+b.config.RetryRatio, b.config.RetryBurst)
	b.hedgeCredit = min(b.hedgeCredit+b.config.HedgeRatio, max(1, b.config.RetryBurst*b.config.HedgeRatio/b.config.RetryRatio))
}

// Decide returns what follows a failed attempt. A retry that puts load on an upstream is taken from the budget.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	ran := strongerRan(a.Ran, kind.From(a.Err).Ran())
	k := kind.Of(a.Err)
	stop := Decision{Action: Stop, Kind: k, Ran: ran}
	if !mayRunAgain(k, ran, a) || a.Count >= b.config.MaxAttempts {
		return stop
	}
	delay := max(b.delay(a), requestedDelay(a.Err))
	if !a.Deadline.IsZero() && now.Add(delay+a.Expected).After(a.Deadline) {
		return stop
	}
	if !addsNoLoad(k, ran) {
		if b.retryCredit < 1 {
			return stop
		}
		b.retryCredit--
	}
	action := Retry
	if a.Tokens > 0 {
		action = Resume
	}
	return Decision{Action: action, Ran: ran, Delay: delay, AvoidUpstream: k != kind.UpstreamStalled}
}

// requestedDelay returns the delay that the error of a request which was not sent asks for, for example because a copy of
// the request is on trial after a crash. The default delay of the error's kind is ignored: it is meant for callers.
func requestedDelay(err error) time.Duration {
	e := kind.From(err)
	if e.Kind() != kind.Unavailable || e.RetryAfter() == e.Kind().Response().RetryAfter() {
		return 0
	}
	return e.RetryAfter()
}

// mayRunAgain reports whether another attempt is allowed and may succeed, given the kind of the error and whether any
// attempt ran.
func mayRunAgain(k kind.Kind, ran kind.Ran, a Attempt) bool {
	switch k {
	case kind.Unavailable, kind.Rejected, kind.Lost, kind.Failed, kind.UpstreamStalled, kind.ResponseMismatch:
	default:
		return false
	}
	if ran != kind.RanNo && !a.Repeatable {
		return false
	}
	return a.Tokens == 0 || a.Resumable
}

// addsNoLoad reports whether a retry adds no load, because the upstream never received the request.
func addsNoLoad(k kind.Kind, ran kind.Ran) bool {
	return k == kind.Unavailable && ran == kind.RanNo
}

// delay returns the delay before the next attempt. The first retry is not delayed.
func (b *Budget) delay(a Attempt) time.Duration {
	if a.Count < 2 {
		return 0
	}
	return min(b.config.BaseDelay<<(a.Count-2), maxDelay)
}

// strongerRan combines what is known of two attempts: RanYes takes precedence over RanMaybe, and RanMaybe over RanNo.
func strongerRan(a, b kind.Ran) kind.Ran {
	switch {
	case a == kind.RanYes || b == kind.RanYes:
		return kind.RanYes
	case a == kind.RanMaybe || b == kind.RanMaybe:
		return kind.RanMaybe
	}
	return kind.RanNo
}

// PendingAttempt describes a running attempt that has not received its first token.
type PendingAttempt struct {
	Repeatable    bool          // the request may run more than once
	Waited        time.Duration // since the attempt was sent
	FirstTokenP95 time.Duration // 95th percentile of the time to first token
	Expected      time.Duration // expected time to first token of a second attempt
	Deadline      time.Time     // for the first token; zero if there is none
	FreeSlots     int           // free slots of this host
	Queued        int           // requests that wait for a slot
	Hedged        bool          // a second attempt was already started
}

// AllowHedge reports whether a second attempt may start in parallel to the first, and takes it from the budget. The request
// must be repeatable, the first attempt slower than usual, the second one expected to meet the deadline, and no queued
// request may need the slot.
func (b *Budget) AllowHedge(now time.Time, s PendingAttempt) bool {
	switch {
	case !s.Repeatable, s.Hedged, s.Queued > 0, s.FreeSlots < 2, s.Waited <= s.FirstTokenP95:
		return false
	case !s.Deadline.IsZero() && now.Add(s.Expected).After(s.Deadline):
		return false
	case b.hedgeCredit < 1:
		return false
	}
	b.hedgeCredit--
	return true
}
