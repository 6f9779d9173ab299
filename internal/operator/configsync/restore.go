package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
)

// followRestores writes document and keys to the store again after each restore from an older copy, on the hosts that watch the
// store.
func (s *Syncer) followRestores(ctx context.Context) {
	if s.options.Recovery == nil {
		return
	}
	last, _ := s.options.Store.Era()
	for ctx.Err() == nil {
		clock.Pause(ctx, roleInterval)
		era, _ := s.options.Store.Era()
		if era == last || !s.options.IsWatcher() {
			continue
		}
		if last > 0 && !s.reinstate(ctx) {
			continue
		}
		last = era
	}
}

// shareRestores tells the other hosts when this one has heard of a restore of the store, and asks the store when another one has. A
// host that seldom needs the store would hear of it with its next call, which then waits for longer than it may take.
func (s *Syncer) shareRestores(ctx context.Context) {
	stop := s.options.Replicator.Watch(replication.TopicEra, func(r replication.Record) {
		go func() {
			clock.Pause(ctx, rand.N(roleInterval)) // the hosts do not ask at the same moment
			s.options.Store.CheckForRestore(ctx, r.Version())
		}()
	})
	defer stop()
	last, _ := s.options.Store.Era()
	for ctx.Err() == nil {
		clock.Pause(ctx, roleInterval)
		if era, _ := s.options.Store.Era(); era != last {
			last = era
			s.options.Replicator.Put(replication.TopicEra, "", era, nil, time.Time{})
		}
	}
}

// reinstate writes what this host has in force to the store, where the store has lost it. It reports whether all is written.
func (s *Syncer) reinstate(ctx context.Context) bool {
	lostKeys, err := s.options.Recovery.ReinstateKeys(ctx, s.options.Keys.Records())
	doc, revision := s.options.Document.Load()
	lostDocument := false
	if err == nil && revision > 0 {
		lostDocument, err = s.options.Recovery.Reinstate(ctx, doc.Source(), revision)
	}
	if err != nil {
		s.options.Log.Warn("document and keys not written again after a restore of the store; retrying", zap.Error(err))
		return false
	}
	s.options.Log.Info("document and keys checked after a restore of the store", zap.Uint64("revision", revision),
		zap.Bool("document", lostDocument), zap.Int("keys", lostKeys))
	return true
}
