package claim

import (
	"context"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

const (
	// maxSplitDepth bounds how many times the claims of a bucket are split.
	maxSplitDepth = 12
	// maxSplitBuckets bounds the number of split buckets that a host remembers.
	maxSplitBuckets = 8192
)

// storedBucket is a bucket as it is in the store. A split bucket never changes again: its claims have moved to
// its children, each of which starts with its share of them.
type storedBucket struct {
	claims    bucket
	split     bool
	condition store.Condition // for the next write
}

// splitDepth returns how many splits led to the bucket with a key.
func splitDepth(key string) int { return strings.Count(strings.TrimPrefix(key, bucketPrefix), "/") }

// childKey returns the key of the child bucket that holds a claim. The children of a bucket differ in the next
// digit of the claim ids that they hold.
func childKey(key, id string) string {
	d := splitDepth(key)
	return key + "/" + id[d:d+1]
}

// parentKey returns the key of the parent of a bucket, and false if the bucket has no parent.
func parentKey(key string) (string, bool) {
	if splitDepth(key) == 0 {
		return "", false
	}
	return key[:strings.LastIndexByte(key, '/')], true
}

// leafKey returns the key of the bucket that holds a claim, according to the splits that this host knows.
func (r *Registry) leafKey(id string) string {
	key := bucketKey(id, r.opts.Buckets)
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.splitBuckets[key] {
		key = childKey(key, id)
	}
	return key
}

// rememberSplit records that a bucket is split. A split bucket stays split.
func (r *Registry) rememberSplit(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.splitBuckets) >= maxSplitBuckets {
		clear(r.splitBuckets)
	}
	r.splitBuckets[key] = true
}

// readBucket reads a bucket. A child that was never written holds its share of the claims of its parent.
func (r *Registry) readBucket(ctx context.Context, key string) (storedBucket, error) {
	e, err := r.client.Get(ctx, key)
	if kind.Of(err) == kind.Missing {
		return r.inheritFromParent(ctx, key)
	}
	if err != nil {
		return storedBucket{}, err
	}
	p, err := decodeBucket(e.Value())
	p.condition = store.At(e.Revision())
	return p, err
}

// inheritFromParent returns the content of a bucket that was never written.
func (r *Registry) inheritFromParent(ctx context.Context, key string) (storedBucket, error) {
	p := storedBucket{claims: bucket{}, condition: store.Absent()}
	parent, ok := parentKey(key)
	if !ok {
		return p, nil
	}
	from, err := r.readBucket(ctx, parent)
	if err != nil {
		return storedBucket{}, err
	}
	for id, e := range from.claims {
		if childKey(parent, id) == key {
			p.claims[id] = e
		}
	}
	return p, nil
}

// encodeBucket returns the stored form of a bucket. A bucket that is too large is encoded as split.
func (r *Registry) encodeBucket(key string, claims bucket) (data []byte, split bool, err error) {
	data, err = claims.encode()
	if err != nil || len(data) <= r.opts.SplitBytes || splitDepth(key) >= maxSplitDepth {
		return data, false, err
	}
	data, err = cbor.Marshal([]bucket{claims})
	if err != nil {
		return nil, false, kind.Wrap(err, kind.Internal, "claims cannot be encoded")
	}
	return data, true, nil
}

// decodeBucket decodes a bucket: a map of claims, or an array that contains this map if the bucket is split.
func decodeBucket(data []byte) (storedBucket, error) {
	if len(data) > 0 && data[0]>>majorTypeShift == majorTypeArray {
		var list []bucket
		if err := cbor.Unmarshal(data, &list); err != nil || len(list) != 1 {
			return storedBucket{}, kind.New(kind.Internal, "a split bucket of claims cannot be decoded")
		}
		return storedBucket{claims: list[0], split: true}, nil
	}
	p := storedBucket{claims: bucket{}}
	if err := cbor.Unmarshal(data, &p.claims); err != nil {
		return storedBucket{}, kind.Wrap(err, kind.Internal, "claims cannot be decoded")
	}
	return p, nil
}

// The major type of a CBOR item is in the upper bits of its first byte.
const (
	majorTypeShift = 5
	majorTypeArray = 4
)
