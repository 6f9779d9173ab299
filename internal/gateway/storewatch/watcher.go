// Package storewatch keeps a host's copy of what the key-value store holds: the active configuration and the entries of
// upstreams. In a large fleet only some hosts watch the store; the others receive changes from those hosts.
package storewatch

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
)

// Options configures a Watcher.
type Options struct {
	Store        *store.Client
	Live         *config.Live
	Table        *upstream.Table
	ConfigKey    string
	EntryPrefix  string
	DecodeConfig func([]byte) (*config.Config, error)
	DecodeEntry  func(key string, value []byte) (upstream.Entry, error)
	OnOtherKey   func(store.Event)                                   // called for changes of keys that are neither configuration nor entries
	OnChange     func()                                              // called after changes that other hosts have to learn of
	ShouldWatch  func() bool                                         // reports whether this host has to watch the store itself
	OnSync       func(revision uint64, exists func(key string) bool) // called after all keys of the store were read
	Log          *zap.Logger
	Now          func() time.Time
}

// Watcher watches the store and applies its changes to the active configuration and the table of upstreams.
type Watcher struct {
	opts     Options
	revision atomic.Uint64 // revision of the newest upstream entry that is known
	watching atomic.Bool

	// The table holds a mixture of old and new entries during a sync, so the revision rises at its end. These fields belong
	// to the goroutine that runs the watch.
	syncing      bool
	syncRevision uint64
	hasSynced    bool

	mu            sync.Mutex
	newerSince    time.Time // when this host heard of a configuration newer than the active one; zero if it has not
	packed        []byte    // the newest configuration in compressed form, for other hosts
	packedVersion int64
	source        string // of the active configuration: the store, or the address of another host
}

// New returns a Watcher. Its Run method starts watching.
func New(o Options) *Watcher { return &Watcher{opts: o} }

// IsWatching reports whether this host is watching the store at present.
func (w *Watcher) IsWatching() bool { return w.watching.Load() }

// Revision returns the revision of the newest upstream entry that is known.
func (w *Watcher) Revision() uint64 { return w.revision.Load() }

// checkInterval is the interval at which a host checks whether it has to watch the store.
const checkInterval = 250 * time.Millisecond

// startDelay is how long a host that has just started, and has read all keys, waits before its first watch. Hosts that start together
// register in that time, so that one watch returns all of them; and most hosts of a large fleet learn that others watch.
const startDelay = 700 * time.Millisecond

// Run watches the store whenever ShouldWatch reports true, until ctx ends. A single watch covers all keys, since every
// waiting watch is billed as a call.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.opts.ShouldWatch() {
			clock.Pause(ctx, checkInterval)
			continue
		}
		w.watch(ctx)
	}
}

// watch watches the store until ShouldWatch reports false or ctx ends.
func (w *Watcher) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.watching.Store(true)
	defer w.watching.Store(false)
	w.opts.OnChange()
	w.opts.Log.Info("watching the store")
	go clock.Every(ctx, checkInterval, func() {
		if !w.opts.ShouldWatch() {
			cancel()
		}
	})
	syncEnd := func(revision uint64, exists func(key string) bool) {
		w.handleSyncEnd(revision, exists)
		if !w.hasSynced {
			w.hasSynced = true
			clock.Pause(ctx, startDelay)
		}
	}
	h := store.WatchHandler{Event: w.handleEvent, SyncStart: w.handleSyncStart, SyncEnd: syncEnd}
	_ = w.opts.Store.WatchWithSync(ctx, "", 0, h) // returns only when ctx ends
	w.opts.Log.Info("store watch left to other hosts")
}

func (w *Watcher) handleSyncStart() { w.syncing, w.syncRevision = true, 0 }

// handleSyncEnd runs after the events of a sync. It removes the instances whose entries were deleted while this host was
// not watching the store.
func (w *Watcher) handleSyncEnd(revision uint64, exists func(key string) bool) {
	w.opts.OnSync(revision, exists)
	now := w.opts.Now()
	for _, i := range w.opts.Table.All() {
		if !i.IsRemoved() && !exists(w.opts.EntryPrefix+i.ID()) {
			w.opts.Table.Remove(now, i.ID())
			w.syncRevision = revision // the deletion has no event
		}
	}
	w.syncing = false
	w.raiseRevision(w.syncRevision)
	w.opts.OnChange()
}

// Entries returns the upstream entries that are known, with the store revision of the newest one.
func (w *Watcher) Entries() (list []upstream.Entry, revision uint64) {
	revision = w.Revision()
	for _, i := range w.opts.Table.All() {
		if !i.IsRemoved() {
			list = append(list, i.Entry())
		}
	}
	return list, revision
}

