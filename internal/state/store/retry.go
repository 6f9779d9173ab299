package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/progress"
)

// retryTimer bounds the time of a call with its retries, both by a context and by the boot time, which also runs
// while the machine is suspended.
type retryTimer struct {
	shared   *sharedState
	deadline time.Duration
	attempts int
	cancel   context.CancelFunc
}

func (c *sharedState) newRetryTimer(ctx context.Context, op string) (context.Context, *retryTimer) {
	ctx, cancel := withTimeout(ctx, op, c.opts.TotalTimeout)
	return ctx, &retryTimer{shared: c, deadline: c.opts.Clock.Boot() + c.opts.TotalTimeout, cancel: cancel}
}

// maxTransferTime bounds the time of a response whose bytes keep coming.
const maxTransferTime = 30 * time.Second

// withTimeout bounds the time of an operation. The values that a read returns may be large and the link slow, so a read may
// go on for as long as bytes of the response come.
func withTimeout(ctx context.Context, op string, timeout time.Duration) (context.Context, context.CancelFunc) {
	switch op {
	case opGet, opList, opWatch:
		return progress.WithTimeout(ctx, timeout, timeout+maxTransferTime)
	default:
		return context.WithTimeout(ctx, timeout)
	}
}

// pause sleeps before the next attempt; it reports false if there is no time left for another attempt.
func (w *retryTimer) pause(ctx context.Context) bool {
	d := w.shared.backoff(w.attempts)
	w.attempts++
	if w.shared.opts.Clock.Boot()+d >= w.deadline {
		return false
	}
	return sleep(ctx, d)
}

// backoff returns a delay whose mean doubles with each attempt up to Options.MaxBackoff, with jitter of half the mean
// to either side.
func (c *sharedState) backoff(tries int) time.Duration {
	limit := min(backoffBase<<min(tries, 10), c.opts.MaxBackoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	return limit/2 + time.Duration(c.rand.Int64N(int64(limit)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForLimits waits until the budget of a use and the rate limit of the process allow a call.
func (c *sharedState) waitForLimits(ctx context.Context, u Use) error {
	for _, l := range []*rate.Limiter{c.budget(u), c.limiter} {
		if err := l.Wait(ctx); err != nil {
			if ctx.Err() != nil {
				return kind.Wrap(err, kind.Store, "no time left for a call")
			}
			return kind.Wrap(err, kind.Budget, "store calls of use %s", u)
		}
	}
	return nil
}

func (c *sharedState) budget(u Use) *rate.Limiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.budgets[u]
	if !ok {
		l = newLimiter(c.opts.budget(u))
		c.budgets[u] = l
	}
	return l
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}
