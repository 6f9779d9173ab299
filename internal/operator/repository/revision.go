package repository

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

// Revision describes an accepted document. Numbers start at 1 and increase by one.
type Revision struct {
	number            uint64
	digest            string
	manifest          Hash
	size              int
	at                time.Time
	operator          string
	change            string
	prevStoreRevision uint64 // the store's revision of the root at which the previous revision was accepted
}

// Number returns the number of the revision, 0 when no document has been accepted yet.
func (r Revision) Number() uint64 { return r.number }

// Digest returns the digest of the document.
func (r Revision) Digest() string { return r.digest }

// Manifest returns the hash of the manifest that lists the chunks of the document.
func (r Revision) Manifest() Hash { return r.manifest }

// Size returns the size of the source text in bytes.
func (r Revision) Size() int { return r.size }

// At returns the time at which the document was accepted.
func (r Revision) At() time.Time { return r.at }

// Operator returns the name of the operator who made the change.
func (r Revision) Operator() string { return r.operator }

// Change returns the id of the change that made the revision.
func (r Revision) Change() string { return r.change }

// String returns a description of the revision for messages to operators.
func (r Revision) String() string {
	if r.number == 0 {
		return "no revision"
	}
	return fmt.Sprintf("revision %d by %s at %s (digest %.12s, change %s)",
		r.number, r.operator, r.at.Format(time.RFC3339), r.digest, r.change)
}

// changeID returns the id of a change that makes the revision with the given number if the change is accepted.
func changeID(number uint64, nonce string) string { return fmt.Sprintf("%d-%s", number, nonce) }

// numberOf returns the number of the revision that the change with the given id makes if the change is accepted.
func numberOf(change string) (uint64, error) {
	number, _, ok := strings.Cut(change, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || n == 0 {
		return 0, kind.New(kind.Invalid, "%q is not the id of a change", change)
	}
	return n, nil
}

// root is the value under RootKey. It lists recent revisions, newest last.
type root struct {
	recent        []Revision
	valueRevision uint64 // the store's revision of the value, 0 when the value is absent
}

func (r root) current() Revision {
	if len(r.recent) == 0 {
		return Revision{}
	}
	return r.recent[len(r.recent)-1]
}

// find returns the revision that the change with the given id made, if it is among the recent ones.
func (r root) find(change string) (Revision, bool) {
	for _, rev := range r.recent {
		if rev.change == change {
			return rev, true
		}
	}
	return Revision{}, false
}

// revisionRecord is the CBOR encoding of a Revision.
type revisionRecord struct {
	Number   uint64 `cbor:"1,keyasint"`
	Digest   []byte `cbor:"2,keyasint"`
	Manifest []byte `cbor:"3,keyasint"`
	Size     int    `cbor:"4,keyasint"`
	At       int64  `cbor:"5,keyasint"`
	Operator string `cbor:"6,keyasint"`
	Change   string `cbor:"7,keyasint"`
	After    uint64 `cbor:"8,keyasint,omitempty"`
}

func encodeRevisions(list []Revision) []byte {
	forms := make([]revisionRecord, len(list))
	for i, r := range list {
		digest, _ := hex.DecodeString(r.digest)
		forms[i] = revisionRecord{
			Number: r.number, Digest: digest, Manifest: r.manifest[:], Size: r.size,
			At: r.at.Unix(), Operator: r.operator, Change: r.change, After: r.prevStoreRevision,
		}
	}
	return encode(forms)
}

func decodeRevisions(b []byte) ([]Revision, error) {
	var forms []revisionRecord
	if err := cbor.Unmarshal(b, &forms); err != nil {
		return nil, kind.Wrap(err, kind.Peer, "the list of revisions cannot be read")
	}
	list := make([]Revision, len(forms))
	for i, f := range forms {
		list[i] = Revision{
			number: f.Number, digest: hex.EncodeToString(f.Digest), size: f.Size,
			at: time.Unix(f.At, 0).UTC(), operator: f.Operator, change: f.Change, prevStoreRevision: f.After,
		}
		copy(list[i].manifest[:], f.Manifest)
	}
	return list, nil
}

// DecodeRoot returns the newest revision in a value of RootKey.
func DecodeRoot(value []byte) (Revision, error) {
	list, err := decodeRevisions(value)
	return root{recent: list}.current(), err
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("repository: " + err.Error()) // unreachable: the encoded values hold only strings, bytes and integers
	}
	return b
}
