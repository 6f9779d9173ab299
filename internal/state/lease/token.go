package lease

import (
	"context"
	"time"

	"hickorypath/internal/core/kind"
)

// Token shows that the lease was held when the Token was issued. Valid tells whether the lease is still held.
type Token struct {
	lease        *Lease
	fencingToken uint64
}

// FencingToken returns the fencing token of the holder.
func (t Token) FencingToken() uint64 { return t.fencingToken }

// Valid returns an error of kind LeaseNotHeld unless the lease stays valid for need, the time within which a request
// sent now arrives or is dropped.
func (t Token) Valid(need time.Duration) error {
	l := t.lease
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.check(t.fencingToken, need); err != nil {
		return err
	}
	l.inFlightUntil = max(l.inFlightUntil, l.clock.Boot()+need)
	return nil
}

// Confirm asks the store whether the lease is still held. It is called before something is sent, since a store that was restored
// from an older copy may have given the lease to another host before the validity ends. The error has kind LeaseNotHeld.
func (t Token) Confirm(ctx context.Context) error {
	l := t.lease
	if !l.renew(ctx) {
		return kind.New(kind.LeaseNotHeld, "the store does not confirm lease %s", l.opts.Name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(t.fencingToken, 0)
}
