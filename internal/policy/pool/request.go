package pool

import (
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/length"
	"hickorypath/internal/policy/queue"
	"hickorypath/internal/policy/route"
)

// Request asks for one answer. A request with IsRetry set is not refused for overload on arrival, is not shed, and is
// served first in its tier.
type Request struct {
	ID                uint64
	Customer          string
	Class             string
	Weight            float64   // weight of the customer, 1 when zero
	PromptTokens      int       // estimated
	MaxTokens         int       // upper bound of the output tokens, zero when unknown
	PrefixHashes      []uint64  // hashes of the prompt's prefix blocks, salted per customer
	Deadline          time.Time // time after which the answer is of no use, zero for none
	ExcludedUpstreams []string  // upstreams that must not run the request
	RequiredUpstream  string    // only upstream that may run the request, also beyond this host's limit there; empty for any
	Fingerprint       uint64    // equal for copies of the same request, zero for none
	IsRetry           bool      // a retry or resume of a request that was started before
}

// Action is the kind of a Decision.
type Action int

// The actions of a Decision.
const (
	Wait   Action = iota // the request is queued; a later decision starts or refuses the request
	Start                // run the request on Decision.Upstream
	Refuse               // answer the caller with Decision.Kind
)

// Decision tells the caller of a Pool method what to do with one request.
type Decision struct {
	ID         uint64
	Action     Action
	Upstream   string
	Permit     advisory.Permit // to send the request to the upstream
	Kind       kind.Kind
	RetryAfter time.Duration // time after which a refused caller should retry
	Guaranteed bool          // started from the guaranteed share of its class
}

// Result reports how the run of a request ended.
type Result struct {
	OutputTokens     int
	Failed           bool
	Crashed          bool
	TimeToFirstToken time.Duration // measured from the start of the run, zero when there was no token
	TokenGap         time.Duration // mean time between tokens, zero when unknown
}

// call is a request that waits or runs.
type call struct {
	Request
	item             queue.Item
	class            *class
	flow             *length.Flow
	arrived          time.Time
	expires          time.Time
	started          time.Time
	upstream         string
	durable          bool    // runs on a durable upstream
	guaranteedOnly   bool    // admitted by the guaranteed share of its class while its tier is held back
	guaranteed       bool    // started from the guaranteed share of its class
	unplaceable      bool    // no upstream could run the request because of its placement constraints
	chargedTokens    float64 // output tokens charged so far
	emittedTokens    int
	gapSampledTokens int       // part of emittedTokens that is covered by samples of the token gap
	gapSampledAt     time.Time // time of the last token covered by a sample
	expiryIndex      int       // position in the expiry heap, -1 when absent
}

func (c *call) isRunning() bool { return c.upstream != "" }

// routeRequest describes the request to the balancer.
func (c *call) routeRequest(allowReclaimable bool) route.Request {
	return route.Request{
		AllowReclaimable: allowReclaimable,
		Prefix:           c.PrefixHashes,
		PromptTokens:     c.PromptTokens,
		Exclude:          c.ExcludedUpstreams,
		PinnedUpstream:   c.RequiredUpstream,
		Fingerprint:      c.Fingerprint,
	}
}

// hasConstraints reports whether the request has placement constraints of its own, beyond those of its class.
func (c *call) hasConstraints() bool { return len(c.ExcludedUpstreams) > 0 || c.RequiredUpstream != "" }
