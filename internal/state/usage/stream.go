package usage

import (
	"maps"
	"slices"
)

// stream is the sequence of batches of one host incarnation, with the state of its current segment.
type stream struct {
	host        string
	incarnation string
	lastSeq     uint64 // last sequence number assigned
	batches     []batch

	// State in the store, as far as this host knows it.
	segmentNumber uint64 // of the current segment
	revision      uint64 // of the current segment's key; zero if the key does not exist
	window        int64  // of the current segment, or of the previous one if there is none
	committed     totals // totals in the current segment
	outOfSync     bool   // the outcome of the last write is not known: the segment has to be read
	closing       bool   // no more batches follow: the segment is sealed once all are committed
}

// batch is an increment of usage that counts as a whole or not at all. It is immutable once it has a sequence
// number.
type batch struct {
	Seq    uint64 `cbor:"q"` // zero while records may still be added
	Window int64  `cbor:"w"`
	Rows   []Row  `cbor:"r"`
	sums   totals
}

const (
	// maxBatches is the number of waiting batches at which one without a sequence number is merged before
	// another batch is added.
	maxBatches = 6
	// maxBatchRows bounds the rows of a batch, so that a segment stays below the store's limit of 1 MB for a
	// value.
	maxBatchRows = 3000
	// segmentRows is the number of rows above which a segment is sealed before its window ends, since each
	// commit rewrites the whole segment.
	segmentRows = 500
)

func newStream(host, incarnation string) *stream {
	return &stream{host: host, incarnation: incarnation, committed: totals{}}
}

func (s *stream) name() string { return s.host + "/" + s.incarnation }

// add adds a record to the open batch of its window, or of a later window if the stream has reached one.
// If there is no such batch, add starts one.
func (s *stream) add(r Record, window int64) {
	window = max(window, s.window)
	n := len(s.batches)
	if n > 0 {
		window = max(window, s.batches[n-1].Window)
	}
	if n == 0 || !s.batches[n-1].accepts(r, window) {
		s.mergeOldest()
		s.batches = append(s.batches, batch{Window: window, sums: totals{}})
	}
	s.batches[len(s.batches)-1].sums.addRecord(r)
}

// accepts reports whether a record of a window may be added to the batch.
func (b batch) accepts(r Record, window int64) bool {
	if b.Seq != 0 || b.Window != window {
		return false
	}
	_, ok := b.sums[r.key()]
	return ok || len(b.sums) < maxBatchRows
}

// mergeOldest merges an old batch without a sequence number into the batch after it, so that an outage over
// many windows takes bounded memory. The usage of the old batch then counts in the later window.
func (s *stream) mergeOldest() {
	if len(s.batches) < maxBatches {
		return
	}
	for i := range s.batches[:len(s.batches)-1] {
		b, next := s.batches[i], s.batches[i+1]
		if b.Seq == 0 && next.sums.unionSize(b.sums) <= maxBatchRows {
			next.sums.addTotals(b.sums)
			s.batches = slices.Delete(s.batches, i, i+1)
			return
		}
	}
}

// nextBatches assigns sequence numbers to waiting batches of the first window that has any, and returns those
// that fit into one write, at most limit.
func (s *stream) nextBatches(limit int) []batch {
	var out []batch
	rows := 0
	for i := range s.batches[:min(limit, len(s.batches))] {
		if s.batches[i].Window != s.batches[0].Window || rows > maxBatchRows {
			break
		}
		s.assignSeq(i)
		rows += len(s.batches[i].Rows)
		out = append(out, s.batches[i])
	}
	return out
}

// assignSeq gives a batch the next sequence number, which makes the batch immutable.
func (s *stream) assignSeq(i int) {
	b := &s.batches[i]
	if b.Seq != 0 {
		return
	}
	s.lastSeq++
	b.Seq, b.Rows = s.lastSeq, b.sums.rows()
}

// nextSegment returns the segment to write next: the current segment with further batches added, or the
// current segment sealed if its window has ended. It also returns the number of batches added, at most limit,
// and false if there is nothing to write.
func (s *stream) nextSegment(now int64, limit int) (segment, int, bool) {
	seg := segment{Host: s.host, Incarnation: s.incarnation, Number: s.segmentNumber, Window: s.window}
	if s.revision != 0 && (len(s.batches) == 0 || s.batches[0].Window > s.window) {
		seg.Seq, seg.Rows = s.committedSeq(), s.committed.rows()
		seg.Sealed = s.window < now || s.closing
		return seg, 0, seg.Sealed
	}
	due := s.nextBatches(limit)
	if len(due) == 0 {
		return segment{}, 0, false
	}
	sums := maps.Clone(s.committed)
	for _, b := range due {
		sums.addRows(b.Rows)
	}
	seg.Window = max(s.window, due[0].Window)
	seg.Seq, seg.Rows = due[len(due)-1].Seq, sums.rows()
	seg.Sealed = seg.Window < now || s.closing || len(seg.Rows) > segmentRows
	return seg, len(due), true
}

// committedSeq returns the sequence number of the last committed batch.
func (s *stream) committedSeq() uint64 {
	for _, b := range s.batches {
		if b.Seq != 0 {
			return b.Seq - 1
		}
	}
	return s.lastSeq
}

// applyStored updates the stream to the content of its current segment in the store.
func (s *stream) applyStored(seg segment, revision uint64) {
	s.dropCommitted(seg.Seq)
	s.window = max(s.window, seg.Window)
	if seg.Sealed {
		s.segmentNumber = seg.Number + 1
		s.revision, s.committed = 0, totals{}
		return
	}
	s.revision, s.committed = revision, newTotals(seg.Rows)
}

// dropCommitted removes the batches up to seq, which the store already has.
func (s *stream) dropCommitted(seq uint64) {
	for len(s.batches) > 0 && s.batches[0].Seq != 0 && s.batches[0].Seq <= seq {
		s.batches = s.batches[1:]
	}
	s.lastSeq = max(s.lastSeq, seq)
}

// finished reports whether a stream that gets no more batches is committed and sealed.
func (s *stream) finished() bool { return len(s.batches) == 0 && s.revision == 0 && !s.outOfSync }
