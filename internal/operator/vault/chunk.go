package vault

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

// Sizes of chunks in bytes. The boundaries follow the content, so that an insertion changes few chunks.
const (
	minChunk  = 4 << 10
	meanChunk = 16 << 10
	maxChunk  = 64 << 10
)

// Hash is the SHA-256 of a chunk.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Chunk is a piece of a source text.
type Chunk struct {
	hash Hash
	data []byte
}

func newChunk(data []byte) Chunk { return Chunk{hash: sha256.Sum256(data), data: data} }

// Hash returns the SHA-256 of the data.
func (c Chunk) Hash() Hash { return c.hash }

// Data returns the bytes of the chunk.
func (c Chunk) Data() []byte { return c.data }

// Split cuts a source text at boundaries that depend only on the bytes near them.
func Split(source []byte) []Chunk {
	var chunks []Chunk
	for len(source) > 0 {
		n := cut(source)
		chunks = append(chunks, newChunk(source[:n:n]))
		source = source[n:]
	}
	return chunks
}

// cut returns the size of the first chunk of data.
func cut(data []byte) int {
	if len(data) <= minChunk {
		return len(data)
	}
	end := min(len(data), maxChunk)
	var rolling uint64
	for i := minChunk; i < end; i++ {
		rolling = rolling<<1 + gear[data[i]]
		if rolling&boundaryMask == 0 {
			return i + 1
		}
	}
	return end
}

// boundaryMask has the high bits of a rolling hash, which depend on the last 64 bytes.
const boundaryMask = uint64(meanChunk-1) << (64 - 14)

// gear holds one random number for each byte, the same on every host.
var gear = func() (table [256]uint64) {
	for i := range table {
		table[i] = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(i)))
	}
	return table
}()

// newManifest returns the chunk that lists the chunks of a document.
func newManifest(chunks []Chunk) Chunk {
	hashes := make([][]byte, len(chunks))
	for i, c := range chunks {
		hashes[i] = c.hash[:]
	}
	return newChunk(encode(hashes))
}

func decodeManifest(data []byte) ([]Hash, error) {
	var raw [][]byte
	if err := cbor.Unmarshal(data, &raw); err != nil {
		return nil, kind.Wrap(err, kind.Peer, "a manifest cannot be read")
	}
	hashes := make([]Hash, len(raw))
	for i, r := range raw {
		if len(r) != sha256.Size {
			return nil, kind.New(kind.Peer, "a manifest holds a hash of %d bytes", len(r))
		}
		copy(hashes[i][:], r)
	}
	return hashes, nil
}
