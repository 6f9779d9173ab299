package store

import (
	"context"
	"sync"
	"time"

	"hickorypath/internal/state/store"
)

// FaultInjector wraps the platform's store as one host uses it. It can pause the host at any step, as if its process
// were stopped, and partition the host from the store.
type FaultInjector struct {
	mu          sync.Mutex
	steps       int                   // steps taken so far
	pauses      map[int]time.Duration // pause at each step
	pausedUntil time.Time
	partitioned bool
}

// NewFaultInjector returns a FaultInjector that pauses the host at the given steps. There is one step before and one
// after each call to the store, and one wherever the host calls Step.
func NewFaultInjector(pauses map[int]time.Duration) *FaultInjector {
	return &FaultInjector{pauses: pauses}
}

// Steps returns the number of steps taken so far.
func (g *FaultInjector) Steps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Pause pauses the host for d, starting now.
func (g *FaultInjector) Pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil = time.Now().Add(d)
}

// SetPartitioned partitions the host from the store or reconnects it.
func (g *FaultInjector) SetPartitioned(partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned = partitioned
}

// Step counts one step of the host and blocks while the host is paused.
func (g *FaultInjector) Step() {
	g.mu.Lock()
	g.steps++
	if d, ok := g.pauses[g.steps]; ok {
		g.pausedUntil = time.Now().Add(d)
	}
	g.mu.Unlock()
	for wait := g.remainingPause(); wait > 0; wait = g.remainingPause() {
		time.Sleep(wait)
	}
}

func (g *FaultInjector) remainingPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.pausedUntil)
}

// call makes one call to the store, with a step before and after it. A request that was written before the host is
// paused is already in the network, so fn runs during a pause that begins after the first step; only the response waits.
func (g *FaultInjector) call(ctx context.Context, fn func() error) error {
	g.Step()
	defer g.Step()
	g.mu.Lock()
	partitioned := g.partitioned
	g.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return ctx.Err()
	}
	return fn()
}

// Backend returns b as seen by the host, with pauses and partitions applied to each call.
func (g *FaultInjector) Backend(b store.Backend) store.Backend {
	return store.Backend{
		Get:    wrapReply(g, b.Get),
		Put:    wrapReply(g, b.Put),
		Grant:  wrapReply(g, b.Grant),
		Renew:  wrapError(g, b.Renew),
		Revoke: wrapError(g, b.Revoke),
		Delete: func(ctx context.Context, key string, cond store.Condition) error {
			return g.call(ctx, func() error { return b.Delete(ctx, key, cond) })
		},
		List: func(ctx context.Context, prefix string) (list []store.Entry, rev uint64, err error) {
			err = g.call(ctx, func() error {
				list, rev, err = b.List(ctx, prefix)
				return err
			})
			return list, rev, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64) (list []store.Event, rev uint64, err error) {
			err = g.call(ctx, func() error {
				list, rev, err = b.Watch(ctx, prefix, after)
				return err
			})
			return list, rev, err
		},
	}
}

// wrapError applies the injector to a store operation that returns only an error.
func wrapError[T any](g *FaultInjector, fn func(context.Context, T) error) func(context.Context, T) error {
	return func(ctx context.Context, v T) error {
		return g.call(ctx, func() error { return fn(ctx, v) })
	}
}

// wrapReply applies the injector to a store operation that returns a value and an error.
func wrapReply[T, A any](g *FaultInjector, fn func(context.Context, T) (A, error)) func(context.Context, T) (A, error) {
	return func(ctx context.Context, v T) (answer A, err error) {
		err = g.call(ctx, func() error {
			answer, err = fn(ctx, v)
			return err
		})
		return answer, err
	}
}
