package usage

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
)

// ReporterOptions are the settings of a Reporter. Zero durations are replaced by defaults.
type ReporterOptions struct {
	Window    time.Duration // length of a window, the same on all hosts
	Grace     time.Duration // time after the end of a window for the hosts to seal their segments
	Interval  time.Duration // time between two runs
	Timeout   time.Duration // for one report
	HostCount func() int    // size of the fleet; nil means one host
	Log       *zap.Logger
}

const (
	defaultGrace    = 10 * time.Second
	defaultInterval = 5 * time.Second
	defaultTimeout  = 3 * time.Second

	// keepSegments is how long a counted segment is kept, for a host that was disconnected while the segment
	// was counted.
	keepSegments = time.Hour
	// keepWatermarks is how long the watermark of a stream without new segments is kept.
	keepWatermarks = 7 * 24 * time.Hour
	// keepWindows is how long the totals of a window are kept.
	keepWindows = 24 * time.Hour
)

// Reporter freezes the windows that have ended and reports them while its host holds the lease.
type Reporter struct {
	client *store.Client
	clock  clock.Clock
	lease  *lease.Lease
	sink   Sink
	opts   ReporterOptions
}

// NewReporter returns a Reporter that sends its reports to s while l is held.
func NewReporter(client *store.Client, c clock.Clock, l *lease.Lease, s Sink, o ReporterOptions) *Reporter {
	o.Window = cmp.Or(o.Window, defaultWindow)
	o.Grace = cmp.Or(o.Grace, defaultGrace)
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	if o.HostCount == nil {
		o.HostCount = singleHost
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Reporter{client: client.For(store.UseReport), clock: c, lease: l, sink: s, opts: o}
}

// Run calls RunOnce at each interval until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	clock.Every(ctx, r.opts.Interval, func() {
		err := r.RunOnce(ctx)
		if err != nil && kind.Of(err) != kind.LeaseNotHeld {
			r.opts.Log.Warn("usage not reported", zap.Error(err))
		}
	})
}

// RunOnce freezes and reports all windows that are due. The error has kind LeaseNotHeld on a host that does not hold
// the lease.
func (r *Reporter) RunOnce(ctx context.Context) error {
	token, err := r.lease.Token(r.opts.Timeout)
	if err != nil {
		return err
	}
	cur, revision, err := r.loadCursor(ctx)
	if err != nil {
		return err
	}
	before := cur
	err = r.advance(ctx, token, &cur)
	if cur == before {
		return err
	}
	if e := r.saveCursor(ctx, cur, revision); e != nil && err == nil {
		err = e
	}
	return err
}

// advance freezes and reports the due windows in order and updates cur. The segments of a window are emptied
// after the attempt to report the window, even if the report failed.
func (r *Reporter) advance(ctx context.Context, token lease.Token, cur *cursor) error {
	for r.isDue(cur.Frozen + 1) {
		agg, err := r.freezeWindow(ctx, token, cur.Frozen+1)
		if err != nil {
			return err
		}
		cur.Frozen++
		reported := r.reportFrozen(ctx, token, cur)
		if err := r.cleanUp(ctx, agg); err != nil {
			return errors.CombineErrors(reported, err)
		}
	}
	return r.reportFrozen(ctx, token, cur)
}

// reportFrozen reports the windows that are frozen and not yet reported, in order.
func (r *Reporter) reportFrozen(ctx context.Context, token lease.Token, cur *cursor) error {
	for cur.Reported < cur.Frozen {
		if err := r.reportWindow(ctx, token, cur.Reported+1); err != nil {
			return err
		}
		cur.Reported++
	}
	return nil
}

// isDue reports whether a window and the grace period after it have ended.
func (r *Reporter) isDue(index int64) bool {
	return windowIndex(r.clock.Now().Add(-r.opts.Grace), r.opts.Window) > index
}

// reportWindow sends the totals of a frozen window to the platform and then marks the window as reported.
func (r *Reporter) reportWindow(ctx context.Context, token lease.Token, index int64) error {
	w, revision, err := readWindow(ctx, r.client, index)
	if err != nil {
		return err
	}
	if w.State != stateFrozen {
		return nil
	}
	rows, err := r.loadRows(ctx, w)
	if err != nil {
		return err
	}
	check := func() error { return token.Valid(r.opts.Timeout) }
	if err := token.Confirm(ctx); err != nil {
		return err
	}
	if err := check(); err != nil {
		return err
	}
	view := Window{index: index, length: w.Length}
	out := Report{ID: view.ID(), Window: index, Start: view.Start(), End: view.End(), FencingToken: token.FencingToken(), Rows: rows}
	if err := r.sink.Report(ctx, out, check); err != nil {
		return err
	}
	if w.State, err = states.Next(w.State, "report"); err != nil {
		return err
	}
	return r.put(ctx, windowKey(index), w, store.At(revision))
}

// loadCursor reads the cursor. If none is stored, it returns a cursor directly before the oldest segment, or
// before the current window if there is no older segment.
func (r *Reporter) loadCursor(ctx context.Context) (cursor, uint64, error) {
	cur, revision, err := readCursor(ctx, r.client)
	if kind.Of(err) != kind.Missing {
		return cur, revision, err
	}
	first := windowIndex(r.clock.Now(), r.opts.Window)
	err = r.eachSegment(ctx, 0, func(seg storedSegment) error {
		first = min(first, seg.Window)
		return nil
	})
	if err != nil {
		return cursor{}, 0, err
	}
	return cursor{Frozen: first - 1, Reported: first - 1}, 0, nil
}

// saveCursor stores the cursor. If another reporter has changed the cursor since it was read, that change
// stays.
func (r *Reporter) saveCursor(ctx context.Context, cur cursor, revision uint64) error {
	cond := store.Absent()
	if revision != 0 {
		cond = store.At(revision)
	}
	return r.put(ctx, cursorKey, cur, cond)
}

// put stores a value. A conflict is not an error: it means that another reporter has made the same change
// before.
func (r *Reporter) put(ctx context.Context, key string, v any, cond store.Condition) error {
	data, err := encode(v)
	if err != nil {
		return err
	}
	_, err = r.client.Put(ctx, key, data, cond)
	if kind.Of(err) == kind.Conflict {
		return nil
	}
	return err
}

// singleHost is the default HostCount.
func singleHost() int { return 1 }
