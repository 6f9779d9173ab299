package replication

import "encoding/binary"

// WireRecord is the encoded form of a record. Either Value holds the bytes of the value, or Refs and Levels
// tell how to assemble the value from chunks.
type WireRecord struct {
	Topic        string   `cbor:"1,keyasint"`
	Key          string   `cbor:"2,keyasint"`
	Version      uint64   `cbor:"3,keyasint"`
	Value        []byte   `cbor:"4,keyasint,omitempty"`
	Expires      int64    `cbor:"5,keyasint,omitempty"`
	Refs         []byte   `cbor:"6,keyasint,omitempty"`
	Levels       int      `cbor:"7,keyasint,omitempty"`
	Contributors []uint32 `cbor:"8,keyasint,omitempty"` // IDs of the hosts or zones whose records a combined soft record contains
}

// Message is a message from the table of one host to the table of another. All fields are optional.
type Message struct {
	Push          []WireRecord `cbor:"1,keyasint,omitempty"` // new records, which the receiver acknowledges
	Ack           []byte       `cbor:"2,keyasint,omitempty"` // versions of received records, encoded with appendVersion
	BucketDigests []byte       `cbor:"3,keyasint,omitempty"` // digest of each bucket of records
	Buckets       []byte       `cbor:"4,keyasint,omitempty"` // numbers of the buckets that Versions covers
	Versions      []byte       `cbor:"5,keyasint,omitempty"` // versions of all records in Buckets
	WantRecords   []byte       `cbor:"6,keyasint,omitempty"` // hashes of requested records
	WantChunks    []byte       `cbor:"7,keyasint,omitempty"` // references of requested chunks
	Chunks        [][]byte     `cbor:"8,keyasint,omitempty"`
	Soft          []SoftGroup  `cbor:"9,keyasint,omitempty"`  // soft records, which are not acknowledged
	AcceptsPacked bool         `cbor:"10,keyasint,omitempty"` // the chunks of WantChunks may be sent as PackedChunks; hosts of an earlier version do not accept them
	PackedChunks  []byte       `cbor:"11,keyasint,omitempty"` // chunks in compressed form, encoded with packChunks
}

// SoftGroup holds soft records of one topic and source that have the same version, expiry and contributors.
type SoftGroup struct {
	Topic        string   `cbor:"1,keyasint"`
	Source       string   `cbor:"2,keyasint"`
	Version      uint64   `cbor:"3,keyasint"`
	Expires      int64    `cbor:"4,keyasint"`
	Names        []string `cbor:"5,keyasint"`
	Values       [][]byte `cbor:"6,keyasint"`
	Contributors []uint32 `cbor:"7,keyasint,omitempty"` // IDs of the hosts or zones whose records are combined in each of these
}

// Outgoing is a message to send to the host To.
type Outgoing struct {
	To      string
	Message Message
}

const (
	versionSize = 16 // bytes of an encoded recordVersion
	hashSize    = 8  // bytes of an encoded record hash
)

// recordVersion is the hash of a record's topic and key, and the record's version.
type recordVersion struct{ hash, version uint64 }

func appendVersion(b []byte, v recordVersion) []byte {
	b = binary.LittleEndian.AppendUint64(b, v.hash)
	return binary.LittleEndian.AppendUint64(b, v.version)
}

func decodeVersions(b []byte) []recordVersion {
	all := make([]recordVersion, 0, len(b)/versionSize)
	for ; len(b) >= versionSize; b = b[versionSize:] {
		all = append(all, recordVersion{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[hashSize:])})
	}
	return all
}

func decodeHashes(b []byte) []uint64 {
	all := make([]uint64, 0, len(b)/hashSize)
	for ; len(b) >= hashSize; b = b[hashSize:] {
		all = append(all, binary.LittleEndian.Uint64(b))
	}
	return all
}
