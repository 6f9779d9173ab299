package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	// chunkRetryInterval is the wait for requested chunks, none of which arrive, before they are requested again. It doubles
	// with each request up to maxChunkRetryInterval, since chunks that are on their way behind others must not be sent twice.
	chunkRetryInterval    = 250 * time.Millisecond
	maxChunkRetryInterval = 4 * time.Second
	// maxPackedBatch is the number of bytes of chunks after which a message of compressed chunks is closed.
	maxPackedBatch = 256 << 10
	// minPackedBatch is the number of bytes from which chunks are compressed, which takes a millisecond at least.
	minPackedBatch      = 8 << 10
	maxChunksPerRequest = 512 // chunks requested in one message
	maxChunkRequests    = 40  // requests without any new chunk before the record is dropped
)

// incompleteRecord is a received record of which some chunks are missing.
type incompleteRecord struct {
	record      WireRecord
	sources     []string  // hosts that pushed this version of the record
	requestedAt time.Time // last request, or arrival of chunks since
	requests    int       // since chunks have arrived
	awaited     int       // chunks that were requested and have not arrived
}

func (t *Table) chunk(r chunkRef) ([]byte, bool) {
	data, ok := t.chunks[r]
	return data, ok
}

func (t *Table) putChunk(r chunkRef, data []byte) {
	if _, ok := t.chunks[r]; !ok {
		t.chunks[r] = slices.Clone(data)
	}
}

// requireChunks reports whether all chunks of the record w are present. If not, it keeps w as an incomplete
// record and requests the missing chunks.
func (t *Table) requireChunks(now time.Time, h uint64, w WireRecord, from string) bool {
	if len(missingChunks(w.Refs, w.Levels, t.chunk)) == 0 {
		delete(t.incomplete, h)
		return true
	}
	p := t.incomplete[h]
	if p != nil && p.record.Version > w.Version {
		return false
	}
	if p == nil || p.record.Version < w.Version {
		p = &incompleteRecord{record: w}
		t.incomplete[h] = p
	}
	if from != "" && !slices.Contains(p.sources, from) {
		p.sources = append(p.sources, from)
	}
	t.requestChunks(now, h, p)
	return false
}

// requestMissingChunks requests chunks for all incomplete records whose last request is old enough.
func (t *Table) requestMissingChunks(now time.Time) {
	for _, h := range slices.Sorted(maps.Keys(t.incomplete)) {
		t.requestChunks(now, h, t.incomplete[h])
	}
}

// requestChunks requests the missing chunks of a record from the record's sources in rotation. It drops the
// record after maxChunkRequests requests.
func (t *Table) requestChunks(now time.Time, h uint64, p *incompleteRecord) {
	if now.Sub(p.requestedAt) < chunkRetryDelay(p.requests) || len(p.sources) == 0 {
		return
	}
	if p.requests >= maxChunkRequests {
		delete(t.incomplete, h)
		return
	}
	absent := missingChunks(p.record.Refs, p.record.Levels, t.chunk)
	need := make([]byte, 0, min(len(absent), maxChunksPerRequest)*refSize)
	for _, r := range absent[:min(len(absent), maxChunksPerRequest)] {
		need = append(need, r[:]...)
	}
	t.queueMessage(p.sources[p.requests%len(p.sources)], Message{WantChunks: need, AcceptsPacked: true})
	p.requestedAt, p.awaited = now, len(need)/refSize
	p.requests++
}

// chunkRetryDelay returns the wait for chunks after a number of requests without any.
func chunkRetryDelay(requests int) time.Duration {
	return min(chunkRetryInterval<<max(requests-1, 0), maxChunkRetryInterval)
}

// receiveChunkRequest sends the requested chunks that are present, in messages of bounded size.
func (t *Table) receiveChunkRequest(from string, all []chunkRef, packed bool) {
	var batch [][]byte
	size, maxSize := 0, maxBatch
	if packed {
		maxSize = maxPackedBatch
	}
	send := func() {
		switch {
		case len(batch) == 0:
		case packed && size >= minPackedBatch:
			t.queueMessage(from, Message{PackedChunks: packChunks(batch)})
		default:
			t.queueMessage(from, Message{Chunks: batch})
		}
		batch, size = nil, 0
	}
	for _, r := range all {
		data, ok := t.chunk(r)
		if !ok {
			continue
		}
		batch = append(batch, data)
		size += len(data)
		if size >= maxSize {
			send()
		}
	}
	send()
}

// receiveChunks stores the chunks that incomplete records refer to, and accepts the records that are complete
// with them.
func (t *Table) receiveChunks(now time.Time, chunks [][]byte) {
	got := map[chunkRef][]byte{}
	for _, c := range chunks {
		got[chunkRefOf(c)] = c
	}
	for _, h := range slices.Sorted(maps.Keys(t.incomplete)) {
		p := t.incomplete[h]
		absent := missingChunks(p.record.Refs, p.record.Levels, t.chunk)
		n := 0
		for _, r := range absent {
			if data, ok := got[r]; ok {
				t.putChunk(r, data)
				n++
			}
		}
		if n == 0 {
			continue
		}
		p.requests = 0
		p.awaited -= n
		p.requestedAt = now // more of them are on their way
		if p.awaited <= 0 {
			p.requestedAt = time.Time{}
		}
		t.accept(now, p.record, p.sources[0], true)
		if e := t.find(p.record.Topic, h); e != nil && e.version >= p.record.Version {
			delete(t.incomplete, h)
		}
	}
	t.flushDue(now, t.minPushInterval())
}

// dropUnusedChunks drops the chunks that no record and no incomplete record refers to.
func (t *Table) dropUnusedChunks() {
	used := map[chunkRef][]byte{} // a new map, since one that has held many chunks does not shrink
	mark := func(r chunkRef) {
		if data, ok := t.chunks[r]; ok {
			used[r] = data
		}
	}
	for _, tp := range t.topics {
		for _, e := range tp.entries {
			if e.levels > 0 {
				walkChunks(e.refs, e.levels, t.chunk, mark)
			}
		}
	}
	for _, p := range t.incomplete {
		walkChunks(p.record.Refs, p.record.Levels, t.chunk, mark)
	}
	t.chunks = used
}
