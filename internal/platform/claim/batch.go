package claim

import (
	"context"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/store"
)

// op is one change of a bucket. Its function may run several times, on fresh copies, and tells whether
// it changed the bucket.
type op struct {
	apply func(bucket) (bool, error)
	err   error // of the last application
	done  chan error
}

// do runs a change together with others of the same bucket and waits until it is stored.
func (b *Book) do(ctx context.Context, id string, apply func(bucket) (bool, error)) error {
	o := &op{apply: apply, done: make(chan error, 1)}
	key := bucketKey(id, b.opts.Buckets)
	b.mu.Lock()
	first := len(b.waiting[key]) == 0
	b.waiting[key] = append(b.waiting[key], o)
	b.mu.Unlock()
	if first {
		go b.gather(context.WithoutCancel(ctx), key)
	}
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return kind.Wrap(ctx.Err(), kind.Store, "claims were not stored in time")
	}
}

// gather waits for more changes of a bucket, then stores them all.
func (b *Book) gather(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, b.opts.Whole)
	defer cancel()
	time.Sleep(b.opts.Batch)
	b.mu.Lock()
	ops := b.waiting[key]
	delete(b.waiting, key)
	b.mu.Unlock()
	err := b.store(ctx, key, ops)
	for _, o := range ops {
		if err == nil {
			o.done <- o.err
			continue
		}
		o.done <- err
	}
}

// store applies changes to a bucket until they are stored by compare-and-swap. After an unclear
// outcome they are applied anew; each recognises what it had done before.
func (b *Book) store(ctx context.Context, key string, ops []*op) error {
	for {
		again, err := b.storeOnce(ctx, key, ops)
		if !again {
			return err
		}
		if ctx.Err() != nil {
			return kind.Wrap(err, kind.Store, "claims were not stored in time")
		}
	}
}

// storeOnce reports whether another try may succeed.
func (b *Book) storeOnce(ctx context.Context, key string, ops []*op) (again bool, err error) {
	all, cond, err := b.read(ctx, key)
	if err != nil {
		return false, err
	}
	var apart []string
	if !b.jumped() {
		apart = all.expire(b.clock.Now())
	}
	changed := false
	for _, o := range ops {
		var c bool
		c, o.err = o.apply(all)
		changed = changed || c
	}
	if !changed {
		return false, nil
	}
	data, err := all.encode()
	if err != nil {
		return false, err
	}
	_, err = b.client.Put(ctx, key, data, cond)
	switch kind.Of(err) {
	case "":
		b.removeBodies(ctx, apart)
		return false, nil
	case kind.Conflict, kind.Unknown:
		return true, err
	default:
		return false, err
	}
}

func (b *Book) read(ctx context.Context, key string) (bucket, store.Condition, error) {
	e, err := b.client.Get(ctx, key)
	if kind.Of(err) == kind.Missing {
		return bucket{}, store.Absent(), nil
	}
	if err != nil {
		return nil, store.Condition{}, err
	}
	all, err := decode(e.Value())
	return all, store.At(e.Revision()), err
}

// removeBodies deletes the bodies of expired outcomes; one that stays is only wasted room.
func (b *Book) removeBodies(ctx context.Context, ids []string) {
	for _, id := range ids {
		_ = b.client.Delete(ctx, bodyPrefix+id, store.Any())
	}
}
