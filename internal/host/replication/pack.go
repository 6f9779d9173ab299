package replication

import (
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/compress"
)

// maxUnpackedBytes bounds the chunks of one message before compression.
const maxUnpackedBytes = 2 << 20

// packChunks compresses chunks for a message.
func packChunks(chunks [][]byte) []byte {
	data, err := cbor.Marshal(chunks)
	if err != nil {
		panic("replication: cannot encode chunks: " + err.Error())
	}
	return compress.Encode(data)
}

// unpackChunks reverses packChunks. It returns no chunks if the data is damaged; they are requested again.
func unpackChunks(packed []byte) (chunks [][]byte) {
	if len(packed) == 0 {
		return nil
	}
	data, err := compress.Decode(packed, maxUnpackedBytes)
	if err != nil || cbor.Unmarshal(data, &chunks) != nil {
		return nil
	}
	return chunks
}
