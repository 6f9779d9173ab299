package replication

import (
	"slices"
	"time"

	"hickorypath/internal/host/membership"
)

const (
	bucketCount = 256 // number of buckets that the records are hashed into for digests
	// retryInitial is the wait for an acknowledgement before the first retry of a push. The wait doubles with
	// each retry up to retryMax.
	retryInitial = 200 * time.Millisecond
	retryMax     = 1 * time.Second
	maxAttempts  = 10
	maxPending   = 256      // unacknowledged pushes to one host; at the limit all are dropped and left to anti-entropy
	maxBatch     = 32 << 10 // bytes of values after which a message is closed
	// expireInterval is the time between scans for expired records. Reads check the expiry themselves.
	expireInterval = 1 * time.Second
	// batchInterval is the least time between pushes to the same host in a large fleet, so that the records of
	// a burst are sent together.
	batchInterval = 50 * time.Millisecond
)

// Config holds the parameters of a Table.
type Config struct {
	Self       string   // ID of this host
	Zone       string   // availability zone of this host
	SoftTopics []string // topics whose records are not acknowledged or repaired; nil stands for TopicLoad
	// Merge, if set, combines the values of the soft records of a topic that have the same name, so that a large
	// fleet exchanges one value for each zone instead of one for each host.
	Merge func(topic, name string, values [][]byte) []byte
}

type topic struct {
	soft    bool
	entries map[uint64]*entry
}

// pendingPush is a record that a linked host has not acknowledged yet.
type pendingPush struct {
	topic    string
	version  uint64
	attempts int
	due      time.Time
}

// link is the state of the exchange with one linked host.
type link struct {
	pending    map[uint64]*pendingPush
	pushedAt   time.Time // time of the last push
	nextPushAt time.Time // time at which the next push is due
	syncedAt   time.Time // start of the last digest exchange that this host started
	awaited    int       // records that were requested in a digest exchange and have not arrived
	truncated  bool      // the digest exchange was limited to maxBuckets buckets
}

// Table holds the records of one host. It does no I/O: messages to send and changed records are kept until
// Drain returns them. It is not safe for concurrent use.
type Table struct {
	config        Config
	topics        map[string]*topic
	expiring      map[uint64]string // topics of the records that expire, by record hash
	chunks        map[chunkRef][]byte
	incomplete    map[uint64]*incompleteRecord
	bucketDigests [bucketCount]uint64
	digest        uint64
	changedAt     time.Time
	expiredAt     time.Time // time of the last scan for expired records
	links         map[string]*link
	memberLinks   []membership.Link
	soft          softState
	large         bool          // the fleet is large: pushes are batched and soft records combined
	softPeriod    time.Duration // time between exchanges of soft records
	outgoing      []Outgoing
	events        []Record
}

// NewTable returns an empty Table.
func NewTable(c Config) *Table {
	if c.SoftTopics == nil {
		c.SoftTopics = []string{TopicLoad}
	}
	t := &Table{
		config: c, topics: map[string]*topic{}, expiring: map[uint64]string{}, chunks: map[chunkRef][]byte{},
		incomplete: map[uint64]*incompleteRecord{}, links: map[string]*link{}, soft: newSoftState(),
	}
	for _, name := range c.SoftTopics {
		t.topic(name).soft = true
	}
	return t
}

// Put stores a record and pushes it to the linked hosts. It reports whether the version was higher than the
// known version; if not, Put does nothing.
func (t *Table) Put(now time.Time, r Record) bool {
	if !t.accept(now, t.newWireRecord(r), "", true) {
		return false
	}
	t.flushDue(now, t.minPushInterval())
	if t.topic(r.topic).soft {
		t.soft.changed[recordHash(r.topic, r.key)] = origin{topic: r.topic}
	}
	return true
}

