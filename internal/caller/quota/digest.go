package quota

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/limit"
)

// digestsPerPeriod is how often a host publishes a digest in the period of exchanges of a large fleet.
const digestsPerPeriod = 4

// shareDigest tells the relays the demand on this host.
func (q *Quota) shareDigest(now time.Time, period time.Duration) {
	if now.Sub(q.digested) < period/digestsPerPeriod {
		return
	}
	q.digested = now
	q.mu.Lock()
	digest := q.limiter.Digest(now, period)
	q.mu.Unlock()
	data, err := cbor.Marshal(digest)
	if err != nil {
		q.options.Log.Error("demand cannot be encoded", zap.Error(err))
		return
	}
	q.options.Spread.Put(replication.TopicLoad, keyPrefix+q.options.Host, uint64(now.UnixNano()), data, now.Add(replication.SoftTTL(period)))
}

// Merge adds up the digests of different hosts. Values that are no digests, as a host sends that takes the fleet
// for a small one, are left out.
func Merge(values [][]byte) []byte {
	all := make([]limit.Digest, 0, len(values))
	for _, v := range values {
		var d limit.Digest
		if cbor.Unmarshal(v, &d) == nil {
			all = append(all, d)
		}
	}
	data, err := cbor.Marshal(limit.MergeDigests(all))
	if err != nil {
		panic("quota: a digest cannot be encoded: " + err.Error())
	}
	return data
}

// takeDigest takes the sum of other hosts.
func (q *Quota) takeDigest(r replication.Record) {
	name, source := replication.SplitSoftKey(r.Key())
	if name != strings.TrimSuffix(keyPrefix, "/") {
		return
	}
	var d limit.Digest
	if err := cbor.Unmarshal(r.Value(), &d); err != nil {
		q.options.Log.Warn("demand of other hosts cannot be read", zap.String("source", source), zap.Error(err))
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ApplyDigest(q.options.Clock.Now(), source, d)
}
