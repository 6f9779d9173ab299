package fleet

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/dispatch"
)

// pauseTopic is the topic of upstreams that want no requests of one host for a while, which the host needs when it has started again. The key
// is the host, a space and the upstream; the version is the time of the statement, and the record expires with the pause.
const pauseTopic = "pause"

// pauseRecord is the value of a record in pauseTopic.
type pauseRecord struct {
	Addr string `cbor:"a"`
}

// publishPause tells the other hosts that an upstream has asked this one for a pause.
func (f *Fleet) publishPause(now time.Time, t dispatch.Target, p advisory.Pause) {
	value, err := cbor.Marshal(pauseRecord{Addr: t.Addr()})
	if err != nil {
		f.options.Log.Error("cannot encode pause", zap.Error(err))
		return
	}
	f.options.Replicator.Put(pauseTopic, f.options.Host+" "+t.ID(), uint64(now.UnixNano()), value, now.Add(p.Length())) //nolint:gosec // the time in nanoseconds fits until 2262
}

// receivePause records the pause that an upstream had asked this host for before it started again.
func (f *Fleet) receivePause(record replication.Record) {
	upstream, isOwn := strings.CutPrefix(record.Key(), f.options.Host+" ")
	if !isOwn {
		return
	}
	var r pauseRecord
	if err := cbor.Unmarshal(record.Value(), &r); err != nil {
		f.options.Log.Warn("cannot decode pause", zap.Error(err))
		return
	}
	if f.isElsewhere(upstream, r.Addr) {
		return
	}
	now := f.options.Clock.Now()
	a := f.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at(upstream, r.Addr).state.ObservePause(now, advisory.NewPause(record.Expires().Sub(now)))
	a.countRestricted(now)
}
