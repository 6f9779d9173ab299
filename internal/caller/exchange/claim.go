package exchange

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

// Claim is the right to run one non-repeatable request. It is held in the platform's store.
type Claim struct {
	// Valid returns an error if the claim is too old to send the request. It is called directly before the request
	// is sent.
	Valid func() error
	// Finish stores the outcome, so that a resend of the request gets the same response.
	Finish func(ctx context.Context, o Outcome) error
	// Release gives up the claim. It is called only if no upstream ran the request.
	Release func(ctx context.Context) error
}

// Outcome is the stored response of a non-repeatable request.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// claimTimeout bounds the call to the store that ends a claim; the call continues after the caller has
// disconnected.
const claimTimeout = 5 * time.Second

// runWithClaim calls run, under a claim if the request is non-repeatable and carries an idempotency key. If the
// store has the outcome of an earlier run, run is not called and the outcome is put into s.storedOutcome.
func (s *Session) runWithClaim(ctx context.Context, hash string, run func() error) error {
	if s.route.Repeatable() || s.req.IdempotencyKey == "" {
		return run()
	}
	claim, stored, err := s.runner.deps.Claim(ctx, s.customer, s.route.Name(), s.req.IdempotencyKey, hash, s.route.ClaimExpiry())
	if err != nil {
		return err
	}
	if stored != nil {
		s.storedOutcome = stored
		return nil
	}
	s.claim = claim
	err = run()
	s.settleClaim(ctx, err)
	return err
}

// checkClaim returns an error if the request runs under a claim that is too old to send the request.
func (s *Session) checkClaim() error {
	if s.claim == nil {
		return nil
	}
	return s.claim.Valid()
}

// settleClaim stores the recorded outcome, or releases the claim if the request did not run. If the request may
// have run and has no outcome, the claim stays, so that a resend is told that the request may have run.
func (s *Session) settleClaim(ctx context.Context, err error) {
	switch {
	case err == nil && s.outcome != nil:
		s.finishClaim(ctx, *s.outcome)
	case err != nil && kind.From(err).Ran() == kind.RanNo:
		s.endClaim(ctx, s.claim.Release)
	}
}

// finishClaim stores the outcome of a request that runs under a claim.
func (s *Session) finishClaim(ctx context.Context, o Outcome) {
	s.endClaim(ctx, func(ctx context.Context) error { return s.claim.Finish(ctx, o) })
}

// endClaim calls end, which finishes or releases a claim, even if the caller has disconnected. A failure is only
// logged, since the response matters more to the caller than the claim.
func (s *Session) endClaim(ctx context.Context, end func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if err := end(ctx); err != nil {
		s.runner.deps.Log.Warn("cannot finish or release the claim", append(s.summary.logFields(), zap.Error(err))...)
	}
}
