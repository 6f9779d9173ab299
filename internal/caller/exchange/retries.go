package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/retry"
	"hickorypath/internal/upstream/dispatch"
)

// Retries holds one retry budget for each pool, and the times to first token that decide whether one
// more attempt can be in time. It is safe for concurrent use.
type Retries struct {
	mu      sync.Mutex
	config  retry.Config
	budgets map[string]*budget
}

// budget is what is kept for one pool.
type budget struct {
	*retry.Budget
	firsts window
}

// NewRetries returns budgets that all have the limits of config.
func NewRetries(config retry.Config) *Retries {
	return &Retries{config: config, budgets: map[string]*budget{}}
}

// Request notes a new request to a pool.
func (r *Retries) Request(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(pool).Request()
}

// Next decides what follows a failed attempt.
func (r *Retries) Next(pool string, now time.Time, a retry.Attempt) retry.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(pool).Next(now, a)
}

// First notes the time from sending an attempt to its first token.
func (r *Retries) First(pool string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(pool).firsts.add(d)
}

// Expected returns the median time to first token of a pool, zero while few are known.
func (r *Retries) Expected(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(pool).firsts.quantile(expectedQuantile)
}

// Usual returns the time to first token beyond which an attempt to a pool is late, zero while few are known.
func (r *Retries) Usual(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(pool).firsts.quantile(usualQuantile)
}

// Hedge decides whether a second attempt may start beside a running one, by the pool's times to first token.
func (r *Retries) Hedge(pool string, now time.Time, s retry.Slack) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(pool)
	s.Usual, s.Expected = b.firsts.quantile(usualQuantile), b.firsts.quantile(expectedQuantile)
	return b.Hedge(now, s)
}

// of returns the budget of a pool; the caller holds the lock.
func (r *Retries) of(pool string) *budget {
	b, ok := r.budgets[pool]
	if !ok {
		b = &budget{Budget: retry.New(r.config)}
		r.budgets[pool] = b
	}
	return b
}

// judge ends a run and tells whether its upstream is to be left alone for a while. The only upstream of a
// pool is not: a request that finds it down fails at once, and the next one finds out when it is back.
func (s *Session) judge(ctx context.Context, grant dispatch.Grant, run uint64, err error) bool {
	return s.verdict(ctx, grant, run, err) && s.pool.HasOther([]string{grant.Target().ID()})
}

// verdict ends a run in the book of suspects and tells whether its upstream crashed. An upstream that
// refuses connections is as good as crashed, and the request that finds it so did not cause it. The
// question whether the upstream still answers outlives the caller, and until it is answered the run stays
// in the book: a request that crashes upstreams cannot escape by a caller that hangs up.
func (s *Session) verdict(ctx context.Context, grant dispatch.Grant, run uint64, err error) (crashed bool) {
	if kind.Of(err) != kind.Lost {
		s.runner.deps.Suspects.Finish(s.runner.deps.Clock.Now(), run, err == nil)
		return kind.Of(err) == kind.Unavailable && ctx.Err() == nil
	}
	verdict := make(chan bool, 1)
	go func() {
		crashed := s.runner.reportCrash(context.WithoutCancel(ctx), s.pool.Name(), grant.Target())
		s.runner.deps.Suspects.Finish(s.runner.deps.Clock.Now(), run, false)
		verdict <- crashed
	}()
	select {
	case crashed = <-verdict:
		return crashed
	case <-ctx.Done():
		return false
	}
}

// reportCrash asks an upstream whether it still answers; when it does not, the requests that ran there
// become suspects on all hosts. A connection that was merely cut makes none. Nor does an upstream that was
// down before the requests were sent, which the book knows; that another host found the crash first says
// nothing of that.
func (r *Runner) reportCrash(ctx context.Context, pool string, t dispatch.Target) bool {
	if !r.deps.IsDown(pool, t.ID()) && r.deps.Alive(ctx, pool, t.Addr()) {
		return false
	}
	if r.isTakenBack(pool, t.ID()) {
		return true
	}
	suspicions, quarantines := r.deps.Suspects.Crash(r.deps.Clock.Now(), t.ID())
	r.deps.Crashed(pool, t.ID(), suspicions, quarantines)
	return true
}

// isTakenBack reports whether the platform stops an upstream: no request crashed it.
func (r *Runner) isTakenBack(pool, upstream string) bool {
	d, ok := r.deps.Pool(pool)
	return ok && slices.ContainsFunc(d.Targets(), func(t dispatch.Target) bool { return t.ID() == upstream && t.Leaving() })
}

// refusal returns the final answer to a request that was refused before it was sent; ran tells what its
// earlier attempts did.
func refusal(err error, ran kind.Ran) error {
	e := kind.From(err)
	return e.WithRan(stronger(ran, e.Ran()))
}

// explain replaces the error of an attempt that was cut short by the reason for the cut, such as a
// withdrawn key or the deadline.
func (s *Session) explain(ctx context.Context, err error) error {
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