// ReplaceEntries replaces the known upstream entries by those of another host, if that host's revision is newer. Source
// is the address of that host, for the log.
func (w *Watcher) ReplaceEntries(list []upstream.Entry, revision uint64, source string) {
	if revision <= w.Revision() {
		return
	}
	now := w.opts.Now()
	present := map[string]bool{}
	for _, e := range list {
		present[e.ID] = true
		w.opts.Table.Put(now, e)
	}
	for _, i := range w.opts.Table.All() {
		if !present[i.ID()] {
			w.opts.Table.Remove(now, i.ID())
		}
	}
	w.raiseRevision(revision)
	w.opts.Log.Info("upstream entries taken from another host", zap.String("source", source), zap.Uint64("revision", revision), zap.Int("count", len(list)))
}

// raiseRevision sets the known revision to revision, unless the known one is newer.
func (w *Watcher) raiseRevision(revision uint64) {
	for {
		old := w.revision.Load()
		if old >= revision || w.revision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// handleEvent handles the change of one key.
func (w *Watcher) handleEvent(e store.Event) {
	switch key := e.Key(); {
	case key == w.opts.ConfigKey:
		w.handleConfigEvent(e)
	case strings.HasPrefix(key, w.opts.EntryPrefix):
		w.handleEntryEvent(e)
		if w.syncing {
			w.syncRevision = max(w.syncRevision, e.Revision())
			return
		}
		w.raiseRevision(e.Revision())
		w.opts.OnChange()
	default:
		w.opts.OnOtherKey(e)
	}
}

func (w *Watcher) handleConfigEvent(e store.Event) {
	if e.Deleted() {
		w.opts.Log.Warn("configuration was deleted from the store; the previous one stays in force", zap.String("key", e.Key()))
		return
	}
	w.ApplyConfig(e.Value(), "store")
}

// PackedConfig returns the newest configuration in compressed form, from which other hosts can decode it, and its version; nil
// and 0 if there is none.
func (w *Watcher) PackedConfig() (packed []byte, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.packed, w.packedVersion
}

func (w *Watcher) setPacked(version int64, packed []byte, source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.packedVersion {
		w.packedVersion, w.packed, w.source = version, packed, source
	}
}

// ConfigSource returns where the newest configuration came from: "store", or the address of another host. It is empty before the
// first configuration.
func (w *Watcher) ConfigSource() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.source
}

// RecordNewerConfig records that another host has a configuration newer than the active one.
func (w *Watcher) RecordNewerConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newerSince.IsZero() {
		w.newerSince = w.opts.Now()
	}
}

// takeDelay returns for how long this host has known of a configuration newer than the active one, which is being replaced.
func (w *Watcher) takeDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newerSince.IsZero() {
		return 0
	}
	delay := w.opts.Now().Sub(w.newerSince)
	w.newerSince = time.Time{}
	return delay
}

// ApplyPackedConfig is ApplyConfig for a compressed configuration of another host.
func (w *Watcher) ApplyPackedConfig(packed []byte, source string) {
	data, err := config.Unpack(packed)
	if err != nil {
		w.logRefused(source, err)
		return
	}
	w.applyConfig(data, packed, source)
}

// ApplyConfig decodes a configuration and puts it in force if it is newer than the active one. Source says where the
// configuration came from, for the log.
func (w *Watcher) ApplyConfig(data []byte, source string) { w.applyConfig(data, nil, source) }

func (w *Watcher) logRefused(source string, err error) {
	w.opts.Log.Error("configuration refused; the previous one stays in force until a valid one is written", zap.String("source", source), zap.Error(err))
}

// applyConfig is ApplyConfig; packed is the compressed form of data, nil if there is none yet.
func (w *Watcher) applyConfig(data, packed []byte, source string) {
	start := w.opts.Now()
	c, err := w.opts.DecodeConfig(data)
	if err != nil {
		w.logRefused(source, err)
		return
	}
	if !w.opts.Live.StoreIfNewer(c) {
		return
	}
	if packed == nil {
		packed = config.Pack(data)
	}
	w.setPacked(c.Version(), packed, source)
	w.opts.OnChange()
	w.opts.Log.Info("configuration in force", zap.Int64("version", c.Version()), zap.String("source", source),
		zap.Int("routes", len(c.Routes())), zap.Int("bytes", len(data)),
		zap.Duration("decoded", w.opts.Now().Sub(start)), zap.Duration("behind", w.takeDelay()))
}

func (w *Watcher) handleEntryEvent(e store.Event) {
	now := w.opts.Now()
	id := strings.TrimPrefix(e.Key(), w.opts.EntryPrefix)
	if e.Deleted() {
		w.opts.Table.Remove(now, id)
		return
	}
	entry, err := w.opts.DecodeEntry(e.Key(), e.Value())
	if err != nil {
		w.opts.Log.Warn("upstream entry ignored; the upstream must write a valid one", zap.Error(err))
		w.opts.Table.Remove(now, id)
		return
	}
	w.opts.Table.Put(now, entry)
}
