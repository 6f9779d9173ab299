package usage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

const (
	segmentPrefix = "usage/part/"
	windowPrefix  = "usage/window/"
	rowsPrefix    = "usage/rows/"
	cursorKey     = "usage/cursor"
)

// segment holds the usage that one host incarnation committed for one window; a window may have several
// segments of a host. A host numbers its segments without gaps and creates a segment only after the previous
// one is sealed. No usage is added to a sealed segment.
type segment struct {
	Host        string `cbor:"h"`
	Incarnation string `cbor:"i"`
	Number      uint64 `cbor:"n"`
	Window      int64  `cbor:"w"`
	Seq         uint64 `cbor:"q"` // sequence number of the last batch in the segment
	Sealed      bool   `cbor:"s,omitempty"`
	Counted     bool   `cbor:"d,omitempty"` // the rows are counted in a frozen window
	Rows        []Row  `cbor:"r,omitempty"`
}

func (seg segment) streamName() string { return seg.Host + "/" + seg.Incarnation }

func (seg segment) key() string { return segmentKey(seg.streamName(), seg.Number) }

// segmentKey returns the store key of a segment. The keys of one stream sort by segment number.
func segmentKey(stream string, number uint64) string {
	return fmt.Sprintf("%s%s/%s/%010d", segmentPrefix, streamHash(stream), stream, number)
}

// watermark describes the last segment of a stream that a frozen window counts.
type watermark struct {
	Number uint64 `cbor:"n"`
	Seq    uint64 `cbor:"q"`
	Window int64  `cbor:"w"`
}

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "usage cannot be encoded")
	}
	return data, nil
}

func decode[T any](data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, kind.Wrap(err, kind.Internal, "usage cannot be decoded")
	}
	return v, nil
}
