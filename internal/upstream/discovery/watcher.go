// Package discovery keeps the platform's list of upstreams current on this host. While the platform cannot be reached,
// the host uses the list that other hosts publish.
package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/state/provision"
)

const (
	readInterval         = time.Second      // time between readings of the platform's list
	followerReadInterval = 30 * time.Second // the same on a host that follows others
	tickSlack            = readInterval / 8 // time by which a tick may come early
	readTimeout          = 3 * time.Second  // time limit of one reading
	// recordKey is the key of the record that carries the list; all publishing hosts write the same one.
	recordKey = "list"
	// recordLifetime is how long a published list may be used by a host that cannot read a newer one.
	recordLifetime = 24 * time.Hour
	// republishInterval is how often a list that does not change is published again, so that its record does not expire.
	republishInterval = recordLifetime / 4
)

// Options are the dependencies of a Watcher; all are required.
type Options struct {
	Clock clock.Clock
	Log   *zap.Logger
	// List reads the platform's list of upstreams.
	List       func(ctx context.Context) ([]provision.Upstream, error)
	Replicator *replication.Replicator
	// Publishes reports whether this host publishes its list to the other hosts, which a few hosts of each zone do.
	Publishes func() bool
	// Follows reports whether a host that does not publish uses the list of the hosts that do and reads the platform's
	// list less often, so that a large fleet does not overload the platform.
	Follows func() bool
	// OnChange is called with each new list. Calls do not overlap.
	OnChange func([]provision.Upstream)
}

// Watcher holds the current list of upstreams. Upstreams is safe for concurrent use; Run and RefreshIfDue must be called
// from one goroutine.
type Watcher struct {
	options         Options
	list            atomic.Pointer[[]provision.Upstream]
	hasList         bool      // whether there is a list, read by this host or another one
	lastReadOK      bool      // whether the last reading of this host succeeded
	lastRead        time.Time // time of the last reading of this host, failed or not
	seenVersion     uint64    // version of the record when the current list was set
	matchingVersion uint64    // version of a record that holds the current list, 0 if no such record is known
	republishAt     time.Time // time at which that record is to be published again
}

// New returns a Watcher whose list is empty.
func New(o Options) *Watcher { return &Watcher{options: o} }

// Upstreams returns the current list, which must not be modified.
func (w *Watcher) Upstreams() []provision.Upstream {
	if list := w.list.Load(); list != nil {
		return *list
	}
	return nil
}

// Run keeps the list current until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	arrived := make(chan struct{}, 1)
	stop := w.options.Replicator.Watch(replication.TopicUpstream, func(replication.Record) {
		select {
		case arrived <- struct{}{}:
		default:
		}
	})
	defer stop()
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		w.RefreshIfDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-arrived:
			w.adoptRecord()
		}
	}
}

// RefreshIfDue reads the platform's list if the next reading is due, and publishes the list if this host does so.
func (w *Watcher) RefreshIfDue(ctx context.Context) {
	if !w.isDue() {
		return
	}
	w.lastRead = w.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := w.options.List(ctx)
	if err != nil {
		w.options.Log.Warn("cannot read the list of upstreams from the platform", zap.Error(err))
		w.lastReadOK = false
		w.adoptRecord()
		return
	}
	w.setOwn(list)
	if w.options.Publishes() {
		w.publish(list)
	}
}

// isDue reports whether the next reading of the platform's list is due.
func (w *Watcher) isDue() bool {
	wait := readInterval
	if w.lastReadOK && w.follows() {
		wait = followerReadInterval
	}
	return w.options.Clock.Now().Sub(w.lastRead) >= wait-tickSlack
}

func (w *Watcher) follows() bool { return w.options.Follows() && !w.options.Publishes() }

// setOwn sets a list that this host has read from the platform.
func (w *Watcher) setOwn(list []provision.Upstream) {
	w.lastReadOK = true
	w.seenVersion = max(w.seenVersion, w.options.Replicator.Version(replication.TopicUpstream, recordKey))
	w.setList(list)
}

// setList makes a list the current one and reports it to OnChange if it differs from the one before.
func (w *Watcher) setList(list []provision.Upstream) {
	if w.hasList && slices.EqualFunc(list, w.Upstreams(), provision.Upstream.Equal) {
		return
	}
	w.list.Store(&list)
	w.hasList = true
	w.matchingVersion = 0
	w.options.OnChange(list)
}

// publish publishes a list if the record does not hold that list or is due to be published again before it expires.
func (w *Watcher) publish(list []provision.Upstream) {
	now := w.options.Clock.Now()
	present := w.options.Replicator.Version(replication.TopicUpstream, recordKey)
	if present != w.matchingVersion {
		w.checkRecord(list)
	}
	if present == w.matchingVersion && now.Before(w.republishAt) {
		return
	}
	data, err := cbor.Marshal(list)
	if err != nil {
		w.options.Log.Error("cannot encode the list of upstreams", zap.Error(err))
		return
	}
	version := max(uint64(now.UnixNano()), present+1)
	w.options.Replicator.Put(replication.TopicUpstream, recordKey, version, data, now.Add(recordLifetime))
}

// checkRecord sets matchingVersion and republishAt if the present record holds the given list.
func (w *Watcher) checkRecord(list []provision.Upstream) {
	r, ok := w.options.Replicator.Get(replication.TopicUpstream, recordKey)
	if !ok {
		return
	}
	known, err := decodeRecord(r)
	if err != nil || !slices.EqualFunc(known, list, provision.Upstream.Equal) {
		return
	}
	w.matchingVersion = r.Version()
	w.republishAt = r.Expires().Add(republishInterval - recordLifetime)
}

// adoptRecord makes the published list of another host the current one if this host cannot read the platform's list or
// follows the publishing hosts. It ignores a record that is not newer than seenVersion.
func (w *Watcher) adoptRecord() {
	r, ok := w.options.Replicator.Get(replication.TopicUpstream, recordKey)
	if !ok {
		return
	}
	if r.Version() <= w.seenVersion || w.lastReadOK && !w.follows() {
		return
	}
	list, err := decodeRecord(r)
	if err != nil {
		w.options.Log.Warn("cannot decode the list of upstreams of another host", zap.Error(err))
		return
	}
	w.seenVersion = r.Version()
	w.setList(list)
}

func decodeRecord(r replication.Record) ([]provision.Upstream, error) {
	var list []provision.Upstream
	if err := cbor.Unmarshal(r.Value(), &list); err != nil {
		return nil, kind.Wrap(err, kind.Peer, "cannot decode record %s/%s", r.Topic(), r.Key())
	}
	return list, nil
}
