package claim

import (
	_ "embed" // for the state machine definition
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/statechart"
)

//go:embed claim.json
var chartFile []byte

var states = statechart.Must(chartFile)

const (
	bucketPrefix = "claim/bucket/"
	bodyPrefix   = "claim/body/"
	// inlineLimit is the size in bytes up to which the body of an outcome is stored in the bucket.
	inlineLimit = 1 << 10
	// bucketLimit keeps an encoded bucket below the store's limit of 1 MB for a value.
	bucketLimit = 900 << 10
)

// bucket holds claims by request id.
type bucket map[string]entry

// entry is the stored form of a claim.
type entry struct {
	State        string    `cbor:"s"`
	Owner        string    `cbor:"w"`
	RunsUntil    time.Time `cbor:"u"` // the request is assumed to run until then
	Expires      time.Time `cbor:"e"`
	Outcome      *Outcome  `cbor:"o,omitempty"`
	SeparateBody bool      `cbor:"a,omitempty"` // the body is stored in a key of its own
}

func bucketKey(id string, buckets int) string {
	return fmt.Sprintf("%s%d", bucketPrefix, xxhash.Sum64String(id)%uint64(buckets))
}

func (b bucket) encode() ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "claims cannot be encoded")
	}
	if len(data) > bucketLimit {
		return nil, kind.New(kind.ClaimNotStored, "the bucket of claims is full")
	}
	return data, nil
}

// expire removes the expired claims and returns the ids of those whose bodies are stored in keys of their own.
func (b bucket) expire(now time.Time) (separate []string) {
	for id, e := range b {
		if now.Before(e.Expires) {
			continue
		}
		if e.SeparateBody {
			separate = append(separate, id)
		}
		delete(b, id)
	}
	return separate
}
