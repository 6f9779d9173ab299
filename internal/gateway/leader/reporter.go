package leader

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
)

// UsageReporterOptions configures a UsageReporter.
type UsageReporterOptions struct {
	Host      string
	Lease     *lease.Lease
	Store     *store.Client
	Control   ControlAPI
	Window    func(t time.Time) int64
	WindowEnd func(window int64) time.Time
	Counts    func(window int64) map[string]int // requests of the whole fleet by customer
	// FixedCounts returns the counts that this host or an earlier leader has fixed for a window, as far as this host knows.
	FixedCounts func(window int64) (counts map[string]int, ok bool)
	// IsKnown reports whether some host counted requests in a window: one ran before its end.
	IsKnown func(window int64) bool
	// FixCounts tells the other hosts the counts of a window before they are reported.
	FixCounts func(window int64, counts map[string]int)
	// HasAllCounts reports whether all hosts have sent their counts of the time before t.
	HasAllCounts func(t time.Time) bool
	ReportDelay  time.Duration    // time from the end of a window until its report is due
	Now          func() time.Time // estimate of the true time, which does not jump with the time of day
	Log          *zap.Logger
}

// UsageReporter reports the usage of each window once. The counts of a window are written to the store before they are
// sent, so that the next leader sends the same counts if it has to repeat the report.
type UsageReporter struct {
	opts         UsageReporterOptions
	reported     map[int64]bool // windows that this host has reported
	stored       storedCounts
	fencingToken uint64    // fencing token of the lease when this host last held it
	heldSince    time.Time // when this host first held the lease with fencingToken
}

// storedCounts is a copy of the counts of the last windows that the store holds.
type storedCounts struct {
	loaded   bool
	revision uint64                   // revision of usageKey; 0 while the key does not exist
	counts   map[int64]map[string]int // requests by window and customer
}

const (
	// usageKey is the key in the store that holds the counts of the last windows. A single key that is replaced
	// conditionally needs no cleanup and is not attached to a lease, which could expire and take the counts with it while
	// the store is failing.
	usageKey = "usage"
	// settleTime is how long the report of a window waits after the end of the window, so that late events of requests
	// that began in the window are counted.
	settleTime = 500 * time.Millisecond
	// reportReserve is how long before its due time a report is sent even if the counts of some hosts are missing. It is
	// long enough for another host to take over as leader.
	reportReserve = 4500 * time.Millisecond
	// gatherTime is how long a new leader waits for the counts of all hosts. In a large fleet hosts send their counts to
	// the leader every 600 ms, and single messages may be lost.
	gatherTime = 2 * time.Second
	// finalReserve is how long before its due time a report is sent in any case.
	finalReserve = time.Second
	// keepWindows is the number of past windows whose counts are kept, and maxWindows that of past windows that are reported, fewer than anybody
	// keeps: of an older one nobody knows any more whether and how it was reported.
	keepWindows = 8
	maxWindows  = 5
	// minLeaseValidity is how long the lease must remain valid for a call and its response.
	minLeaseValidity = callTimeout
)

// NewUsageReporter returns a UsageReporter; its Step method has to be called a few times a second.
func NewUsageReporter(o UsageReporterOptions) *UsageReporter {
	return &UsageReporter{opts: o, reported: map[int64]bool{}}
}

// Step reports the usage of ended windows that has not been reported yet, if this host is the leader.
func (r *UsageReporter) Step(ctx context.Context) {
	now := r.opts.Now()
	newest := r.opts.Window(now.Add(-settleTime)) - 1
	if token, err := r.opts.Lease.Token(minLeaseValidity); err == nil && (r.heldSince.IsZero() || token.FencingToken() != r.fencingToken) {
		r.fencingToken, r.heldSince = token.FencingToken(), now
	}
	for w := newest; w > newest-maxWindows && r.opts.WindowEnd(w).Add(r.opts.ReportDelay).After(now); w-- {
		if r.reported[w] || !r.isSettled(w, now) {
			continue
		}
		token, err := r.opts.Lease.Token(minLeaseValidity)
		if err != nil {
			r.stored.loaded = false // another host may write the counts from now on
			return
		}
		err = r.report(ctx, token, w)
		if errors.Is(err, errUnknownCounts) {
			if r.opts.WindowEnd(w).Add(r.opts.ReportDelay).Sub(now) > finalReserve {
				continue // a host that knows them may still be heard of
			}
			r.opts.Log.Warn("usage window not reported: all hosts started after it ended", zap.Int64("window", w))
			err = nil
		}
		if err != nil {
			r.opts.Log.Warn("usage not reported yet", zap.Int64("window", w), zap.Error(err))
			return
		}
		r.reported[w] = true
	}
	maps.DeleteFunc(r.reported, func(w int64, _ bool) bool { return w < newest-keepWindows })
}

