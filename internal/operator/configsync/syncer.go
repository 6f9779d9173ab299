// Package configsync keeps a host's configuration document and customers' API keys in sync with the store and with the
// other hosts.
//
// A few hosts of each availability zone watch the store and replicate changes to all other hosts. A host that starts
// while the store is down receives document and keys from its peers.
package configsync

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/state/store"
)

// documentRecordKey is the key of the active document among the records that hosts replicate.
const documentRecordKey = "current"

// Intervals of a Syncer.
const (
	roleInterval = 1 * time.Second // between checks whether this host watches the store
	retryDelay   = 1 * time.Second // before the next attempt to read the store
)

// documentPrefix is the prefix of the watch for new documents; the root value is the only key under it.
const documentPrefix = repository.RootKey

// Options holds the dependencies of a Syncer.
type Options struct {
	Repository *repository.Repository
	Store      *store.Client
	Replicator *replication.Replicator
	Document   *document.Active
	Keys       *key.Table
	Log        *zap.Logger
	// Recovery is like Repository, for what is written again after a restore of the store. It may be nil.
	Recovery *repository.Repository
	// Readiness is set once document and keys have been read from the store.
	Readiness *Readiness
	// IsWatcher reports whether this host is one of those that watch the store for their availability zone.
	IsWatcher func() bool
	// OnDocumentChange is called with each document that becomes the active one on this host. It may be nil.
	OnDocumentChange func(doc *document.Document, revision uint64)
}

// Syncer applies new documents and keys on this host and replicates them to other hosts.
type Syncer struct {
	options Options
}

// New returns a Syncer.
func New(o Options) *Syncer {
	return &Syncer{options: o}
}

// Run applies the records of peers and, while IsWatcher reports true, the changes in the store, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	stopDocument := s.options.Replicator.Watch(replication.TopicDocument, s.applyPeerDocument)
	defer stopDocument()
	stopKeys := s.options.Replicator.Watch(replication.TopicKey, s.applyPeerKey)
	defer stopKeys()
	go s.followRestores(ctx)
	go s.shareRestores(ctx)
	s.loadUntilDone(ctx)
	for ctx.Err() == nil {
		if s.options.IsWatcher() {
			s.watch(ctx)
		}
		clock.Pause(ctx, roleInterval)
	}
}

// PublishDocument makes doc the active document on this host and replicates doc to all hosts.
func (s *Syncer) PublishDocument(doc *document.Document, revision uint64) {
	s.options.Replicator.Put(replication.TopicDocument, documentRecordKey, revision, doc.Source(), time.Time{})
	s.apply(doc, revision)
}

// PublishKey applies a key record on this host and replicates the record to all hosts. It waits, for up to maxPublishWait, until the
// linked hosts have acknowledged the record: a host that does not know a new key yet refuses it.
func (s *Syncer) PublishKey(ctx context.Context, rec key.Record) {
	s.options.Keys.Put(rec)
	s.options.Replicator.Put(replication.TopicKey, rec.ID(), rec.Version(), rec.Encode(), time.Time{})
	ctx, cancel := context.WithTimeout(ctx, maxPublishWait)
	defer cancel()
	for ctx.Err() == nil && !s.options.Replicator.IsPushed(replication.TopicKey, rec.ID()) {
		clock.Pause(ctx, pushedInterval)
	}
}

const (
	// maxPublishWait bounds the wait until other hosts have acknowledged a key. A host that is gone never does.
	maxPublishWait = time.Second
	// pushedInterval is the interval between two questions whether they have.
	pushedInterval = 2 * time.Millisecond
)

// loadUntilDone reads document and keys from the store and sets Readiness. While the store is down, it retries until
// ctx ends, and the host uses the records that its peers replicate. A store that was restored lately is read again once the
// other hosts have written what it lost.
func (s *Syncer) loadUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.load(ctx)
		if err == nil {
			err = s.options.Store.AwaitRecovery(ctx)
		}
		if era, _ := s.options.Store.Era(); err == nil && era > 0 {
			err = s.load(ctx)
		}
		if err == nil {
			s.options.Readiness.Set()
			return
		}
		clock.Pause(ctx, retryDelay)
	}
}

// load reads keys and document from the store. Keys come first, so that a host with a document also has the keys.
func (s *Syncer) load(ctx context.Context) error {
	records, err := s.options.Repository.Keys(ctx)
	if err != nil {
		return err
	}
	for _, rec := range records {
		s.options.Keys.Put(rec)
		s.options.Replicator.PutLocal(replication.TopicKey, rec.ID(), rec.Version(), rec.Encode(), time.Time{})
	}
	return s.loadDocument(ctx)
}

