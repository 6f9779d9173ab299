package usage

import (
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// handover is the uncommitted usage that a host passes to another host at shutdown.
type handover struct {
	Streams []exportedStream `cbor:"s"`
}

// exportedStream is the uncommitted usage of one stream.
type exportedStream struct {
	Host        string  `cbor:"h"`
	Incarnation string  `cbor:"i"`
	Number      uint64  `cbor:"n"` // of the current segment
	Last        uint64  `cbor:"q"` // last sequence number assigned
	Batches     []batch `cbor:"b"`
}

// Export returns the encoded usage that is not committed yet, for the Import of another host, or nil if there
// is none. The data may be sent to several hosts: the sequence numbers let each batch count only once.
func (r *Recorder) Export() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var h handover
	for _, s := range append([]*stream{r.own}, lo.Values(r.imported)...) {
		if out := s.export(); len(out.Batches) > 0 {
			h.Streams = append(h.Streams, out)
		}
	}
	if len(h.Streams) == 0 {
		return nil
	}
	data, err := encode(h)
	if err != nil {
		r.opts.Log.Error("usage not exported", zap.Error(err))
	}
	return data
}

// Import takes over the usage that Export returned on another host. The next commit stores it.
func (r *Recorder) Import(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	h, err := decode[handover](data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range h.Streams {
		r.importStream(in)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// importStream adds the batches of another host's stream. It marks the stream as out of sync, so that the
// current segment is read from the store before the first write.
func (r *Recorder) importStream(in exportedStream) {
	s := newStream(in.Host, in.Incarnation)
	if s.name() == r.own.name() {
		return
	}
	if known, ok := r.imported[s.name()]; ok {
		s = known
	} else {
		r.imported[s.name()] = s
		s.segmentNumber = in.Number
	}
	s.outOfSync, s.closing = true, true
	for _, b := range in.Batches {
		if b.Seq > s.lastSeq {
			s.batches = append(s.batches, b)
		}
	}
	s.lastSeq = max(s.lastSeq, in.Last)
}

// export assigns sequence numbers to all waiting batches, which makes them immutable, and returns them.
func (s *stream) export() exportedStream {
	for i := range s.batches {
		s.assignSeq(i)
	}
	return exportedStream{Host: s.host, Incarnation: s.incarnation, Number: s.segmentNumber, Last: s.lastSeq, Batches: s.batches}
}
