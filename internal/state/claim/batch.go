package claim

import (
	"context"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// bucketChange is a change to one claim of a bucket. apply may run several times, on fresh copies of the
// bucket, and reports whether it changed the bucket.
type bucketChange struct {
	claimID string
	apply   func(bucket) (bool, error)
	err     error // of the last call of apply
	done    chan error
}

// update applies a change together with other changes of the same bucket and waits until the result is stored.
func (r *Registry) update(ctx context.Context, id string, apply func(bucket) (bool, error)) error {
	o := &bucketChange{claimID: id, apply: apply, done: make(chan error, 1)}
	key := r.leafKey(id)
	r.mu.Lock()
	first := len(r.pending[key]) == 0
	r.pending[key] = append(r.pending[key], o)
	r.mu.Unlock()
	if first {
		go r.storeAfterDelay(context.WithoutCancel(ctx), key)
	}
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return kind.Wrap(ctx.Err(), kind.Store, "claims were not stored in time")
	}
}

// storeAfterDelay waits for further changes of a bucket and then stores all of them.
func (r *Registry) storeAfterDelay(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	time.Sleep(r.opts.BatchDelay)
	r.mu.Lock()
	ops := r.pending[key]
	delete(r.pending, key)
	r.mu.Unlock()
	r.storeChanges(ctx, key, ops)
}

// storeChanges applies changes to a bucket, or to its children if the bucket is split, and sends each change
// its result.
func (r *Registry) storeChanges(ctx context.Context, key string, ops []*bucketChange) {
	split, err := r.storeInBucket(ctx, key, ops)
	if !split {
		reportResults(ops, err)
		return
	}
	r.rememberSplit(key)
	for child, group := range lo.GroupBy(ops, func(o *bucketChange) string { return childKey(key, o.claimID) }) {
		r.storeChanges(ctx, child, group)
	}
}

// reportResults sends err to all changes. If err is nil, each change gets its own error.
func reportResults(ops []*bucketChange, err error) {
	for _, o := range ops {
		if err == nil {
			o.done <- o.err
			continue
		}
		o.done <- err
	}
}

// storeInBucket applies changes to a bucket and stores it by compare-and-swap, and retries after a conflict.
// It also retries when the outcome of the write is unknown; each change then recognizes what it has already
// done. A split bucket is not changed; storeInBucket then returns true.
func (r *Registry) storeInBucket(ctx context.Context, key string, ops []*bucketChange) (split bool, err error) {
	for {
		p, err := r.readBucket(ctx, key)
		if err != nil || p.split {
			return p.split, err
		}
		again, err := r.tryStore(ctx, key, p, ops)
		if !again {
			return false, err
		}
		if ctx.Err() != nil {
			return false, kind.Wrap(err, kind.Store, "claims were not stored in time")
		}
	}
}

// tryStore applies changes to a bucket and writes it once. It reports whether a retry may succeed.
func (r *Registry) tryStore(ctx context.Context, key string, p storedBucket, ops []*bucketChange) (again bool, err error) {
	var separate []string
	if !r.clockJumped() {
		separate = p.claims.expire(r.clock.Now())
	}
	changed := false
	for _, o := range ops {
		var c bool
		c, o.err = o.apply(p.claims)
		changed = changed || c
	}
	if !changed {
		return false, nil
	}
	data, split, err := r.encodeBucket(key, p.claims)
	if err != nil {
		return false, err
	}
	_, err = r.client.Put(ctx, key, data, p.condition)
	switch kind.Of(err) {
	case "":
		r.removeBodies(ctx, separate)
		if split {
			r.rememberSplit(key)
		}
		return false, nil
	case kind.Conflict, kind.OutcomeUnknown:
		return true, err
	default:
		return false, err
	}
}

// removeBodies deletes the bodies of expired outcomes. Errors are ignored, since a body that stays only wastes
// space.
func (r *Registry) removeBodies(ctx context.Context, ids []string) {
	for _, id := range ids {
		_ = r.client.Delete(ctx, bodyPrefix+id, store.Any())
	}
}
