// Package burnstore saves the hosts' burn counts in the platform's key-value store, so that a report over three
// days includes the counts of hosts that no longer run.
//
// Each process saves a snapshot of its own counts every few minutes, under a key of its own. The key is attached to
// a lease that expires after the last bucket of the snapshot has left the longest window.
package burnstore

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/burn"
	"hickorypath/internal/state/store"
)

// KeyPrefix is the prefix of all keys of saved counts.
const KeyPrefix = "burn/"

// Intervals, timeouts and sizes of saved snapshots.
const (
	DefaultSaveInterval = 5 * time.Minute
	DefaultMaxCustomers = 100                // maximum number of customers in a saved snapshot
	leaseDuration       = 4 * 24 * time.Hour // longer than the longest window and its last bucket
	saveTimeout         = 3 * time.Second
)

// Options are the settings and dependencies of a Store.
type Options struct {
	Store        *store.Client
	Host         string
	Incarnation  string // differs at each start of the host
	SaveInterval time.Duration
	MaxCustomers int
	Log          *zap.Logger
	// Snapshot returns the counts of this process with at most limit customers.
	Snapshot func(now time.Time, limit int) burn.Snapshot
}

// Store saves the burn counts of one process and reads those of all processes.
type Store struct {
	options Options
	store   *store.Client
	lease   uint64
}

// New returns a Store. Zero values of SaveInterval and MaxCustomers stand for their defaults.
func New(o Options) *Store {
	if o.SaveInterval == 0 {
		o.SaveInterval = DefaultSaveInterval
	}
	if o.MaxCustomers == 0 {
		o.MaxCustomers = DefaultMaxCustomers
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Store{options: o, store: o.Store.For(store.UseOther)}
}

// Run saves the counts at each SaveInterval until ctx is done, and then once more.
func (t *Store) Run(ctx context.Context) {
	last := context.WithoutCancel(ctx)
	clock.Every(ctx, t.options.SaveInterval, func() { t.saveLogged(last) })
	t.saveLogged(last)
}

func (t *Store) saveLogged(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := t.Save(ctx); err != nil {
		t.options.Log.Warn("failed to save burn counts; the next save includes them", zap.String("kind", string(kind.Of(err))), zap.Error(err))
	}
}

// Save writes a snapshot of the counts. Each snapshot contains all counts and replaces the previous snapshot, so a
// failed save loses no counts if a later save succeeds. Save must not be called concurrently.
func (t *Store) Save(ctx context.Context) error {
	if err := t.ensureLease(ctx); err != nil {
		return err
	}
	data := t.options.Snapshot(t.store.Clock().Now(), t.options.MaxCustomers).Encode()
	_, err := t.store.PutLeased(ctx, t.key(), data, store.Any(), t.lease)
	return err
}

// ensureLease renews the lease of the key, or obtains a new lease if there is none or the store no longer has it. Other
// errors of the renewal do not prevent the save, because the lease is far longer than the interval between saves.
func (t *Store) ensureLease(ctx context.Context) error {
	if t.lease != 0 && kind.Of(t.store.Renew(ctx, t.lease)) != kind.Missing {
		return nil
	}
	lease, err := t.store.Grant(ctx, leaseDuration)
	if err == nil {
		t.lease = lease
	}
	return err
}

// MergeInto adds the saved counts of all other processes to sum. live maps the hosts whose running process the caller
// counts separately to the incarnation of that process; of these hosts, only the counts of other incarnations are
// added. A snapshot that cannot be decoded is skipped.
func (t *Store) MergeInto(ctx context.Context, sum *burn.Aggregator, live map[string]string) error {
	entries, _, err := t.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	now := t.store.Clock().Now()
	for _, e := range entries {
		host, incarnation, ok := strings.Cut(strings.TrimPrefix(e.Key(), KeyPrefix), "/")
		if !ok || e.Key() == t.key() || live[host] == incarnation {
			continue
		}
		s, err := burn.DecodeSnapshot(e.Value())
		if err != nil {
			t.options.Log.Warn("skipping saved burn counts that cannot be decoded", zap.String("host", host), zap.Error(err))
			continue
		}
		sum.Merge(now, s)
	}
	return nil
}

func (t *Store) key() string { return KeyPrefix + t.options.Host + "/" + t.options.Incarnation }