// PutLocal stores a record without pushing it, because the other hosts get it in the same way, for example
// from the store. It reports whether the version was higher than the known version.
func (t *Table) PutLocal(now time.Time, r Record) bool {
	return t.accept(now, t.newWireRecord(r), "", false)
}

// Get returns the record under a topic and key.
func (t *Table) Get(now time.Time, name, key string) (Record, bool) {
	e := t.find(name, recordHash(name, key))
	if e == nil || e.isExpired(now) {
		return Record{}, false
	}
	return t.record(name, e), true
}

// Version returns the version of the record under a topic and key, or 0 if there is none.
func (t *Table) Version(name, key string) uint64 {
	if e := t.find(name, recordHash(name, key)); e != nil {
		return e.version
	}
	return 0
}

// Range calls fn for each record of a topic, in unspecified order, until fn returns false.
func (t *Table) Range(now time.Time, name string, fn func(Record) bool) {
	tp := t.topics[name]
	if tp == nil {
		return
	}
	for _, e := range tp.entries {
		if !e.isExpired(now) && !fn(t.record(name, e)) {
			return
		}
	}
}

// Digest returns the digest of all records that are not soft.
func (t *Table) Digest() uint64 { return t.digest }

// SetLinks sets the linked hosts, to which records are pushed.
func (t *Table) SetLinks(links []membership.Link) {
	if slices.Equal(links, t.memberLinks) {
		return
	}
	keep := make(map[string]*link, len(links))
	for _, ml := range links {
		l := t.links[ml.ID()]
		if l == nil {
			l = &link{pending: map[uint64]*pendingPush{}}
		}
		keep[ml.ID()] = l
	}
	t.links = keep
	t.memberLinks = slices.Clone(links)
}

// Tick drops expired records, retries pushes that were not acknowledged and requests missing chunks again.
func (t *Table) Tick(now time.Time) {
	t.dropExpired(now)
	t.flushDue(now, 0)
	t.requestMissingChunks(now)
}

// Drain returns the messages to send and the records that have changed since the previous call.
func (t *Table) Drain() ([]Outgoing, []Record) {
	out, events := t.outgoing, t.events
	t.outgoing, t.events = nil, nil
	return out, events
}

// Receive handles a message from another host.
func (t *Table) Receive(now time.Time, from string, m Message) {
	if len(m.Push) > 0 {
		t.receivePush(now, from, m.Push)
	}
	for _, v := range decodeVersions(m.Ack) {
		t.receiveAck(from, v)
	}
	if len(m.BucketDigests) > 0 {
		t.receiveBucketDigests(from, m.BucketDigests)
	}
	if len(m.Buckets) > 0 {
		t.receiveVersions(from, m.Buckets, decodeVersions(m.Versions))
	}
	if len(m.WantRecords) > 0 {
		t.receiveRecordRequest(from, decodeHashes(m.WantRecords))
	}
	if len(m.WantChunks) > 0 {
		t.receiveChunkRequest(from, decodeRefs(m.WantChunks), m.AcceptsPacked)
	}
	if chunks := append(m.Chunks, unpackChunks(m.PackedChunks)...); len(chunks) > 0 {
		t.receiveChunks(now, chunks)
	}
	for _, s := range m.Soft {
		for _, w := range s.records() {
			t.receiveSoft(now, from, w)
		}
	}
}

func (t *Table) topic(name string) *topic {
	tp := t.topics[name]
	if tp == nil {
		tp = &topic{entries: map[uint64]*entry{}}
		t.topics[name] = tp
	}
	return tp
}

func (t *Table) find(name string, h uint64) *entry {
	tp := t.topics[name]
	if tp == nil {
		return nil
	}
	return tp.entries[h]
}

// findByHash returns the topic and the entry of the record with the hash h, or a nil entry if there is none.
func (t *Table) findByHash(h uint64) (string, *entry) {
	for name, tp := range t.topics {
		if e := tp.entries[h]; e != nil {
			return name, e
		}
	}
	return "", nil
}

