// Package compress makes data smaller that travels between hosts.
package compress

import (
	"github.com/klauspost/compress/zstd"

	"hickorypath/internal/core/kind"
)

// windowBytes is how far back data is searched for repetitions. Documents repeat themselves at short distances, and a larger
// window takes more memory.
const windowBytes = 512 << 10

// Encode returns data in compressed form.
func Encode(data []byte) []byte {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("compress: invalid options: " + err.Error())
	}
	return e.EncodeAll(data, nil)
}

// Decode reverses Encode. The error has kind Peer: the data is damaged, or decodes to more than maxBytes.
func Decode(data []byte, maxBytes uint64) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBytes))
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "decompressor cannot be created")
	}
	defer d.Close()
	decoded, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, kind.Wrap(err, kind.Peer, "compressed data cannot be read")
	}
	return decoded, nil
}
