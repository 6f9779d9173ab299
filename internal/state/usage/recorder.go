package usage

import (
	"cmp"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// Options are the settings of a Recorder. Zero durations are replaced by defaults.
type Options struct {
	Host        string
	Incarnation string        // unique for each start of the process
	Window      time.Duration // length of a window
	MinInterval time.Duration // minimum time between two commits
	HostCount   func() int    // size of the fleet, including hosts that currently do not answer; nil means one host
	Log         *zap.Logger
}

const (
	defaultWindow      = 5 * time.Minute
	defaultMinInterval = time.Second
	// fleetCommitsPerSecond bounds the commits of all hosts together.
	fleetCommitsPerSecond = 100
)

// Recorder collects the usage of one host and commits it to the store in batches.
type Recorder struct {
	client *store.Client
	clock  clock.Clock
	opts   Options
	wake   chan struct{} // requests a commit before the next tick

	commitSlot chan struct{} // holds a value while a commit runs

	mu       sync.Mutex
	own      *stream
	imported map[string]*stream // streams that other hosts handed over at shutdown, by name
	recent   recentRequests
}

// New returns a Recorder without usage. Run has to be called for periodic commits.
func New(client *store.Client, c clock.Clock, o Options) *Recorder {
	o.Window = cmp.Or(o.Window, defaultWindow)
	o.MinInterval = cmp.Or(o.MinInterval, defaultMinInterval)
	if o.HostCount == nil {
		o.HostCount = singleHost
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Recorder{
		client:     client.For(store.UseUsage),
		clock:      c,
		opts:       o,
		wake:       make(chan struct{}, 1),
		commitSlot: make(chan struct{}, 1),
		own:        newStream(o.Host, o.Incarnation),
		imported:   map[string]*stream{},
	}
}

// Add records the usage of a request. It does not wait for the store.
func (r *Recorder) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := r.currentWindow()
	if r.recent.seen(rec.RequestID, window) {
		return
	}
	r.own.add(rec, window)
}

// Interval returns the time between commits. The interval grows with the fleet, so that the commits of all
// hosts stay within their share of the store's writes. Hosts that do not answer count too, so that a host that
// reaches only part of the fleet does not commit more often.
func (r *Recorder) Interval() time.Duration {
	share := time.Duration(r.opts.HostCount()) * time.Second / fleetCommitsPerSecond
	return max(r.opts.MinInterval, share)
}

// Run commits at each interval, and soon after an Import, until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	every := r.Interval()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.wake:
		}
		if next := r.Interval(); next != every {
			every = next
			tick.Reset(next)
		}
		if err := r.commit(ctx); err != nil {
			r.opts.Log.Warn("usage not committed", zap.Error(err))
		}
	}
}

// Flush commits and seals all recorded usage. It is meant for shutdown, when no more usage follows. If it
// fails, Export returns the remaining usage for another host.
func (r *Recorder) Flush(ctx context.Context) error {
	r.mu.Lock()
	r.own.closing = true
	r.mu.Unlock()
	return r.commit(ctx)
}

// Pending returns the number of batches that are not committed.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.own.batches)
	for _, s := range r.imported {
		n += len(s.batches)
	}
	return n
}

func (r *Recorder) currentWindow() int64 { return windowIndex(r.clock.Now(), r.opts.Window) }

// commit writes all waiting batches, those of the host's own stream first. Only one commit runs at a time.
func (r *Recorder) commit(ctx context.Context) error {
	select {
	case r.commitSlot <- struct{}{}:
		defer func() { <-r.commitSlot }()
	case <-ctx.Done():
		return kind.Wrap(ctx.Err(), kind.Store, "another usage commit is still running")
	}
	for _, s := range r.unfinishedStreams() {
		if err := r.commitStream(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// unfinishedStreams returns the host's own stream and the imported streams that are not finished. It drops
// imported streams that are.
func (r *Recorder) unfinishedStreams() []*stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []*stream{r.own}
	for name, s := range r.imported {
		if s.finished() {
			delete(r.imported, name)
			continue
		}
		out = append(out, s)
	}
	return out
}

// commitStream writes the batches that a stream holds now. Later records wait for the next commit, so that a
// slow store does not get more writes.
func (r *Recorder) commitStream(ctx context.Context, s *stream) error {
	r.mu.Lock()
	left := len(s.batches)
	r.mu.Unlock()
	for {
		if err := r.resync(ctx, s); err != nil {
			return err
		}
		r.mu.Lock()
		seg, taken, due := s.nextSegment(r.currentWindow(), left)
		revision := s.revision
		r.mu.Unlock()
		if !due {
			return nil
		}
		written, err := r.writeSegment(ctx, s, seg, revision)
		if err != nil {
			return err
		}
		if written {
			left -= taken
		}
	}
}

// writeSegment stores a segment and reports whether the write succeeded. After a conflict, or if the outcome
// is unknown, it marks the stream as out of sync, so that the stream is read before its next write.
func (r *Recorder) writeSegment(ctx context.Context, s *stream, seg segment, revision uint64) (done bool, err error) {
	data, err := encode(seg)
	if err != nil {
		return false, err
	}
	cond := store.Absent()
	if revision != 0 {
		cond = store.At(revision)
	}
	written, err := r.client.Put(ctx, seg.key(), data, cond)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch kind.Of(err) {
	case "":
		s.applyStored(seg, written)
		return true, nil
	case kind.Conflict:
		s.outOfSync = true
		return false, nil
	case kind.OutcomeUnknown:
		s.outOfSync = true
	}
	return false, err
}

// resync reads the current segment of a stream that is out of sync, and the segments after it if it is sealed.
func (r *Recorder) resync(ctx context.Context, s *stream) error {
	for r.isOutOfSync(s) {
		e, err := r.client.Get(ctx, segmentKey(s.name(), s.segmentNumber))
		if kind.Of(err) == kind.Missing {
			return r.resyncMissing(ctx, s)
		}
		if err != nil {
			return err
		}
		seg, err := decode[segment](e.Value())
		if err != nil {
			return err
		}
		r.mu.Lock()
		s.applyStored(seg, e.Revision())
		s.outOfSync = seg.Sealed // a host that imported the stream may have written further segments
		r.mu.Unlock()
	}
	return nil
}

func (r *Recorder) isOutOfSync(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.outOfSync
}

// resyncMissing handles a current segment that is not in the store: either it was never written, or it has
// been counted and deleted since.
func (r *Recorder) resyncMissing(ctx context.Context, s *stream) error {
	m, ok, err := lastWatermark(ctx, r.client, s.name())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok && m.Number >= s.segmentNumber {
		s.dropCommitted(m.Seq)
		s.segmentNumber, s.revision, s.committed = m.Number+1, 0, totals{}
		return nil
	}
	s.revision, s.committed, s.outOfSync = 0, totals{}, false
	return nil
}
