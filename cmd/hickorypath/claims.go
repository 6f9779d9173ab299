package main

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/claim"
	"hickorypath/internal/state/store"
)

// hashHeader is a pseudo-header in the stored outcome of a request. Its value is the hash of that request. The header
// is kept only in the store and never sent to a caller.
const hashHeader = ":hash"

func provideClaims(i do.Injector) (*claim.Registry, error) {
	return claim.New(get[*store.Client](i), get[clock.Clock](i), claim.Options{}), nil
}

// newClaimFunc returns the function that claims an idempotency key for a request. For a key whose request has finished,
// the function returns the stored outcome in place of a claim.
func newClaimFunc(registry *claim.Registry) func(ctx context.Context, customer, route, idempotency, hash string, expiry time.Duration) (*exchange.Claim, *exchange.Outcome, error) {
	return func(ctx context.Context, customer, route, idempotency, hash string, expiry time.Duration) (*exchange.Claim, *exchange.Outcome, error) {
		c, stored, err := registry.Begin(ctx, customer, route, idempotency, expiry)
		if err != nil {
			return nil, nil, err
		}
		if stored != nil {
			o, err := replayOutcome(stored, hash)
			return nil, o, err
		}
		return newClaim(c, hash), nil, nil
	}
}

// replayOutcome converts a stored outcome into the answer for a repeated request. It returns an error when the outcome
// belongs to a request with another hash.
func replayOutcome(stored *claim.Outcome, hash string) (*exchange.Outcome, error) {
	o := &exchange.Outcome{Status: stored.Status, Header: map[string][]string{}, Body: stored.Body}
	for name, values := range stored.Header {
		if name != hashHeader {
			o.Header[name] = values
			continue
		}
		if len(values) != 1 || values[0] != hash {
			return nil, kind.New(kind.Invalid, "the idempotency key was used before with another request; choose a new one")
		}
	}
	return o, nil
}

func newClaim(c *claim.Claim, hash string) *exchange.Claim {
	return &exchange.Claim{
		Valid:   c.Valid,
		Release: c.Release,
		Finish: func(ctx context.Context, o exchange.Outcome) error {
			header := map[string][]string{hashHeader: {hash}}
			for name, values := range o.Header {
				header[name] = values
			}
			return c.Finish(ctx, claim.Outcome{Status: o.Status, Header: header, Body: o.Body})
		},
	}
}