// isSettled reports whether the counts of a window can be written to the store: all hosts have sent theirs, or there is
// too little time left to wait for them.
func (r *UsageReporter) isSettled(w int64, now time.Time) bool {
	end := r.opts.WindowEnd(w)
	due := end.Add(r.opts.ReportDelay)
	if r.opts.HasAllCounts(end) || due.Sub(now) <= finalReserve {
		return true
	}
	return due.Sub(now) <= reportReserve && now.Sub(r.heldSince) >= gatherTime
}

func (r *UsageReporter) report(ctx context.Context, token lease.Token, w int64) error {
	counts, err := r.fixCounts(ctx, w)
	if err != nil {
		return err
	}
	report := UsageReport{Window: w, Counts: counts}
	err = send(ctx, token, r.opts.Control, func(h LeaseHolder) (*http.Request, error) { return r.opts.Control.NewUsageRequest(ctx, h, report) }, r.opts.Host)
	if err != nil {
		return err
	}
	r.opts.Log.Info("usage reported", zap.Int64("window", w), zap.Uint64("fence", token.FencingToken()), zap.Any("counts", counts))
	return nil
}

// errUnknownCounts means that no host knows the counts of a window. They may have been reported before a restore of the store and the end of
// all hosts.
var errUnknownCounts = errors.New("the counts of the window are not known")

// fixCounts returns the counts of a window, which do not change once they are fixed. They are fixed in the store, which keeps
// them unless it is restored from an older copy, and by telling the other hosts.
func (r *UsageReporter) fixCounts(ctx context.Context, w int64) (map[string]int, error) {
	if !r.stored.loaded {
		if err := r.load(ctx); err != nil {
			return nil, err
		}
	}
	stored, isStored := r.stored.counts[w]
	counts, isFixed := r.opts.FixedCounts(w)
	switch {
	case isStored && (!isFixed || maps.Equal(stored, counts)):
		r.opts.FixCounts(w, stored)
		return stored, nil
	case !isFixed && !r.opts.IsKnown(w):
		return nil, errUnknownCounts
	case !isFixed:
		counts = r.opts.Counts(w)
	}
	if err := r.store(ctx, w, counts); err != nil {
		return nil, err
	}
	r.opts.FixCounts(w, counts)
	return counts, nil
}

// store writes the counts of a window to the store.
func (r *UsageReporter) store(ctx context.Context, w int64, counts map[string]int) error {
	next := maps.Clone(r.stored.counts)
	maps.DeleteFunc(next, func(at int64, _ map[string]int) bool { return at < w-keepWindows })
	next[w] = counts
	value, err := json.Marshal(next)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "usage counts cannot be encoded")
	}
	cond := store.Absent()
	if r.stored.revision > 0 {
		cond = store.At(r.stored.revision)
	}
	revision, err := r.opts.Store.Put(ctx, usageKey, value, cond)
	if err != nil {
		r.stored.loaded = false // another host may have changed the key, or the failed write may still take effect
		return err
	}
	r.stored = storedCounts{loaded: true, revision: revision, counts: next}
	return nil
}

// load reads the counts that the store holds.
func (r *UsageReporter) load(ctx context.Context) error {
	e, err := r.opts.Store.Get(ctx, usageKey)
	if kind.Of(err) == kind.Missing {
		r.stored = storedCounts{loaded: true, counts: map[int64]map[string]int{}}
		return nil
	}
	if err != nil {
		return err
	}
	counts := map[int64]map[string]int{}
	if err := json.Unmarshal(e.Value(), &counts); err != nil {
		return kind.Wrap(err, kind.Invalid, "stored usage counts cannot be decoded; delete the key %s", usageKey)
	}
	r.stored = storedCounts{loaded: true, revision: e.Revision(), counts: counts}
	return nil
}
