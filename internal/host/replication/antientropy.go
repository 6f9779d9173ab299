package replication

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// settleTime is how long after a local change a digest mismatch is attributed to pushes that are still in
	// flight.
	settleTime = 300 * time.Millisecond
	// syncInterval is the least time between digest exchanges with the same host.
	syncInterval = 400 * time.Millisecond
	// maxSyncDelay is the time since the last digest exchange after which a mismatch starts another exchange
	// even while records keep changing.
	maxSyncDelay = 1 * time.Second
	maxBuckets   = 32 // buckets compared in one exchange
)

// CompareDigest compares the digest that the host from announced with the digest of this table, and starts a
// digest exchange if they differ. The exchange only fetches records that this host lacks; the other host
// fetches in an exchange that it starts itself.
func (t *Table) CompareDigest(now time.Time, from string, remoteDigest uint64) {
	l := t.links[from]
	if l == nil || remoteDigest == t.digest {
		return
	}
	since := now.Sub(l.syncedAt)
	if since < syncInterval || since < maxSyncDelay && now.Sub(t.changedAt) < settleTime {
		return
	}
	l.syncedAt, l.awaited, l.truncated = now, 0, false
	t.sendBucketDigests(from)
}

func (t *Table) sendBucketDigests(to string) {
	b := make([]byte, 0, bucketCount*hashSize)
	for _, s := range t.bucketDigests {
		b = binary.LittleEndian.AppendUint64(b, s)
	}
	t.queueMessage(to, Message{BucketDigests: b})
}

// receiveBucketDigests answers with the versions of all records in the first maxBuckets buckets that differ.
func (t *Table) receiveBucketDigests(from string, b []byte) {
	theirs := decodeHashes(b)
	if len(theirs) != bucketCount {
		return
	}
	var differing []byte
	var listed [bucketCount]bool
	for i, s := range theirs {
		if s != t.bucketDigests[i] && len(differing) < maxBuckets {
			differing = append(differing, byte(i))
			listed[i] = true
		}
	}
	if len(differing) == 0 {
		return
	}
	t.queueMessage(from, Message{Buckets: differing, Versions: t.versionsIn(&listed)})
}

// versionsIn returns the encoded versions of all records in the listed buckets, sorted by hash.
func (t *Table) versionsIn(listed *[bucketCount]bool) []byte {
	var all []recordVersion
	for _, tp := range t.topics {
		if tp.soft {
			continue
		}
		for h, e := range tp.entries {
			if listed[h%bucketCount] {
				all = append(all, recordVersion{h, e.version})
			}
		}
	}
	slices.SortFunc(all, func(a, b recordVersion) int { return cmp.Compare(a.hash, b.hash) })
	b := make([]byte, 0, len(all)*versionSize)
	for _, v := range all {
		b = appendVersion(b, v)
	}
	return b
}

// receiveVersions requests the records of which the other host has a higher version.
func (t *Table) receiveVersions(from string, listed []byte, theirs []recordVersion) {
	var want []byte
	for _, v := range theirs {
		_, e := t.findByHash(v.hash)
		if e == nil || e.version < v.version {
			want = binary.LittleEndian.AppendUint64(want, v.hash)
		}
	}
	if len(want) == 0 {
		return
	}
	if l := t.links[from]; l != nil {
		l.awaited, l.truncated = len(want)/hashSize, len(listed) == maxBuckets
	}
	t.queueMessage(from, Message{WantRecords: want})
}

// receiveRecordRequest sends the requested records.
func (t *Table) receiveRecordRequest(from string, all []uint64) {
	records := make([]WireRecord, 0, len(all))
	for _, h := range all {
		if name, e := t.findByHash(h); e != nil {
			records = append(records, t.wireRecordOf(name, e))
		}
	}
	t.sendRecords(from, records)
}

// continueSync counts n received records and continues a digest exchange that was truncated to maxBuckets
// buckets once all records requested in it have arrived.
func (t *Table) continueSync(from string, n int) {
	l := t.links[from]
	if l == nil || l.awaited == 0 {
		return
	}
	l.awaited = max(0, l.awaited-n)
	if l.awaited == 0 && l.truncated {
		l.truncated = false
		t.sendBucketDigests(from)
	}
}
