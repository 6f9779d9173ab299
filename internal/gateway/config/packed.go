package config

import (
	"github.com/klauspost/compress/zstd"

	"hickorypath/internal/core/kind"
)

// MaxBytes is the largest encoded configuration, in bytes before compression, that Unpack accepts.
const MaxBytes = 16 << 20

// Pack compresses an encoded configuration. Configurations repeat themselves and shrink to about a fifteenth.
func Pack(data []byte) []byte {
	// Neither option is invalid, so there is no error.
	e, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	return e.EncodeAll(data, nil)
}

// Unpack reverses Pack. The error has kind Peer: the data is damaged, or larger than MaxBytes.
func Unpack(packed []byte) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBytes))
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "decompressor cannot be created")
	}
	defer d.Close()
	data, err := d.DecodeAll(packed, nil)
	if err != nil {
		return nil, kind.Wrap(err, kind.Peer, "compressed configuration cannot be read")
	}
	return data, nil
}