func (t *Table) record(name string, e *entry) Record {
	value := e.value
	if e.levels > 0 {
		value = assemble(e.refs, e.levels, t.chunk)
	}
	return NewRecord(name, e.key, e.version, value, e.expiry())
}

// newWireRecord encodes a record of this host. A large value is split into chunks, which are stored.
func (t *Table) newWireRecord(r Record) WireRecord {
	w := WireRecord{Topic: r.topic, Key: r.key, Version: r.version, Value: r.value, Expires: unixMilli(r.expires)}
	if len(r.value) <= maxInline || t.topic(r.topic).soft {
		return w
	}
	if e := t.find(r.topic, recordHash(r.topic, r.key)); e != nil && e.version >= r.version {
		return w
	}
	w.Value = nil
	w.Refs, w.Levels = chunkValue(r.value, t.putChunk)
	return w
}

// accept stores a record and reports whether its version was higher than the known version. A chunked record
// with missing chunks is kept as incomplete until the chunks arrive. If forward is set, the record is pushed
// to the linked hosts except from.
func (t *Table) accept(now time.Time, w WireRecord, from string, forward bool) bool {
	h := recordHash(w.Topic, w.Key)
	tp := t.topic(w.Topic)
	if w.Expires != 0 && w.Expires <= now.UnixMilli() {
		return false
	}
	old := tp.entries[h]
	if old != nil && old.version >= w.Version {
		return false
	}
	if w.Levels > 0 && !t.requireChunks(now, h, w, from) {
		return false
	}
	e := &entry{key: w.Key, value: w.Value, version: w.Version, expires: w.Expires, refs: w.Refs, levels: w.Levels, contributors: w.Contributors}
	t.install(now, w.Topic, h, old, e)
	if forward && !tp.soft {
		t.forward(now, w.Topic, h, w.Version, from)
	}
	return true
}

// install replaces the entry old, which may be nil, by e, updates the digests and notes the change.
func (t *Table) install(now time.Time, name string, h uint64, old, e *entry) {
	tp := t.topic(name)
	if old != nil {
		t.discard(name, h, old)
	}
	tp.entries[h] = e
	if e.expires != 0 {
		t.expiring[h] = name
	}
	if !tp.soft {
		t.toggleDigest(h, e.version)
		t.changedAt = now
	}
	if old != nil && old.levels > 0 {
		t.dropUnusedChunks()
	}
	t.events = append(t.events, t.record(name, e))
}

// discard removes an entry and its contribution to the digests.
func (t *Table) discard(name string, h uint64, e *entry) {
	tp := t.topics[name]
	delete(tp.entries, h)
	delete(t.expiring, h)
	delete(t.soft.totalFrom, h)
	delete(t.soft.totalZone, h)
	if !tp.soft {
		t.toggleDigest(h, e.version)
	}
}

// toggleDigest adds a record to the digests, or removes it if they contain it.
func (t *Table) toggleDigest(h, version uint64) {
	m := versionDigest(h, version)
	t.bucketDigests[h%bucketCount] ^= m
	t.digest ^= m
}

func (t *Table) dropExpired(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	hadChunks := false
	for h, name := range t.expiring {
		if e := t.find(name, h); e == nil || e.isExpired(now) {
			delete(t.expiring, h)
			if e != nil {
				hadChunks = hadChunks || e.levels > 0
				t.discard(name, h, e)
			}
		}
	}
	if hadChunks {
		t.dropUnusedChunks()
	}
}

// wireRecordOf returns the encoded form of an entry.
func (t *Table) wireRecordOf(name string, e *entry) WireRecord {
	return WireRecord{Topic: name, Key: e.key, Version: e.version, Value: e.value, Expires: e.expires, Refs: e.refs, Levels: e.levels, Contributors: e.contributors}
}

func (t *Table) queueMessage(to string, m Message) {
	t.outgoing = append(t.outgoing, Outgoing{To: to, Message: m})
}
