package store

import (
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

// priorWriteLimit bounds how many earlier writes of its key an envelope names.
const priorWriteLimit = 4

// envelope is the stored form of a value. The nonces of the write and of the writes before it let a writer that
// got no response find out whether its write took effect, also after others have overwritten the key.
type envelope struct {
	Nonce       string       `cbor:"n"`
	Value       []byte       `cbor:"v"`
	PriorWrites []priorWrite `cbor:"p,omitempty"` // earlier writes of the key, newest first
	Complete    bool         `cbor:"w,omitempty"` // PriorWrites names all writes since the key was created
	Since       uint64       `cbor:"s,omitempty"` // a revision before the write, if PriorWrites names none
}

// priorWrite identifies an earlier write of the same key.
type priorWrite struct {
	Nonce    string `cbor:"n"`
	Revision uint64 `cbor:"r"`
}

// lastWrite is what a client remembers of the last write of a key that it has seen, to name that write in the
// envelope of its own next write.
type lastWrite struct {
	revision    uint64
	nonce       string
	priorWrites []priorWrite
	complete    bool
}

func encodeEnvelope(e envelope) ([]byte, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "envelope cannot be encoded")
	}
	return data, nil
}

// decodeEnvelope decodes an envelope. Data that is no envelope, because it was not written by a Client of this
// package, becomes the value of an envelope without a nonce.
func decodeEnvelope(data []byte) envelope {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil || e.Nonce == "" {
		return envelope{Value: data}
	}
	return e
}

// nextEnvelope returns the envelope of a write under cond by a client that last saw the write s. The envelope
// names earlier writes only if cond ensures that s is the write before. Since is a revision that the store has passed.
func (s lastWrite) nextEnvelope(nonce string, value []byte, cond Condition, since uint64) envelope {
	e := envelope{Nonce: nonce, Value: value, Since: since}
	if cond.mode == ModeAbsent {
		e.Complete = true
		return e
	}
	if cond.mode != ModeAt || s.revision != cond.revision || s.nonce == "" {
		return e
	}
	e.PriorWrites = append([]priorWrite{{s.nonce, s.revision}}, s.priorWrites...)
	e.Complete, e.Since = s.complete, 0
	if len(e.PriorWrites) > priorWriteLimit {
		e.PriorWrites, e.Complete = e.PriorWrites[:priorWriteLimit], false
	}
	return e
}

// base returns a revision that the store had passed when the envelope was written. Of two writes of a key that each replaced
// another state, the one with the later base counts as the later one.
func (e envelope) base() uint64 {
	if len(e.PriorWrites) == 0 {
		return e.Since
	}
	return e.PriorWrites[0].Revision
}

// revisionOf returns the revision at which the write with a nonce took effect, if the envelope e, read at
// revision, names that write.
func (e envelope) revisionOf(nonce string, revision uint64) (uint64, bool) {
	if e.Nonce == nonce {
		return revision, true
	}
	for _, p := range e.PriorWrites {
		if p.Nonce == nonce {
			return p.Revision, true
		}
	}
	return 0, false
}

// coversSince reports whether the envelope names every write since the state that cond expects. If so, a write
// under cond that the envelope does not name had no effect.
func (e envelope) coversSince(cond Condition) bool {
	if cond.mode == ModeAbsent {
		return e.Complete
	}
	for _, p := range e.PriorWrites {
		if p.Revision == cond.revision {
			return true
		}
	}
	return false
}
