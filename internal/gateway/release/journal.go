package release

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
)

// Stream is a stream that has begun.
type Stream struct {
	ID      uint64 // of the request that began it, hashed
	Origin  upstream.Origin
	BegunAt time.Time
}

const (
	// originPrefix is the prefix of the store keys that hold the origins of streams. The rest is the name of the leader that wrote
	// them, a slash and the number of the segment.
	originPrefix = "origins/"
	// segmentTime is the time whose streams share a key, and segments the number of keys of a leader. The oldest is written over; its
	// streams have ended.
	segmentTime = 4 * time.Second
	segments    = 8
	// JournalTime is how long after its first event the origin of a stream stays in the store at least. Streams are shorter.
	JournalTime = segmentTime * (segments - 1)
)

// segment holds the streams that began within segmentTime, by service and version.
type segment map[string]map[string][]uint64

// JournalOptions configures a Journal.
type JournalOptions struct {
	Store    *store.Client
	Host     string
	Tracker  *Tracker
	IsLeader func() bool
	Recent   func(since time.Time) []Stream // the streams of the fleet that began since a time
	Now      func() time.Time
	Log      *zap.Logger
}

// Journal keeps the origins of the fleet's streams in the store while this host is the leader and some service runs several versions.
// Otherwise the origin follows from the only version. When all hosts end, the origins that they remember are lost.
type Journal struct {
	opts    JournalOptions
	start   time.Time
	written map[int64]int // number of streams that were written, by segment since start
}

// NewJournal returns a Journal. Its Step method has to be called a few times a second.
func NewJournal(o JournalOptions) *Journal {
	return &Journal{opts: o, start: o.Now(), written: map[int64]int{}}
}

// Step writes the segments that have changed.
func (j *Journal) Step(ctx context.Context) {
	if !j.opts.IsLeader() || !j.opts.Tracker.IsMixed() {
		clear(j.written)
		return
	}
	now := j.opts.Now()
	counts, list := map[int64]int{}, map[int64]segment{}
	for _, s := range j.opts.Recent(now.Add(-JournalTime)) {
		n := int64(s.BegunAt.Sub(j.start) / segmentTime)
		if list[n] == nil {
			list[n] = segment{}
		}
		list[n].add(s)
		counts[n]++
	}
	for _, n := range slices.Sorted(maps.Keys(list)) {
		if counts[n] <= j.written[n] { // fewer: the segment is about to expire
			continue
		}
		if err := j.write(ctx, n, list[n]); err != nil {
			j.opts.Log.Warn("origins of streams not written; retrying", zap.Error(err))
			return
		}
		j.written[n] = counts[n]
	}
	maps.DeleteFunc(j.written, func(n int64, _ int) bool { _, ok := counts[n]; return !ok })
}

func (s segment) add(x Stream) {
	if s[x.Origin.Service] == nil {
		s[x.Origin.Service] = map[string][]uint64{}
	}
	s[x.Origin.Service][x.Origin.Version] = append(s[x.Origin.Service][x.Origin.Version], x.ID)
}

func (j *Journal) write(ctx context.Context, n int64, s segment) error {
	value, err := cbor.Marshal(s)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "origins of streams cannot be encoded")
	}
	key := originPrefix + j.opts.Host + "/" + strconv.FormatInt(((n%segments)+segments)%segments, 10)
	_, err = j.opts.Store.Put(ctx, key, value, store.Any())
	return err
}

// ReadOrigins reads the origins of streams that the leaders have written, and passes them to FinderOptions.OnOrigin. It reports
// whether the store answered. It reads nothing while no service has run several versions.
func (f *Finder) ReadOrigins(ctx context.Context) bool {
	if _, complete := f.opts.Tracker.Versions(); complete && !f.opts.Tracker.IsMixed() {
		return false
	}
	return f.originReads.join(ctx, storeWait)
}

func (f *Finder) readOrigins() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	list, _, err := f.opts.Store.ListAtOnce(ctx, originPrefix) // the origin of a stream never changes
	if err != nil {
		f.opts.Log.Warn("origins of streams not read from the store", zap.Error(err))
		return false
	}
	streams := 0
	for _, e := range list {
		var s segment
		if err := cbor.Unmarshal(e.Value(), &s); err != nil {
			f.opts.Log.Warn("origins of streams ignored", zap.String("key", e.Key()), zap.Error(err))
			continue
		}
		for service, versions := range s {
			for version, ids := range versions {
				for _, id := range ids {
					f.opts.OnOrigin(id, upstream.Origin{Service: service, Version: version})
				}
				streams += len(ids)
			}
		}
	}
	f.opts.Log.Info("origins of streams read from the store", zap.Int("streams", streams))
	return true
}
