package replication

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Topics of the router.
const (
	TopicDocument = "document" // the configuration document; the version is its revision
	TopicKey      = "key"      // API key records; the version is that of the key record
	TopicSuspect  = "suspect"  // quarantined requests; they expire
	TopicLoad     = "load"     // load summaries; soft records that expire
	TopicUpstream = "upstream" // the platform's list of upstreams; the version is the time at which the list was read
	TopicUsage    = "usage"    // usage that a host hands over at shutdown
	TopicMember   = "member"   // membership records of hosts
	TopicEra      = "era"      // that the store was restored; the version is the store's era
)

// Record is one version of the value under a topic and key.
type Record struct {
	topic, key string
	version    uint64
	value      []byte
	expires    time.Time
}

// NewRecord returns a Record; a zero expires means that it never expires.
func NewRecord(topic, key string, version uint64, value []byte, expires time.Time) Record {
	return Record{topic: topic, key: key, version: version, value: value, expires: expires}
}

// Topic returns the topic.
func (r Record) Topic() string { return r.topic }

// Key returns the key within the topic.
func (r Record) Key() string { return r.key }

// Version returns the version. Of two records with the same topic and key, the one with the higher version wins.
func (r Record) Version() uint64 { return r.version }

// Value returns the value, which the caller must not modify.
func (r Record) Value() []byte { return r.value }

// Expires returns the expiry time, or the zero time if the record never expires.
func (r Record) Expires() time.Time { return r.expires }

// entry is the form in which a Table stores a Record.
type entry struct {
	key          string
	value        []byte
	version      uint64
	expires      int64    // Unix time in milliseconds, 0 for never
	refs         []byte   // top list of chunk references if the value is chunked
	levels       int      // levels of reference lists above the chunks
	contributors []uint32 // IDs of the hosts or zones whose records a combined soft record contains
}

func (e *entry) isExpired(now time.Time) bool {
	return e.expires != 0 && e.expires <= now.UnixMilli()
}

func (e *entry) expiry() time.Time {
	if e.expires == 0 {
		return time.Time{}
	}
	return time.UnixMilli(e.expires)
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// recordHash returns the hash that identifies a topic and key in messages.
func recordHash(topic, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(topic)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// versionDigest returns the digest of a record's hash h and version. The digest of a bucket is the XOR of the
// digests of its records.
func versionDigest(h, version uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], h)
	binary.LittleEndian.PutUint64(b[8:], version)
	return xxhash.Sum64(b[:])
}
