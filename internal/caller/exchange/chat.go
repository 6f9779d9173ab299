package exchange

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/poison"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/retry"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/engine"
)

// eventSeparator separates the events of a stored streamed response. An event is JSON on a single line and
// therefore never contains a newline.
var eventSeparator = []byte("\n")

// Output receives the response of a chat completion on its way to the caller.
type Output struct {
	// WriteEvent receives one event of a streamed response, or the whole body of a response that is not streamed.
	WriteEvent func(data []byte) error
}

// chat is the state of one chat completion over all its attempts.
type chat struct {
	*Session
	body            *ChatBody
	data            []byte // the body as it is sent to an engine
	fingerprint     suspect.Fingerprint
	parts           []poison.Trait // of the prompt, that other requests may share
	isPartTrial     bool           // the request shows whether its parts still crash upstreams
	out             Output
	priorAttemptID  string // the attempt that the next one resumes, empty if the next one starts anew
	deliveredTokens int    // output tokens delivered to the caller
	usage           *engine.Usage
	ran             kind.Ran
	excluded        []string
	attempts        int
	isBegun         bool   // the caller has got events
	version         string // software version that sent them
	resumed         bool   // the last attempt resumed the response of an earlier one
	hedgeWaste      int    // tokens of attempts that were canceled because a parallel attempt was faster
	tokenGaps       gapMeter
}

// Chat runs a chat completion until its response is complete or the request has failed for good.
func (s *Session) Chat(body *ChatBody, out Output) error {
	data, err := body.UpstreamBody()
	if err != nil {
		return err
	}
	c := &chat{Session: s, body: body, data: data, out: out, ran: kind.RanNo}
	c.takeUp(s.req.Progress)
	c.fingerprint = suspect.NewFingerprint(s.customer, s.route.Name(), body.messages)
	c.parts = body.sharedParts()
	estimate := body.PromptTokens() + s.pool.ExpectedTokens(c.request(""))
	done, err := s.runner.deps.Admit(s.customer, s.class.Name(), estimate)
	if err != nil {
		return err
	}
	ctx, cancel := s.deadlineContext()
	defer cancel()
	err = s.runWithClaim(ctx, hashBody(data), func() error { return c.run(ctx) })
	if err == nil && s.storedOutcome != nil {
		done(noTokens)
		return c.sendStored(s.storedOutcome)
	}
	used := c.settleUsage(err)
	if c.mayContinueElsewhere(err) {
		s.progress = Progress{Tokens: c.deliveredTokens, Version: c.version, AttemptID: c.priorAttemptID}
		used = noTokens // the host that takes the stream up counts them
	}
	done(used)
	return err
}

// sendStored answers with the stored response of an earlier run, which was billed at that time and is not
// billed again.
func (c *chat) sendStored(o *Outcome) error {
	if !c.body.IsStream() {
		return c.out.WriteEvent(o.Body)
	}
	for event := range bytes.SplitSeq(o.Body, eventSeparator) {
		if err := c.out.WriteEvent(event); err != nil {
			return kind.Wrap(err, kind.Canceled, "the caller stopped reading").WithRan(kind.RanYes)
		}
	}
	return nil
}

// hashBody returns a hash that distinguishes requests that carry the same idempotency key.
func hashBody(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }

// deadlineContext returns the context of the session with its deadline. The context's cause after the deadline
// is an error of kind Timeout.
func (s *Session) deadlineContext() (context.Context, context.CancelFunc) {
	timeoutErr := kind.New(kind.Timeout, "the answer did not end in time").WithRan(kind.RanMaybe)
	return context.WithDeadlineCause(s.ctx, s.deadline(), timeoutErr)
}

// run makes attempts until the response is complete, or until the retry budget or the pool allows no further one.
func (c *chat) run(ctx context.Context) error {
	budget := c.runner.deps.RetryBudgets
	budget.RecordRequest(c.pool.Name())
	for {
		before := c.attempts
		err := c.attempt(ctx)
		if err == nil {
			return nil
		}
		err = c.replaceCause(ctx, err)
		if c.mayPickAgain(err) {
			continue
		}
		if c.attempts == before || !c.isBegun && c.MayRelay(err) || c.mayContinueElsewhere(err) {
			return refusalError(err, c.ran)
		}
		decision := budget.Decide(c.pool.Name(), c.runner.deps.Clock.Now(), retry.Attempt{
			Err:        err,
			Ran:        c.ran,
			Repeatable: c.route.Repeatable(),
			Resumable:  c.body.IsStream(),
			Tokens:     c.deliveredTokens,
			Count:      c.attempts,
			Deadline:   c.deadline(),
			Expected:   budget.FirstTokenTimeMedian(c.pool.Name()),
		})
		c.ran = decision.Ran
		if decision.AvoidUpstream && c.summary.Upstream != "" {
			c.excluded = append(c.excluded, c.summary.Upstream)
		}
		if decision.Action == retry.Stop || !c.pool.HasAlternative(c.request("").ExcludedUpstreams) {
			return kind.From(err).WithRan(decision.Ran)
		}
		if decision.Action == retry.Retry {
			c.priorAttemptID = ""
		}
		if err := sleep(ctx, decision.Delay); err != nil {
			return c.replaceCause(ctx, err)
		}
	}
}

