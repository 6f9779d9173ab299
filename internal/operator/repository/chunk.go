package repository

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

// Sizes of chunks in bytes. The content determines the boundaries, so that an insertion changes few chunks.
const (
	minChunk  = 4 << 10
	meanChunk = 28 << 10 // mean size of the part of a chunk beyond minChunk
	maxChunk  = 256 << 10
)

// Hash is the SHA-256 of a chunk.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Chunk is a content-addressed part of a source text, or a manifest.
type Chunk struct {
	hash Hash
	data []byte
}

func newChunk(data []byte) Chunk { return Chunk{hash: sha256.Sum256(data), data: data} }

// Hash returns the SHA-256 of the data.
func (c Chunk) Hash() Hash { return c.hash }

// Data returns the bytes of the chunk.
func (c Chunk) Data() []byte { return c.data }

// Split splits a source text into chunks. Each boundary depends only on the bytes near it.
func Split(source []byte) []Chunk {
	var chunks []Chunk
	for len(source) > 0 {
		n := firstChunkSize(source)
		chunks = append(chunks, newChunk(source[:n:n]))
		source = source[n:]
	}
	return chunks
}

// firstChunkSize returns the size of the first chunk of data. A chunk ends after a line whose hash is below a threshold
// that grows with the length of the line, so that the mean size of chunks does not depend on the length of lines.
func firstChunkSize(data []byte) int {
	size := 0
	for size < len(data) {
		line := firstLine(data[size:])
		if size+len(line) > maxChunk {
			return max(size, min(maxChunk, len(data)))
		}
		size += len(line)
		if size >= minChunk && xxhash.Sum64(line) < threshold(len(line)) {
			return size
		}
	}
	return size
}

// firstLine returns the bytes up to and including the first line feed, or all bytes if there is none.
func firstLine(data []byte) []byte {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return data[:i+1]
	}
	return data
}

// threshold returns the bound below which the hash of a line of n bytes ends a chunk.
func threshold(n int) uint64 {
	return math.MaxUint64 / meanChunk * uint64(min(n, meanChunk))
}

// newManifest returns the chunk that lists the hashes of the chunks of a document.
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
