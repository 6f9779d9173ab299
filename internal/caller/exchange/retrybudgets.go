package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/retry"
)

// RetryBudgets holds the retry budget of each pool, and the times to first token by which it is decided whether
// another attempt can meet the deadline. It is safe for concurrent use.
type RetryBudgets struct {
	mu      sync.Mutex
	config  retry.Config
	budgets map[string]*poolBudget
}

// poolBudget is the retry budget and the recent times to first token of one pool.
type poolBudget struct {
	*retry.Budget
	firstTokenTimes latencyWindow
}

// NewRetryBudgets returns budgets that all have the limits of config.
func NewRetryBudgets(config retry.Config) *RetryBudgets {
	return &RetryBudgets{config: config, budgets: map[string]*poolBudget{}}
}

// RecordRequest records a new request to a pool, which adds to the pool's budget.
func (r *RetryBudgets) RecordRequest(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(pool).RecordRequest()
}

// Decide returns what follows a failed attempt.
func (r *RetryBudgets) Decide(pool string, now time.Time, a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(pool).Decide(now, a)
}

// RecordFirstTokenTime records the time from sending an attempt to its first token, or to the response header of a
// plain service.
func (r *RetryBudgets) RecordFirstTokenTime(pool string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetFor(pool).firstTokenTimes.add(d)
}

// FirstTokenTimeMedian returns the median time to first token of a pool, zero while too few times are recorded.
func (r *RetryBudgets) FirstTokenTimeMedian(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(pool).firstTokenTimes.quantile(expectedQuantile)
}

// FirstTokenTimeP95 returns the 95th percentile of the time to first token of a pool, beyond which an attempt
// counts as late. It is zero while too few times are recorded.
func (r *RetryBudgets) FirstTokenTimeP95(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetFor(pool).firstTokenTimes.quantile(lateQuantile)
}

// AllowHedge reports whether a second attempt may start in parallel to a running one, by the pool's times to first
// token, and takes it from the pool's budget.
func (r *RetryBudgets) AllowHedge(pool string, now time.Time, s retry.PendingAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetFor(pool)
	s.FirstTokenP95, s.Expected = b.firstTokenTimes.quantile(lateQuantile), b.firstTokenTimes.quantile(expectedQuantile)
	return b.AllowHedge(now, s)
}

// budgetFor returns the budget of a pool. The caller holds the lock.
func (r *RetryBudgets) budgetFor(pool string) *poolBudget {
	b, ok := r.budgets[pool]
	if !ok {
		b = &poolBudget{Budget: retry.New(r.config)}
		r.budgets[pool] = b
	}
	return b
}

// refusalError returns the final error of a request whose last attempt failed with err. ran states whether its earlier attempts ran.
func refusalError(err error, ran kind.Ran) error {
	e := kind.From(err)
	return e.WithRan(strongerRan(ran, e.Ran()))
}

// replaceCause replaces the error of an attempt that was canceled by the reason for the cancellation, such as a
// withdrawn key or the deadline.
func (s *Session) replaceCause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	ran := kind.From(err).Ran()
	var cause *kind.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause.WithRan(ran)
	}
	return kind.Wrap(err, kind.Canceled, "the caller went away").WithRan(ran)
}
