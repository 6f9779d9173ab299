// Package progress bounds how long an operation may go on without progress. A fixed time limit would make a transfer fail whose
// size and link need more time, however often it is repeated.
package progress

import (
	"context"
	"io"
	"sync"
	"time"
)

// timer ends a context after a time without progress.
type timer struct {
	parent *timer // of the context that this one was derived from; nil if there is none

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	endsAt  time.Time
}

type timerKey struct{}

// WithTimeout returns a context that ends after timeout without a call of Reset, and after total at the latest. The cause of
// either end is context.DeadlineExceeded.
func WithTimeout(parent context.Context, timeout, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(parent, total)
	ctx, cancel := context.WithCancelCause(ctx)
	t := &timer{timeout: timeout, endsAt: time.Now().Add(timeout)}
	t.parent, _ = parent.Value(timerKey{}).(*timer)
	t.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, timerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}

// Reset records progress: the timeouts of ctx and of the contexts that it was derived from start anew.
func Reset(ctx context.Context) {
	t, _ := ctx.Value(timerKey{}).(*timer)
	for ; t != nil; t = t.parent {
		t.mu.Lock()
		if t.timer.Stop() { // an end that has begun is not taken back
			t.timer.Reset(t.timeout)
			t.endsAt = time.Now().Add(t.timeout)
		}
		t.mu.Unlock()
	}
}

// Deadline returns when ctx ends if there is no progress. ok is false if it does not end by itself.
func Deadline(ctx context.Context) (at time.Time, ok bool) {
	at, ok = ctx.Deadline()
	t, _ := ctx.Value(timerKey{}).(*timer)
	for ; t != nil; t = t.parent {
		t.mu.Lock()
		if !ok || t.endsAt.Before(at) {
			at, ok = t.endsAt, true
		}
		t.mu.Unlock()
	}
	return at, ok
}

// NewReader returns a reader that reads from r and calls Reset for all that it reads.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return reader{ctx, r} }

// maxRead bounds the bytes of one read, since the body of an HTTP response is read until the buffer is full.
const maxRead = 16 << 10

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		Reset(r.ctx)
	}
	return n, err
}