// request returns the request to the pool for the next attempt. If requiredUpstream is not empty, only this
// upstream may run the attempt.
func (c *chat) request(requiredUpstream string) pool.Request {
	excluded := c.excluded
	if c.isBegun {
		excluded = append(slices.Clone(excluded), c.otherVersions()...)
	}
	return pool.Request{
		Customer:          c.customer,
		Class:             c.class.Name(),
		Weight:            c.weight,
		PromptTokens:      c.body.PromptTokens(),
		MaxTokens:         c.body.OutputLimit(),
		PrefixHashes:      c.body.PrefixHashes(c.customer),
		Deadline:          c.deadline(),
		ExcludedUpstreams: excluded,
		RequiredUpstream:  requiredUpstream,
		Fingerprint:       uint64(c.fingerprint),
		IsRetry:           c.attempts > 0,
	}
}

// otherVersions returns the upstreams that are known to run another software version than the one that began the response.
func (c *chat) otherVersions() (ids []string) {
	if c.runner.deps.Version == nil {
		return nil
	}
	for _, t := range c.pool.Targets() {
		if version, ok := c.runner.deps.Version(t); ok && version != c.version {
			ids = append(ids, t.ID())
		}
	}
	return ids
}

// call returns the call to an engine for the attempt with the given id.
func (c *chat) call(attemptID string) engine.Call {
	return engine.Call{
		AttemptID:      attemptID,
		Body:           c.data,
		Header:         http.Header{},
		CallerKey:      c.req.Bearer,
		CacheSalt:      c.customer,
		Stream:         c.body.IsStream(),
		Priority:       c.class.Tier(),
		ResumeOffset:   c.deliveredTokens,
		PriorAttemptID: c.priorAttemptID,
		IsBegun:        c.isBegun,
		Version:        c.version,
	}
}

// passEvent records the usage and the tokens of one event and passes the event to the caller. The event that
// ends the stream is left out, and so is an event with the usage alone if the caller did not ask for it.
func (c *chat) passEvent(grant dispatch.Grant, e engine.Event) error {
	if e.Usage != nil {
		c.usage = e.Usage
	}
	if e.Tokens > 0 {
		c.tokenGaps.add(c.runner.deps.Clock.Now(), e.Tokens)
		c.pool.AddTokens(grant, e.Tokens)
	}
	if c.body.IsStream() {
		if e.Done {
			return nil
		}
		if e.Usage != nil && !c.body.wantsUsage && isUsageOnly(e.Data) {
			return nil
		}
	}
	if err := c.out.WriteEvent(e.Data); err != nil {
		return kind.Wrap(err, kind.Canceled, "the caller stopped reading").WithRan(kind.RanYes)
	}
	c.deliveredTokens += e.Tokens
	c.recordOutcome(e.Data)
	return nil
}

// recordOutcome appends one event to the response to be stored. Only a non-repeatable request with an
// idempotency key needs it, because a resend of it must get the same response.
func (c *chat) recordOutcome(data []byte) {
	if c.route.Repeatable() || c.req.IdempotencyKey == "" {
		return
	}
	if c.outcome == nil {
		c.outcome = &Outcome{Status: http.StatusOK, Body: bytes.Clone(data)}
		return
	}
	c.outcome.Body = append(append(c.outcome.Body, eventSeparator...), data...)
}

// recordTimeToFirstToken records the time from arrival to the first event of a streamed response that carries
// tokens or ends the response.
func (c *chat) recordTimeToFirstToken(e engine.Event) {
	if !c.body.IsStream() || c.summary.TimeToFirstToken > 0 || (e.Tokens == 0 && !e.Done) {
		return
	}
	c.summary.TimeToFirstToken = c.runner.deps.Clock.Now().Sub(c.arrived)
}

// settleUsage fills the summary with the cost of the request, bills the request and returns its number of tokens.
// The engine's count of output tokens is used, unless the response was resumed. A request is billed if its response
// is complete, or if its caller canceled it after the first tokens; else its tokens count as wasted.
func (c *chat) settleUsage(err error) int {
	c.summary.Attempts = c.attempts
	c.summary.TokenGapP95 = c.tokenGaps.quantile()
	prompt, output := 0, c.deliveredTokens
	if c.usage != nil {
		prompt = c.usage.PromptTokens
	}
	if c.usage != nil && !c.resumed {
		output = c.usage.CompletionTokens
	}
	switch {
	case err == nil:
		c.bill(prompt, output, c.hedgeWaste)
	case kind.Of(err) == kind.Canceled && c.deliveredTokens > 0:
		c.bill(c.body.PromptTokens(), c.deliveredTokens, c.hedgeWaste)
	default:
		c.summary.WastedTokens = c.deliveredTokens + c.hedgeWaste
	}
	return prompt + output
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
