package store

import (
	"context"
	"maps"
	"strings"
	"time"

	"hickorypath/internal/core/kind"
)

// Watch calls fn for each change of a key with a prefix after a revision, until ctx ends. If the revision is zero,
// Watch starts with one event for each key that exists.
//
// Each call of the service is bounded in time. When the service no longer keeps the events after the last delivered
// revision, Watch reads all keys and calls fn for the differences.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, fn func(Event)) error {
	return c.WatchWithSync(ctx, prefix, after, WatchHandler{Event: fn, SyncStart: func() {}, SyncEnd: func(uint64, func(key string) bool) {}})
}

// WatchHandler receives what a watch delivers, from a single goroutine.
type WatchHandler struct {
	Event     func(Event)
	SyncStart func() // called after all keys were read, before the events of their differences
	// SyncEnd is called after these events, with the revision at which the keys were read and a function that reports
	// whether a key exists.
	SyncEnd func(revision uint64, exists func(key string) bool)
}

// WatchWithSync is like Watch and tells h which events come from reading all keys.
func (c *Client) WatchWithSync(ctx context.Context, prefix string, after uint64, h WatchHandler) error {
	w := &watch{client: c, prefix: prefix, revision: after, revisions: map[string]uint64{}, handler: h}
	w.needsResync = after == 0
	for tries := 0; ctx.Err() == nil; {
		if err := w.step(ctx); err != nil {
			sleep(ctx, c.shared.backoff(tries))
			tries++
			continue
		}
		tries = 0
	}
	return kind.Wrap(ctx.Err(), kind.Canceled, "watch of %s", prefix)
}

// watch is the state of one running watch.
type watch struct {
	client      *Client
	prefix      string
	revision    uint64            // all changes up to this revision were delivered
	needsResync bool              // all keys have to be read again
	revisions   map[string]uint64 // last delivered revision of each existing key
	handler     WatchHandler
}

func (w *watch) step(ctx context.Context) error {
	if w.needsResync {
		return w.resync(ctx)
	}
	events, rev, err := w.poll(ctx)
	if kind.Of(err) == kind.Missing {
		w.needsResync = true
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range events {
		w.handleEvent(e)
	}
	w.revision = max(w.revision, rev)
	if len(events) > 0 && w.client.shared.opts.WatchBatchDelay > 0 {
		sleep(ctx, w.client.shared.opts.WatchBatchDelay)
	}
	return nil
}

// watchTimeout returns the time limit of one watch call, with jitter.
func (c *sharedState) watchTimeout() time.Duration {
	if c.opts.WatchJitter <= 0 {
		return c.opts.WatchTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.WatchTimeout - time.Duration(c.rand.Int64N(int64(c.opts.WatchJitter)))
}

// poll makes one watch call, bounded in time.
func (w *watch) poll(ctx context.Context) ([]Event, uint64, error) {
	shared := w.client.shared
	if err := shared.waitForLimits(ctx, w.client.use); err != nil {
		return nil, 0, err
	}
	shared.countCall(w.client.use, opWatch)
	callCtx, cancel := withTimeout(ctx, opWatch, shared.watchTimeout())
	defer cancel()
	events, rev, err := shared.backend.Watch(callCtx, w.prefix, w.revision)
	switch {
	case err == nil:
		now := int64(shared.opts.Clock.Boot())
		shared.lastResponse.Store(now)
		shared.lastWatch.Store(now)
	case kind.Of(err) != kind.Missing && ctx.Err() == nil: // a watch that was given up tells nothing about the service
		shared.opts.OnError(err)
	}
	return events, rev, err
}

// resync reads all keys and delivers an event for each difference to what was delivered before.
func (w *watch) resync(ctx context.Context) error {
	list, rev, err := w.client.list(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.client.shared.lastWatch.Store(int64(w.client.shared.opts.Clock.Boot()))
	w.handler.SyncStart()
	removed := maps.Clone(w.revisions)
	for _, e := range list {
		delete(removed, e.key)
		if e.revision > w.revision {
			w.deliver(Event{entry: e})
		}
	}
	for key := range removed {
		w.deliver(Event{entry: Entry{key: key, revision: rev}, deleted: true})
	}
	w.revision, w.needsResync = rev, false
	w.handler.SyncEnd(rev, func(key string) bool { _, ok := w.revisions[key]; return ok })
	return nil
}

// handleEvent decodes the envelope of an event and delivers the event, unless it was delivered before.
func (w *watch) handleEvent(e Event) {
	if !strings.HasPrefix(e.entry.key, w.prefix) || e.entry.revision <= w.revisions[e.entry.key] {
		return
	}
	if !e.deleted {
		e.entry, _ = w.client.shared.unwrap(e.entry)
	}
	w.deliver(e)
}

func (w *watch) deliver(e Event) {
	if e.deleted {
		delete(w.revisions, e.entry.key)
	} else {
		w.revisions[e.entry.key] = e.entry.revision
	}
	w.handler.Event(e)
}
