package fleet

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/pool"
)

// In a large fleet, hosts publish digests instead of summaries, and the relays of a zone add them up.

// digestsPerPeriod is the number of digests that a host publishes in one exchange period.
const digestsPerPeriod = 8

// upTopic is the topic of upstreams that answer again. It is needed because hosts of a large fleet do not
// exchange the loads of single upstreams.
const upTopic = "up"

// upExpiry is the lifetime of a record in upTopic.
const upExpiry = time.Minute

// publishDigests publishes a digest of the queued and running requests of each pool on this host.
func (f *Fleet) publishDigests(now time.Time, period time.Duration) {
	if now.Sub(f.lastDigest) < period/digestsPerPeriod {
		return
	}
	f.lastDigest = now
	for _, e := range f.allPools() {
		e.takeLoads()
		data, err := cbor.Marshal(e.Digest(period))
		if err != nil {
			f.options.Log.Error("cannot encode digest", zap.Error(err))
			continue
		}
		key := replication.SoftKey(keyPrefix+e.Name(), f.options.Host)
		f.options.Replicator.Put(replication.TopicLoad, key, uint64(now.UnixNano()), data, now.Add(replication.SoftTTL(period)))
	}
}

// CombineDigests adds up the digests of several hosts for one pool. It reports whether name is the name of a
// pool's record. Values that are not digests are skipped: a host that assumes a small fleet sends summaries.
func CombineDigests(name string, values [][]byte) ([]byte, bool) {
	if !strings.HasPrefix(name, keyPrefix) {
		return nil, false
	}
	all := make([]pool.Digest, 0, len(values))
	for _, v := range values {
		var d pool.Digest
		if cbor.Unmarshal(v, &d) == nil {
			all = append(all, d)
		}
	}
	data, err := cbor.Marshal(pool.MergeDigests(all))
	if err != nil {
		panic("fleet: cannot encode digest: " + err.Error())
	}
	return data, true
}

// receiveDigest merges the combined digest of other hosts for a pool.
func (f *Fleet) receiveDigest(name, source string, value []byte) {
	var d pool.Digest
	if err := cbor.Unmarshal(value, &d); err != nil {
		f.options.Log.Warn("cannot decode digest", zap.String("pool", name), zap.Error(err))
		return
	}
	if e, ok := f.findPool(name); ok {
		e.MergeDigest(source, d, f.options.HostZones())
	}
}

// publishUp tells the other hosts of a large fleet that an upstream answers again.
func (f *Fleet) publishUp(name, upstream string, reportedAt time.Time) {
	if !f.usesDigests() {
		return
	}
	f.options.Replicator.Put(upTopic, replication.SoftKey(name, upstream), uint64(reportedAt.UnixNano()), nil, reportedAt.Add(upExpiry))
}

// receiveUp puts an upstream back into service that answers another host again.
func (f *Fleet) receiveUp(r replication.Record) {
	name, upstream := replication.SplitSoftKey(r.Key())
	reportedAt := time.Unix(0, int64(r.Version())) //nolint:gosec // the time in nanoseconds fits until 2262
	if e, ok := f.findPool(name); ok && e.recordRecovery(upstream, reportedAt) {
		f.refreshPool(name)
	}
}

// usesDigests reports whether the fleet is so large that hosts exchange only combined digests.
func (f *Fleet) usesDigests() bool {
	_, combined := f.options.Replicator.SoftPeriod()
	return combined
}

// directPoll is a period in which this host polls an upstream even if the upstream is assigned to other
// hosts: since its first request, extended by each further request.
type directPoll struct{ since, lastRequest time.Time }

// requestDirectPoll makes this host poll an upstream itself for now, and reports whether the first report
// may still arrive: it may for reportExpiry after the first request.
func (e *poolEntry) requestDirectPoll(upstream string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.directPolls[upstream]
	if !ok || now.Sub(q.lastRequest) > reportExpiry {
		q.since = now
	}
	q.lastRequest = now
	e.directPolls[upstream] = q
	return now.Sub(q.since) < reportExpiry
}

func (e *poolEntry) isDirectlyPolled(upstream string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.directPolls[upstream]
	if ok && now.Sub(q.lastRequest) > reportExpiry {
		delete(e.directPolls, upstream)
		return false
	}
	return ok
}