func (s *Syncer) loadDocument(ctx context.Context) error {
	rev, err := s.options.Repository.Current(ctx)
	if err != nil {
		return err
	}
	if rev.Number() == 0 {
		return nil
	}
	return s.fetch(ctx, rev)
}

// fetch reads the document of a revision from the store and publishes the document, unless this host already applies
// the revision or a later one.
func (s *Syncer) fetch(ctx context.Context, rev repository.Revision) error {
	prior, have := s.options.Document.Load()
	if have >= rev.Number() {
		return nil
	}
	source, err := s.options.Repository.Source(ctx, rev)
	if err != nil {
		return err
	}
	doc, err := document.ParseIncremental(prior, source, "stored document")
	if err != nil {
		return err
	}
	s.PublishDocument(doc, rev.Number())
	return nil
}

// watch watches documents and keys in the store until IsWatcher reports false, a watch ends or ctx ends.
func (s *Syncer) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.watchPrefix(ctx, cancel, store.UseDocument, documentPrefix, s.rootChanged)
	go s.watchPrefix(ctx, cancel, store.UseKey, repository.ShardPrefix, s.shardChanged)
	for ctx.Err() == nil && s.options.IsWatcher() {
		clock.Pause(ctx, roleInterval)
	}
}

// watchPrefix calls fn with the events of the keys under prefix, and cancel when the watch ends.
func (s *Syncer) watchPrefix(ctx context.Context, cancel context.CancelFunc, use store.Use, prefix string, fn func(context.Context, store.Event)) {
	defer cancel()
	err := s.options.Store.For(use).Watch(ctx, prefix, 0, func(e store.Event) { fn(ctx, e) })
	if err != nil && ctx.Err() == nil {
		s.options.Log.Warn("store watch ended", zap.String("prefix", prefix), zap.Error(err))
	}
}

// rootChanged fetches the document that a new root value names, retrying until the fetch succeeds or ctx ends.
func (s *Syncer) rootChanged(ctx context.Context, e store.Event) {
	if e.Deleted() {
		return
	}
	rev, err := repository.DecodeRoot(e.Entry().Value())
	for err == nil && ctx.Err() == nil {
		fetchErr := s.fetch(ctx, rev)
		if fetchErr == nil {
			return
		}
		s.options.Log.Warn("failed to fetch document from the store; retrying", zap.Uint64("revision", rev.Number()), zap.Error(fetchErr))
		clock.Pause(ctx, retryDelay)
	}
	if err != nil {
		s.options.Log.Error("failed to decode document root", zap.Error(err))
	}
}

func (s *Syncer) shardChanged(_ context.Context, e store.Event) {
	if e.Deleted() {
		return
	}
	records, err := repository.DecodeShard(e.Entry().Value())
	if err != nil {
		s.options.Log.Error("failed to decode key shard", zap.String("key", e.Key()), zap.Error(err))
		return
	}
	for _, rec := range records {
		if s.options.Keys.Put(rec) {
			s.options.Replicator.Put(replication.TopicKey, rec.ID(), rec.Version(), rec.Encode(), time.Time{})
		}
	}
}

// applyPeerDocument applies a document that a peer replicated, unless this host has the revision or a later one.
func (s *Syncer) applyPeerDocument(r replication.Record) {
	prior, have := s.options.Document.Load()
	if have >= r.Version() {
		return
	}
	doc, err := document.ParseIncremental(prior, r.Value(), "document of a peer")
	if err != nil {
		s.options.Log.Error("failed to parse document received from a peer", zap.Error(err))
		return
	}
	s.apply(doc, r.Version())
}

func (s *Syncer) applyPeerKey(r replication.Record) {
	rec, err := key.Decode(r.Value())
	if err != nil {
		s.options.Log.Error("failed to decode key record received from a peer", zap.Error(err))
		return
	}
	s.options.Keys.Put(rec)
}

func (s *Syncer) apply(doc *document.Document, revision uint64) {
	if !s.options.Document.Apply(doc, revision) {
		return
	}
	s.options.Log.Info("document activated", zap.Uint64("revision", revision), zap.String("digest", doc.Digest()))
	if s.options.OnDocumentChange != nil {
		s.options.OnDocumentChange(doc, revision)
	}
}
