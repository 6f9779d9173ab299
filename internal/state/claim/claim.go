// Package claim makes a request that must not be repeated run at most once, whichever hosts receive its repeats.
//
// A claim is stored before the request is sent. A claim without an outcome means that the request may have run.
// Claims are stored in buckets; the claims that one host makes in the same bucket at about the same time share one
// write.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hickorypath/internal/core/kind"
)

// Outcome is the response that repeats of the request get.
type Outcome struct {
	Status int                 `cbor:"s"`
	Header map[string][]string `cbor:"h,omitempty"`
	Body   []byte              `cbor:"b,omitempty"`
}

// Claim is the right to send one request once.
type Claim struct {
	registry   *Registry
	id         string
	owner      string
	validUntil time.Duration // boot time
}

// Valid returns an error of kind Claimless if the claim may expire before the request has run. It has to be
// called directly before the request is sent.
func (c *Claim) Valid() error {
	if c.registry.clock.Boot() >= c.validUntil {
		return kind.New(kind.ClaimNotStored, "the claim is too old to send the request")
	}
	return nil
}

// Finish stores the outcome for later repeats. Without an outcome, repeats are told that the request may have
// run.
func (c *Claim) Finish(ctx context.Context, o Outcome) error {
	separate := len(o.Body) > inlineLimit
	if separate {
		if err := c.registry.putBody(ctx, c.id, o.Body); err != nil {
			return err
		}
		o.Body = nil
	}
	return c.registry.update(ctx, c.id, func(b bucket) (bool, error) {
		e, ok := b[c.id]
		if !ok || e.Owner != c.owner {
			return false, kind.New(kind.Missing, "the claim is gone")
		}
		if e.Outcome != nil {
			return false, nil
		}
		state, err := states.Next(e.State, "finish")
		if err != nil {
			return false, err
		}
		e.State, e.Outcome, e.SeparateBody = state, &o, separate
		b[c.id] = e
		return true, nil
	})
}

// Release removes the claim. It may only be called if certainly nothing of the request was sent, or if the
// upstream itself stated that it did not run the request.
func (c *Claim) Release(ctx context.Context) error {
	return c.registry.update(ctx, c.id, func(b bucket) (bool, error) {
		e, ok := b[c.id]
		if !ok || e.Owner != c.owner {
			return false, nil
		}
		if _, err := states.Next(e.State, "release"); err != nil {
			return false, err
		}
		delete(b, c.id)
		return true, nil
	})
}

// requestID returns the id of a request, a hash of its customer, route and idempotency key.
func requestID(customer, route, key string) string {
	h := sha256.New()
	for _, s := range []string{customer, route, key} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// idBytes is the length of a request id before its hexadecimal encoding.
const idBytes = 16
