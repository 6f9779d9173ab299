package replication

import (
	"crypto/sha256"
	"math/bits"
)

// A large value is split by content-defined chunking, so that a small change leaves most chunks unchanged. A
// long list of chunk references is split in the same way, which adds a level; this repeats until the top list
// is short enough.
const (
	maxInline         = 4 << 10  // largest value in bytes that is sent unchunked
	maxRefList        = 512      // largest list of references in bytes that is sent unchunked
	minChunk          = 128      // bytes
	maxChunk          = 2 << 10  // bytes
	chunkBoundaryMask = 1<<8 - 1 // a boundary about every 256 bytes beyond minChunk
	refSize           = 16       // bytes of a reference, a truncated SHA-256 hash
	refBoundaryMask   = 1<<3 - 1 // a boundary about every 8 references beyond minRefList
	minRefList        = 8 * refSize
	maxLevels         = 6
)

// chunkRef identifies a chunk by the hash of its content.
type chunkRef [refSize]byte

func chunkRefOf(data []byte) chunkRef {
	sum := sha256.Sum256(data)
	return chunkRef(sum[:refSize])
}

func decodeRefs(b []byte) []chunkRef {
	all := make([]chunkRef, 0, len(b)/refSize)
	for ; len(b) >= refSize; b = b[refSize:] {
		all = append(all, chunkRef(b[:refSize]))
	}
	return all
}

// chunkValue splits a value, stores the chunks with put, and returns the top list of references and the number
// of levels of lists.
func chunkValue(value []byte, put func(chunkRef, []byte)) (top []byte, levels int) {
	top = storeChunks(splitValue(value), put)
	levels = 1
	for len(top) > maxRefList && levels < maxLevels {
		top = storeChunks(splitRefs(top), put)
		levels++
	}
	return top, levels
}

// storeChunks stores parts as chunks with put and returns the list of their references.
func storeChunks(parts [][]byte, put func(chunkRef, []byte)) []byte {
	list := make([]byte, 0, len(parts)*refSize)
	for _, p := range parts {
		r := chunkRefOf(p)
		put(r, p)
		list = append(list, r[:]...)
	}
	return list
}

func splitValue(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > 0 {
		n := nextBoundary(data)
		parts = append(parts, data[:n])
		data = data[n:]
	}
	return parts
}

// nextBoundary returns the length of the first chunk of data. The boundary is found with a gear hash over the
// last 64 bytes.
func nextBoundary(data []byte) int {
	var h uint64
	for i, b := range data {
		h = h<<1 + gearHash(b)
		if i >= maxChunk-1 || i >= minChunk && bits.RotateLeft64(h, 17)&chunkBoundaryMask == 0 {
			return i + 1
		}
	}
	return len(data)
}

// gearHash maps a byte to a 64-bit value for the gear hash of nextBoundary.
func gearHash(b byte) uint64 {
	x := (uint64(b) + 1) * 0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// splitRefs splits a list of references at boundaries that depend on the references.
func splitRefs(list []byte) [][]byte {
	var parts [][]byte
	start := 0
	for i := 0; i < len(list); i += refSize {
		end := i + refSize
		if end-start >= minRefList && list[i]&refBoundaryMask == 0 {
			parts = append(parts, list[start:end])
			start = end
		}
	}
	if start < len(list) {
		parts = append(parts, list[start:])
	}
	return parts
}

// missingChunks returns the references of the chunks that get does not find, for a value with the given top
// list and number of levels. Chunks below a missing list of references are not known yet and not returned.
func missingChunks(top []byte, levels int, get func(chunkRef) ([]byte, bool)) []chunkRef {
	var absent []chunkRef
	for _, r := range decodeRefs(top) {
		data, ok := get(r)
		switch {
		case !ok:
			absent = append(absent, r)
		case levels > 1:
			absent = append(absent, missingChunks(data, levels-1, get)...)
		}
	}
	return absent
}

// assemble joins the chunks of a value, none of which may be missing.
func assemble(top []byte, levels int, get func(chunkRef) ([]byte, bool)) []byte {
	var value []byte
	for _, r := range decodeRefs(top) {
		data, _ := get(r)
		if levels > 1 {
			data = assemble(data, levels-1, get)
		}
		value = append(value, data...)
	}
	return value
}

// walkChunks calls visit with the reference of each chunk of a value. The references in a missing list are
// skipped.
func walkChunks(top []byte, levels int, get func(chunkRef) ([]byte, bool), visit func(chunkRef)) {
	for _, r := range decodeRefs(top) {
		visit(r)
		if data, ok := get(r); ok && levels > 1 {
			walkChunks(data, levels-1, get, visit)
		}
	}
}
