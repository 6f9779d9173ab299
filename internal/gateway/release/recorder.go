package release

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// RecorderOptions configures a Recorder.
type RecorderOptions struct {
	Store      *store.Client
	Tracker    *Tracker
	IsLeader   func() bool
	FirstStart bool // the deployment starts for the first time: without a record, nothing has run before
	Log        *zap.Logger
}

// Recorder keeps the record in the store up to date while this host is the leader. It writes only when a service begins to run a
// version, or has not run one for Retention.
type Recorder struct {
	opts     RecorderOptions
	loaded   bool
	era      uint64 // of the store when the record was loaded
	revision uint64 // of the record; 0 while there is none
	record   Versions
}

// NewRecorder returns a Recorder. Its Step method has to be called a few times a second.
func NewRecorder(o RecorderOptions) *Recorder { return &Recorder{opts: o} }

// Step makes the versions in the store those that were in use within Retention. It writes only if they differ.
func (r *Recorder) Step(ctx context.Context) {
	if !r.opts.IsLeader() {
		r.loaded = false
		return
	}
	if era, _ := r.opts.Store.Era(); era != r.era {
		r.loaded = false // the store may have lost the last writes
	}
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			r.opts.Log.Warn("record of versions not read; retrying", zap.Error(err))
			return
		}
	}
	v, complete := r.opts.Tracker.Versions()
	if !complete || maps.EqualFunc(v, r.record, slices.Equal) {
		return
	}
	if err := r.write(ctx, v); err != nil {
		r.loaded = false // another host may have written, or the failed write may still take effect
		r.opts.Log.Warn("record of versions not written; retrying", zap.Error(err))
	}
}

// load reads the record. Its versions count as seen, so that those that left before this host became the leader stay for Retention.
func (r *Recorder) load(ctx context.Context) error {
	era, _ := r.opts.Store.Era()
	e, err := r.opts.Store.Get(ctx, RecordKey)
	if kind.Of(err) == kind.Missing {
		if r.opts.FirstStart {
			r.opts.Tracker.SeeRecord(nil)
		}
		r.loaded, r.era, r.revision, r.record = true, era, 0, nil
		return nil
	}
	if err != nil {
		return err
	}
	v, err := decodeRecord(e.Value())
	if err != nil {
		return err
	}
	r.opts.Tracker.SeeRecord(v)
	r.loaded, r.era, r.revision, r.record = true, era, e.Revision(), v
	return nil
}

func (r *Recorder) write(ctx context.Context, v Versions) error {
	value, err := json.Marshal(v)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "versions cannot be encoded")
	}
	cond := store.Absent()
	if r.revision > 0 {
		cond = store.At(r.revision)
	}
	revision, err := r.opts.Store.Put(ctx, RecordKey, value, cond)
	if err != nil {
		return err
	}
	r.revision, r.record = revision, v
	r.opts.Log.Info("versions recorded", zap.Any("versions", v))
	return nil
}
