// Package key issues API keys and looks up the customer of the key that a caller presents.
//
// The clear text of a key is shown only once, when the key is issued. Only its SHA-256 is stored. Key records
// are not part of the configuration document and change independently of it. The withdrawal of a key ends the
// running calls that use it, which learn of it from Table.Watch.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

const (
	prefix      = "hp-"
	idBytes     = 8
	secretBytes = 24
	// The clear text of a key is the prefix, the id in hexadecimal, a dash and the secret in base64.
	secretOffset = len(prefix) + 2*idBytes + 1
	clearSize    = secretOffset + 4*secretBytes/3
)

// Hash is the SHA-256 of a clear key.
type Hash [sha256.Size]byte

// Record is the stored form of a key, without its clear text.
type Record struct {
	id        string
	hash      Hash
	customer  string
	issued    time.Time
	withdrawn time.Time
	version   uint64
}

// ID returns the id of the key, which is not secret.
func (r Record) ID() string { return r.id }

// Hash returns the SHA-256 of the clear key.
func (r Record) Hash() Hash { return r.hash }

// Customer returns the name of the customer to whom the key was issued.
func (r Record) Customer() string { return r.customer }

// Issued returns the time at which the key was issued.
func (r Record) Issued() time.Time { return r.issued }

// Withdrawn returns the time at which the key was withdrawn, or the zero time if the key is valid.
func (r Record) Withdrawn() time.Time { return r.withdrawn }

// Version returns the version of the record, which increases with each change.
func (r Record) Version() uint64 { return r.version }

// Generate returns the clear text of a new key and its record. The record has no customer and no time of issue until
// IssueTo sets them.
func Generate() (clear string, rec Record) {
	id := hex.EncodeToString(random(idBytes))
	clear = prefix + id + "-" + base64.RawURLEncoding.EncodeToString(random(secretBytes))
	return clear, Record{id: id, hash: sha256.Sum256([]byte(clear)), version: 1}
}

// NewRecord returns the record of a key whose clear text was generated elsewhere, such as a key in sample data. The
// error is of kind Invalid.
func NewRecord(clear, customer string, issued time.Time) (Record, error) {
	id, ok := idOf(clear)
	if _, valid := parseID(id); !ok || !valid {
		return Record{}, kind.New(kind.Invalid, "the key does not have the form of one that was issued")
	}
	return Record{id: id, hash: sha256.Sum256([]byte(clear)), customer: customer, issued: issued, version: 1}, nil
}

// IssueTo returns a copy of the record that is issued to the customer at now.
func (r Record) IssueTo(customer string, now time.Time) Record {
	r.customer = customer
	r.issued = now.UTC().Truncate(time.Second)
	return r
}

// Withdraw returns the next version of the record, withdrawn at now. A record that is already withdrawn is returned
// unchanged.
func (r Record) Withdraw(now time.Time) Record {
	if !r.withdrawn.IsZero() {
		return r
	}
	r.withdrawn = now.UTC().Truncate(time.Second)
	r.version++
	return r
}

// random returns n bytes from crypto/rand, whose Read never returns an error.
func random(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}

// idOf returns the id in the clear text of a key and reports whether the text has the length, prefix and dash of a
// key.
func idOf(clear string) (string, bool) {
	if len(clear) != clearSize || !strings.HasPrefix(clear, prefix) || clear[secretOffset-1] != '-' {
		return "", false
	}
	return clear[len(prefix) : secretOffset-1], true
}

// numericID is the id of a key as an integer, the form in which Table stores ids.
type numericID uint64

// parseID parses an id of 16 lower-case hexadecimal digits and reports whether the id is valid.
func parseID(id string) (numericID, bool) {
	if len(id) != 2*idBytes {
		return 0, false
	}
	var n numericID
	for i := range len(id) {
		switch c := id[i]; {
		case '0' <= c && c <= '9':
			n = n<<4 | numericID(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | numericID(c-'a'+10)
		default:
			return 0, false
		}
	}
	return n, true
}

func (n numericID) String() string { return fmt.Sprintf("%016x", uint64(n)) }

// wireRecord is the CBOR encoding of a Record. Times are Unix times in seconds.
type wireRecord struct {
	ID        string `cbor:"1,keyasint"`
	Hash      []byte `cbor:"2,keyasint"`
	Customer  string `cbor:"3,keyasint"`
	Issued    int64  `cbor:"4,keyasint"`
	Withdrawn int64  `cbor:"5,keyasint,omitempty"`
	Version   uint64 `cbor:"6,keyasint"`
}

// Encode returns the record as CBOR.
func (r Record) Encode() []byte {
	w := wireRecord{ID: r.id, Hash: r.hash[:], Customer: r.customer, Issued: r.issued.Unix(), Version: r.version}
	if !r.withdrawn.IsZero() {
		w.Withdrawn = r.withdrawn.Unix()
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		panic("key: record: " + err.Error()) // the struct holds only strings, bytes and integers
	}
	return b
}

// Decode decodes a record that Encode encoded. The error is of kind Peer.
func Decode(b []byte) (Record, error) {
	var w wireRecord
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Record{}, kind.Wrap(err, kind.Peer, "key record cannot be read")
	}
	if _, ok := parseID(w.ID); !ok || len(w.Hash) != sha256.Size {
		return Record{}, kind.New(kind.Peer, "key record has no valid id or hash")
	}
	r := Record{id: w.ID, customer: w.Customer, issued: time.Unix(w.Issued, 0).UTC(), version: w.Version}
	copy(r.hash[:], w.Hash)
	if w.Withdrawn != 0 {
		r.withdrawn = time.Unix(w.Withdrawn, 0).UTC()
	}
	return r, nil
}
