package config

import "hickorypath/internal/core/compress"

// MaxBytes is the largest encoded configuration, in bytes before compression, that Unpack accepts.
const MaxBytes = 16 << 20

// Pack compresses an encoded configuration. Configurations repeat themselves and shrink to about a fifteenth.
func Pack(data []byte) []byte { return compress.Encode(data) }

// Unpack reverses Pack. The error has kind Peer: the data is damaged, or larger than MaxBytes.
func Unpack(packed []byte) ([]byte, error) { return compress.Decode(packed, MaxBytes) }
