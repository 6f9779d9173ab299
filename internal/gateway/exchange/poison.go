package exchange

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/poison"
)

const (
	// maxTraits bounds the parts of a prompt that are looked at.
	maxTraits = 32
	// begunTime is how long after its first event a response must still be under way to show that its request does not break
	// upstreams.
	begunTime = 500 * time.Millisecond
	// staleTime bounds the age of a request whose reused connection ends without a response because the upstream had closed it
	// before.
	staleTime = 25 * time.Millisecond
	// poisonRetryAfter is the retry delay for a request like those that broke the upstreams that ran them.
	poisonRetryAfter = 10 * time.Second
)

// errPoison ends attempts of requests whose traits are refused from now on.
var errPoison = errors.New("requests like this one broke every upstream that ran them")

// findTraits returns the parts of the request's prompt that other requests share; the last part belongs to the request alone.
func (e *exchange) findTraits() []poison.Trait {
	parts := e.info.PromptParts
	if len(parts) > 0 {
		parts = parts[:min(len(parts)-1, maxTraits)]
	}
	traits := make([]poison.Trait, len(parts))
	for depth, p := range parts {
		traits[depth] = poison.Trait{ID: p.ID, Depth: depth}
	}
	return traits
}

// hashRequest returns a fingerprint that is the same if the same client sends the same request again with another
// request id.
func (e *exchange) hashRequest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(e.info.APIKey), e.request.Method(), e.request.Target(), e.request.Body()} {
		_, _ = d.Write(part) // writing to a hash never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// checkPoison returns an error if requests like this one have broken the upstreams that ran them.
func (e *exchange) checkPoison() error {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	if e.isTrial {
		return nil
	}
	refused, trial := e.x.poison.Refuses(e.x.opts.Now(), e.traits, func(trait uint64) bool { return e.x.opts.Fleet().Owns(trait) })
	if refused {
		return kind.New(kind.Unavailable, "requests like this one broke every upstream that ran them").WithRetry(poisonRetryAfter)
	}
	if e.isTrial = trial; trial {
		e.x.opts.Log.Info("request like those that broke upstreams is tried again", zap.String("id", e.info.ID), zap.Strings("parts", partIDs(e.info.PromptParts)))
	}
	return nil
}

// recordCrash records that an upstream's connection broke while it ran the request. As long as the response has not begun, any of
// the request's parts may be the cause.
func (e *exchange) recordCrash(i *upstream.Instance) {
	traits := e.traits[len(e.traits)-1:] // the whole request
	if !e.begun {
		traits = e.traits
	}
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.x.refuse(e.x.poison.RecordCrash(e.x.opts.Now(), crashID(i), traits), "")
	e.x.opts.NotifyPeers()
}

// crashID identifies the crash of an incarnation of an instance on all hosts.
func crashID(i *upstream.Instance) uint64 {
	return xxhash.Sum64String(i.ID() + " " + strconv.FormatInt(i.Entry().Born, 10))
}

// recordBegun records that a response to the request is under way.
func (e *exchange) recordBegun() {
	if e.begun {
		return
	}
	e.begun = true
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.x.poison.RecordBegun(e.x.opts.Now(), e.traits[:len(e.traits)-1])
}

// recordComplete records that an upstream completed the response to the request.
func (e *exchange) recordComplete() {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.begun = true
	e.x.poison.RecordBegun(e.x.opts.Now(), e.traits)
}

// startAttempt returns a context for an attempt, which ends when requests like this one are refused before the response has begun.
func (e *exchange) startAttempt(ctx context.Context) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.begun = false
	e.x.attempts[e] = cancel
	return ctx, func() {
		e.x.mu.Lock()
		defer e.x.mu.Unlock()
		delete(e.x.attempts, e)
		cancel(nil)
	}
}

// refuse ends the attempts of requests with refused traits, before they break further upstreams. The host told of the crashes, and
// is empty for this host. The caller holds x.mu.
func (x *Exchanger) refuse(traits []uint64, host string) {
	for _, trait := range traits {
		x.opts.Log.Warn("requests with this trait are refused, since they broke every upstream that ran them",
			zap.String("trait", strconv.FormatUint(trait, 16)), zap.String("peer", host))
	}
	if len(traits) == 0 {
		return
	}
	for e, cancel := range x.attempts {
		if !e.begun && !e.isTrial && x.poison.HasRefused(e.traits) {
			cancel(errPoison)
		}
	}
}

// PoisonEvidence returns what this host knows of traits of requests that break upstreams, for the other hosts.
func (x *Exchanger) PoisonEvidence() []poison.Evidence {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.poison.Evidence(x.opts.Now())
}

// MergePoisonEvidence records what another host knows of traits of requests that break upstreams.
func (x *Exchanger) MergePoisonEvidence(now time.Time, host string, told []poison.Evidence) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refuse(x.poison.Merge(now, told), host)
}
