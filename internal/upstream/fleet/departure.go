package fleet

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/upstream/dispatch"
)

// departureTopic is the topic of upstreams that stated that they leave. The version is the time of the statement.
const departureTopic = "departure"

// departureExpiry is the lifetime of a record in departureTopic. It is longer than an upstream counts as leaving.
const departureExpiry = 2 * time.Minute

// departureRecord is the value of a record in departureTopic.
type departureRecord struct {
	Addr string `cbor:"a"`
}

// publishDeparture tells the other hosts that an upstream has stated now that it leaves.
func (f *Fleet) publishDeparture(now time.Time, t dispatch.Target) {
	value, err := cbor.Marshal(departureRecord{Addr: t.Addr()})
	if err != nil {
		f.options.Log.Error("cannot encode departure", zap.Error(err))
		return
	}
	f.options.Replicator.Put(departureTopic, t.ID(), uint64(now.UnixNano()), value, now.Add(departureExpiry))
}

// receiveDeparture records that another host has been told by an upstream that it leaves.
func (f *Fleet) receiveDeparture(record replication.Record) {
	var r departureRecord
	if err := cbor.Unmarshal(record.Value(), &r); err != nil {
		f.options.Log.Warn("cannot decode departure of another host", zap.Error(err))
		return
	}
	if f.isElsewhere(record.Key(), r.Addr) {
		return
	}
	now := f.options.Clock.Now()
	age := now.Sub(time.Unix(0, int64(record.Version()))) //nolint:gosec // the time in nanoseconds fits until 2262
	a := f.advisories
	a.mu.Lock()
	changed := a.at(record.Key(), r.Addr).state.MergeLeaving(now, age)
	a.countRestricted(now)
	a.mu.Unlock()
	if changed {
		f.logLeaving(record.Key(), true, "")
	}
}

// logLeaving logs whether an upstream leaves. unreadable is the value that the upstream stated, if that could not be read.
func (f *Fleet) logLeaving(upstream string, leaves bool, unreadable string) {
	switch {
	case unreadable != "":
		f.options.Log.Warn("upstream states that it leaves", zap.String("upstream", upstream), zap.String("value", unreadable))
	case leaves:
		f.options.Log.Info("upstream states that it leaves", zap.String("upstream", upstream))
	default:
		f.options.Log.Info("upstream no longer states that it leaves", zap.String("upstream", upstream))
	}
}
