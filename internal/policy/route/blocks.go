package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Size and number of the prefix blocks of a prompt.
const (
	BlockSize = 256 // bytes
	MaxBlocks = 128
)

// BlockHashes returns the chained hashes of the prompt's whole prefix blocks. A block's hash covers all
// blocks before it and the salt, so equal hashes mean equal prefixes of the same customer.
func BlockHashes(salt string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	if n == 0 {
		return nil
	}
	blocks := make([]uint64, n)
	chain := xxhash.Sum64String(salt)
	var link [8]byte
	var digest xxhash.Digest
	for i := range blocks {
		binary.LittleEndian.PutUint64(link[:], chain)
		digest.Reset()
		_, _ = digest.Write(link[:])
		_, _ = digest.Write(prompt[i*BlockSize : (i+1)*BlockSize])
		chain = digest.Sum64()
		blocks[i] = chain
	}
	return blocks
}
