package exchange

import (
	"context"
	"slices"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/retry"
)

// hedgeSlack is added to the 95th percentile of the time to first token, so that an attempt that takes exactly
// this long is not hedged.
const hedgeSlack = time.Millisecond

// mayHedge reports whether the request may be hedged at all. Only a streamed response shows when its first token
// arrives, and a suspect must never run twice at the same time.
func (c *chat) mayHedge(isSuspect bool) bool {
	return c.route.Repeatable() && c.body.IsStream() && c.deliveredTokens == 0 && !isSuspect && !c.summary.Hedged
}

// openWithHedge opens an attempt. If its first event takes longer than usual, a second attempt on another upstream
// is opened in parallel. The attempt whose first event arrives first is returned, and the other one is canceled.
func (c *chat) openWithHedge(ctx context.Context, first *attempt) *attempt {
	usual := c.runner.deps.RetryBudgets.FirstTokenTimeP95(c.pool.Name())
	if usual == 0 {
		c.openAttempt(first)
		return first
	}
	opened := make(chan *attempt, 2)
	start := func(a *attempt) {
		c.openAttempt(a)
		opened <- a
	}
	go start(first)
	timer := time.NewTimer(usual + hedgeSlack)
	defer timer.Stop()
	select {
	case a := <-opened:
		return a
	case <-timer.C:
	}
	select {
	case a := <-opened:
		return a
	case alive := <-c.probe(ctx, first):
		if !alive {
			return <-opened
		}
	}
	second := c.startHedge(ctx, first)
	if second == nil {
		return <-opened
	}
	go start(second)
	return c.selectAttempt(ctx, opened, first, second)
}

// probe asks the upstream of an attempt whether it still responds. If it does not, the request may have crashed
// it, and a hedge could crash a second upstream.
func (c *chat) probe(ctx context.Context, a *attempt) <-chan bool {
	answer := make(chan bool, 1)
	go func() { answer <- c.runner.deps.IsAlive(ctx, c.pool.Name(), a.grant.Target().Addr()) }()
	return answer
}

// startHedge returns a second attempt on another upstream, or nil if none may start now.
func (c *chat) startHedge(ctx context.Context, first *attempt) *attempt {
	deps := c.runner.deps
	now := deps.Clock.Now()
	r := c.request("")
	r.ExcludedUpstreams = append(slices.Clone(r.ExcludedUpstreams), first.grant.Target().ID())
	if isSuspect, err := deps.Suspects.Check(now, c.fingerprint); isSuspect || err != nil || !c.pool.HasAlternative(r.ExcludedUpstreams) {
		return nil
	}
	free, queued := c.pool.Headroom()
	pending := retry.PendingAttempt{
		Repeatable: c.route.Repeatable(),
		Waited:     now.Sub(first.sent),
		Deadline:   c.firstTokenDeadline(),
		FreeSlots:  free,
		Queued:     queued,
		Hedged:     c.summary.Hedged,
	}
	if !deps.RetryBudgets.AllowHedge(c.pool.Name(), now, pending) {
		return nil
	}
	grant, ok := c.pool.TryAcquire(r)
	if !ok {
		return nil
	}
	c.summary.Hedged = true
	return c.newAttempt(ctx, grant)
}

// firstTokenDeadline returns the time by which the first token is due: the class's target for it, or the deadline
// of the request if the class has none.
func (c *chat) firstTokenDeadline() time.Time {
	if target := c.class.FirstToken(); target > 0 {
		return c.arrived.Add(target)
	}
	return c.deadline()
}

// selectAttempt returns the attempt that continues. If the first attempt to finish opening lost its connection, it
// is returned and the other one is canceled: the request may have crashed that upstream, and must not crash a
// second one before this is known. After any other error the remaining attempt is returned.
func (c *chat) selectAttempt(ctx context.Context, opened <-chan *attempt, first, second *attempt) *attempt {
	a := <-opened
	if a.err != nil && kind.Of(a.err) != kind.Lost {
		c.excluded = append(c.excluded, a.grant.Target().ID())
		c.ran = strongerRan(c.ran, kind.From(a.err).Ran())
		c.finishAttempt(ctx, a, 0)
		return <-opened
	}
	other := first
	if a == first {
		other = second
	}
	other.cancel()
	c.dropAttempt(ctx, <-opened)
	return a
}

// dropAttempt ends an attempt that was canceled in favor of another one; its tokens count as wasted. The time that
// it waited is recorded as a time to first token. Otherwise each hedge would remove a slow value and so lower the
// percentile by which attempts are hedged.
func (c *chat) dropAttempt(ctx context.Context, a *attempt) {
	if a.err == nil {
		c.hedgeWaste += a.firstEvent.Tokens
		a.err = kind.New(kind.Canceled, "another attempt was faster").WithRan(kind.RanYes)
	} else if kind.Of(a.err) == kind.Canceled {
		c.runner.deps.RetryBudgets.RecordFirstTokenTime(c.pool.Name(), c.runner.deps.Clock.Now().Sub(a.sent))
	}
	c.ran = strongerRan(c.ran, kind.From(a.err).Ran())
	c.finishAttempt(ctx, a, 0)
}

// strongerRan returns the stronger of two statements on whether a request ran: no, maybe, yes.
func strongerRan(a, b kind.Ran) kind.Ran {
	order := []kind.Ran{kind.RanNo, kind.RanMaybe, kind.RanYes}
	return order[max(slices.Index(order, a), slices.Index(order, b))]
}
