package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/engine"
)

// attempt is one attempt of a chat completion on one upstream.
type attempt struct {
	grant          dispatch.Grant
	call           engine.Call
	runID          uint64 // id of this run in the SuspectTracker
	onTrial        bool   // the request is a suspect and its trial has not passed yet
	isBegun        bool   // the response has been under way for begunTime
	recalled       atomic.Bool
	receivedTokens atomic.Int64 // output tokens received, including those of earlier attempts that this one resumes
	sent           time.Time
	ctx            context.Context
	cancel         context.CancelFunc
	stream         *engine.Stream
	firstEvent     engine.Event // the first event of the stream, set by openAttempt
	err            error
}

// attempt waits for a slot on an upstream and runs the request there once.
func (c *chat) attempt(ctx context.Context) error {
	if err := c.checkParts(); err != nil {
		return err
	}
	turn, err := c.awaitTurn(ctx, c.fingerprint, c.excluded)
	if err != nil {
		return err
	}
	grant, err := c.acquire(ctx, turn.Upstream)
	if err != nil {
		c.runner.deps.Suspects.LeaveQueue(c.runner.deps.Clock.Now(), turn)
		return err
	}
	a := c.newAttempt(ctx, grant)
	a.onTrial = turn.Upstream != ""
	if a.onTrial && !c.body.IsStream() {
		c.runner.deps.Suspects.ScheduleTrialPass(c.runner.deps.Clock.Now, a.runID)
	}
	if c.mayHedge(a.onTrial) {
		a = c.openWithHedge(ctx, a)
	} else {
		c.openAttempt(a)
	}
	c.summary.Upstream = a.grant.Target().ID()
	before := c.deliveredTokens
	if a.err == nil {
		a.err = c.relay(a)
	}
	c.finishAttempt(ctx, a, c.deliveredTokens-before)
	if a.recalled.Load() && kind.Of(a.err) == kind.Canceled && ctx.Err() == nil {
		return kind.New(kind.UpstreamStalled, "the request, or others with its messages, crashed other upstreams").WithRan(kind.RanMaybe)
	}
	return a.err
}

// acquirePool returns a grant of the session's pool. A request that does not wait is refused if there is none at once.
func (s *Session) acquirePool(ctx context.Context, r pool.Request) (dispatch.Grant, error) {
	if !s.req.NoWait {
		return s.pool.Acquire(ctx, r)
	}
	grant, ok := s.pool.TryAcquire(r)
	if !ok {
		return grant, kind.New(kind.Overload, "pool %s has no room on this host", s.route.Pool())
	}
	return grant, nil
}

// acquire waits for a slot on an upstream, which has to be the required one if that is not empty.
func (c *chat) acquire(ctx context.Context, requiredUpstream string) (dispatch.Grant, error) {
	grant, err := c.acquirePool(ctx, c.request(requiredUpstream))
	if err != nil {
		return grant, err
	}
	if err := c.checkParts(); err != nil {
		c.pool.Cancel(grant)
		return grant, err
	}
	return grant, nil
}

// newAttempt returns an attempt that holds grant and registers it with the SuspectTracker. Only a repeatable
// request can be recalled, since a recalled attempt is sent again.
func (c *chat) newAttempt(ctx context.Context, grant dispatch.Grant) *attempt {
	c.attempts++
	now := c.runner.deps.Clock.Now()
	a := &attempt{grant: grant, sent: now, call: c.call(fmt.Sprintf("%s-%d", c.req.ID, c.attempts))}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.receivedTokens.Store(int64(c.deliveredTokens))
	r := RunCallbacks{Offset: func() int { return int(a.receivedTokens.Load()) }}
	if c.route.Repeatable() {
		r.Recall = a.recall
	}
	a.runID = c.runner.deps.Suspects.Start(now, c.fingerprint, grant.Target().ID(), r)
	c.runner.deps.Parts.Start(a.runID, grant.Target().ID(), c.parts, r.Recall)
	return a
}

// recall cancels an attempt because a copy of its request, or others with its messages, crashed other upstreams.
func (a *attempt) recall() {
	a.recalled.Store(true)
	a.cancel()
}

// openAttempt sends the request and waits for the first event of the response.
func (c *chat) openAttempt(a *attempt) {
	if a.err = c.checkClaim(); a.err != nil {
		return
	}
	a.call.OnAdvisory = c.runner.onAdvisory(a.grant.Target())
	onTrial := a.onTrial
	a.call.BeforeSend = func() error { return c.recheck(a.grant, c.fingerprint, onTrial) }
	a.stream, a.err = c.runner.deps.Engines.Chat(a.ctx, a.grant.Target().Addr(), a.call)
	if a.err == nil {
		a.firstEvent, a.err = a.stream.Next()
	}
}

// relay passes the response of an opened attempt on to the caller until the stream ends.
func (c *chat) relay(a *attempt) error {
	c.priorAttemptID = a.call.AttemptID
	c.resumed = a.call.ResumeOffset > 0
	if !c.isBegun {
		c.isBegun, c.version = true, a.stream.Version()
	}
	event := a.firstEvent
	begunAt := c.runner.deps.Clock.Now().Add(begunTime)
	for {
		if err := c.passEvent(a.grant, event); err != nil {
			return err
		}
		a.receivedTokens.Store(int64(event.Offset))
		a.onTrial = a.onTrial && !c.runner.deps.Suspects.RecordProgress(c.runner.deps.Clock.Now(), a.runID, event.Offset)
		c.recordTimeToFirstToken(event)
		if now := c.runner.deps.Clock.Now(); !a.isBegun && now.After(begunAt) {
			a.isBegun = true
			c.runner.deps.Parts.RecordBegun(now, a.runID)
		}
		var err error
		event, err = a.stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// finishAttempt releases what an attempt holds and reports how it ended to the pool, the retry budgets and the
// SuspectTracker. An attempt that was canceled on this side says nothing about its upstream or about the usual length
// of responses, so its slot is released without a result for the pool.
func (c *chat) finishAttempt(ctx context.Context, a *attempt, output int) {
	result := pool.Result{OutputTokens: output, Failed: a.err != nil}
	if a.stream != nil {
		result.TimeToFirstToken, result.TokenGap = a.stream.FirstTokenLatency(), a.stream.MeanTokenGap()
		a.stream.Close()
	}
	a.cancel()
	if c.body.IsStream() && result.TimeToFirstToken > 0 {
		c.runner.deps.RetryBudgets.RecordFirstTokenTime(c.pool.Name(), result.TimeToFirstToken)
	}
	c.runner.recordGivenUp(c.pool.Name(), a.grant.Target(), a.err)
	result.Crashed = c.finishRun(ctx, a.grant, a.runID, a.err)
	if a.err != nil && (ctx.Err() != nil || kind.Of(a.err) == kind.Canceled || isUnsent(a.err)) {
		c.pool.Cancel(a.grant)
		return
	}
	c.pool.Release(a.grant, result)
}
