package store

import (
	"context"
	"sync"
	"time"

	"hickorypath/internal/platform/store"
)

// Gate stands between one host and the platform. It pauses the host at any step, as a stopped
// process would be, and cuts it off.
type Gate struct {
	mu    sync.Mutex
	steps int
	pause map[int]time.Duration
	until time.Time
	cut   bool
}

// NewGate returns a Gate that pauses the host at the given steps; a step lies before and after each
// call, and wherever the host calls Pass.
func NewGate(pauses map[int]time.Duration) *Gate { return &Gate{pause: pauses} }

// Steps returns the number of steps passed so far.
func (g *Gate) Steps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Pause stops the host for d from now on.
func (g *Gate) Pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(d)
}

// Cut cuts the host off from the store, or joins it again.
func (g *Gate) Cut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// Pass is one step of the host; it returns when the host is not paused.
func (g *Gate) Pass() {
	g.mu.Lock()
	g.steps++
	if d, ok := g.pause[g.steps]; ok {
		g.until = time.Now().Add(d)
	}
	g.mu.Unlock()
	for wait := g.left(); wait > 0; wait = g.left() {
		time.Sleep(wait)
	}
}

func (g *Gate) left() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.until)
}

// Backend returns b as the host behind the gate reaches it.
func (g *Gate) Backend(b store.Backend) store.Backend {
	return store.Backend{
		Get: func(ctx context.Context, key string) (store.Entry, error) {
			return through(ctx, g, func() (store.Entry, error) { return b.Get(ctx, key) })
		},
		Put: func(ctx context.Context, w store.Write) (uint64, error) {
			return through(ctx, g, func() (uint64, error) { return b.Put(ctx, w) })
		},
		Delete: func(ctx context.Context, key string, cond store.Condition) error {
			return g.plain(ctx, func() error { return b.Delete(ctx, key, cond) })
		},
		List: func(ctx context.Context, prefix string) (list []store.Entry, rev uint64, err error) {
			err = g.plain(ctx, func() error {
				list, rev, err = b.List(ctx, prefix)
				return err
			})
			return list, rev, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64) (list []store.Event, rev uint64, err error) {
			err = g.plain(ctx, func() error {
				list, rev, err = b.Watch(ctx, prefix, after)
				return err
			})
			return list, rev, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			return through(ctx, g, func() (uint64, error) { return b.Grant(ctx, ttl) })
		},
		Renew: func(ctx context.Context, lease uint64) error {
			return g.plain(ctx, func() error { return b.Renew(ctx, lease) })
		},
		Revoke: func(ctx context.Context, lease uint64) error {
			return g.plain(ctx, func() error { return b.Revoke(ctx, lease) })
		},
	}
}

func (g *Gate) plain(ctx context.Context, fn func() error) error {
	_, err := through(ctx, g, func() (struct{}, error) { return struct{}{}, fn() })
	return err
}

// through makes one call with a step before and after it. What the host wrote before a pause is on
// its way; so the call is made by the network, and its answer waits.
func through[T any](ctx context.Context, g *Gate, fn func() (T, error)) (T, error) {
	var zero T
	g.Pass()
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	if cut {
		<-ctx.Done()
		g.Pass()
		return zero, ctx.Err()
	}
	out, err := fn()
	g.Pass()
	return out, err
}
