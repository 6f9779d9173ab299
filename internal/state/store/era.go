package store

import (
	"context"
	"maps"
	"sync"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
)

// A service that comes back from an older copy of its data starts a new era: it gives out revisions and lease ids again,
// for other content. Above eraBackend revisions contain the era in their high bits, so that those of different eras are never
// equal and a later era is always greater. Lease ids, which may be any number, are replaced by handles.
const eraShift = 44

// inEra returns a revision of the service as it is used above eraBackend.
func inEra(era, n uint64) uint64 { return era<<eraShift | n }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// splitEra undoes inEra.
func splitEra(n uint64) (era, local uint64) { return n >> eraShift, n & (1<<eraShift - 1) }

// maxEra is the highest era that revisions can contain and still be read as signed integers.
const maxEra = 1<<(63-eraShift) - 1

type answerEraKey struct{}

// answerEra collects the eras that the answers to one call named.
type answerEra struct {
	mu    sync.Mutex
	era   uint64
	known bool
	mixed bool // the answers to one call came from different eras
}

// RecordEra is called by a Backend for each answer of the service, with the context of the call and the era that the answer
// names. A Backend whose service has no eras never calls it. An era that is out of range is ignored.
func RecordEra(ctx context.Context, era uint64) {
	a, ok := ctx.Value(answerEraKey{}).(*answerEra)
	if !ok || era > maxEra {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mixed = a.mixed || a.known && a.era != era
	a.era, a.known = max(a.era, era), true
}

// CollectEra returns a context for calls of a Backend, and a function that returns the era that the answers named, for
// stand-ins that pass the calls on.
func CollectEra(ctx context.Context) (context.Context, func() (era uint64, known bool)) {
	var a answerEra
	return context.WithValue(ctx, answerEraKey{}, &a), func() (uint64, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.era, a.known
	}
}

// eraBackend makes the calls of a Backend and puts the era into revisions and lease ids. It refuses answers of an earlier
// era, and calls with numbers of another era.
type eraBackend struct {
	raw   Backend
	clock clock.Clock
	// onChange is called when a later era than before, or the first one above 0, was seen, before any answer of it is returned. It
	// must not call the eraBackend. The last answer of the era before came at the boot time until.
	onChange func(era uint64, first bool, until time.Duration)

	mu    sync.Mutex
	era   uint64
	known bool
	since time.Duration // boot time at which the era was first seen
	until time.Duration // boot time of the last answer of the era

	lastHandle uint64
	leases     map[uint64]grantedLease // by handle
}

// grantedLease is a lease as the service knows it.
type grantedLease struct {
	id, era uint64
}

// backend returns the Backend that a Client uses.
func (b *eraBackend) backend() Backend {
	return Backend{
		Get: b.get, Put: b.put, Delete: b.remove, List: b.list, Watch: b.watch,
		Grant: b.grant, Renew: b.renew, Revoke: b.revoke,
	}
}

// current returns the latest era that was seen, and when it was seen first.
func (b *eraBackend) current() (era uint64, since time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.era, b.since
}

// observe records the era of an answer and reports whether the answer is of an earlier era.
func (b *eraBackend) observe(era uint64) (stale bool) {
	b.mu.Lock()
	before, known, until, now := b.era, b.known, b.until, b.clock.Boot()
	if !known || era > before {
		b.era, b.known, b.since = era, true, now
	}
	if era >= before {
		b.until = now
	}
	if era > before {
		b.onChange(era, !known, until)
	}
	b.mu.Unlock()
	return known && era < before
}

// call makes one call and returns the era of its answer. Without an answer, or if the answer is of an earlier era, the error
// says that the outcome is unknown.
func call[T any](ctx context.Context, b *eraBackend, fn func(ctx context.Context) (T, error)) (T, uint64, error) {
	var a answerEra
	out, err := fn(context.WithValue(ctx, answerEraKey{}, &a))
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		era, _ := b.current()
		return out, era, err
	}
	var zero T
	switch {
	case b.observe(a.era):
		return zero, a.era, kind.New(kind.OutcomeUnknown, "the answer is of era %d, before a restore of the store", a.era)
	case a.mixed:
		return zero, a.era, kind.New(kind.OutcomeUnknown, "the store was restored to era %d during the call", a.era)
	}
	return out, a.era, err
}

func (b *eraBackend) get(ctx context.Context, key string) (Entry, error) {
	e, era, err := call(ctx, b, func(ctx context.Context) (Entry, error) { return b.raw.Get(ctx, key) })
	e.revision = inEra(era, e.revision)
	return e, err
}

// localCondition returns a condition as the service knows it, and the era that the condition is bound to. The error has kind
// Conflict if that era is over.
func (b *eraBackend) localCondition(c Condition) (local Condition, err error) {
	if c.mode != ModeAt {
		return c, nil
	}
	era, revision := splitEra(c.revision)
	if current, _ := b.current(); era != current {
		return c, restoredError(kind.Conflict, current)
	}
	return At(revision), nil
}

// localLease returns the lease of a handle, the zero value for handle 0. The error has kind Missing if the lease is of another
// era.
func (b *eraBackend) localLease(handle uint64) (grantedLease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if handle == 0 {
		return grantedLease{era: b.era}, nil
	}
	l, ok := b.leases[handle]
	if !ok || l.era != b.era {
		return grantedLease{}, restoredError(kind.Missing, b.era)
	}
	return l, nil
}

// addLease returns the handle of a new lease. Leases of earlier eras are forgotten.
func (b *eraBackend) addLease(l grantedLease) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leases == nil {
		b.leases = map[uint64]grantedLease{}
	}
	maps.DeleteFunc(b.leases, func(_ uint64, old grantedLease) bool { return old.era < b.era })
	b.lastHandle++
	b.leases[b.lastHandle] = l
	return b.lastHandle
}

// dropLease forgets a lease that has ended.
func (b *eraBackend) dropLease(handle uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.leases, handle)
}

func restoredError(k kind.Kind, era uint64) error {
	return kind.New(k, "the store was restored and is in era %d", era)
}

func (b *eraBackend) put(ctx context.Context, w Write) (uint64, error) {
	cond, handle := w.Cond, w.Lease
	var err error
	if w.Cond, err = b.localCondition(w.Cond); err != nil {
		return 0, err
	}
	lease, err := b.localLease(handle)
	if err != nil {
		return 0, err
	}
	w.Lease = lease.id
	rev, era, err := call(ctx, b, func(ctx context.Context) (uint64, error) { return b.raw.Put(ctx, w) })
	if err != nil {
		return 0, err
	}
	// The service may have taken a number of the earlier era for one of its own.
	if handle != 0 && lease.era != era {
		return 0, restoredError(kind.Missing, era)
	}
	if of, _ := splitEra(cond.revision); cond.mode == ModeAt && of != era {
		return 0, restoredError(kind.Conflict, era)
	}
	return inEra(era, rev), nil
}

func (b *eraBackend) remove(ctx context.Context, key string, cond Condition) error {
	local, err := b.localCondition(cond)
	if err != nil {
		return err
	}
	_, era, err := call(ctx, b, func(ctx context.Context) (struct{}, error) { return struct{}{}, b.raw.Delete(ctx, key, local) })
	if of, _ := splitEra(cond.revision); err == nil && cond.mode == ModeAt && of != era {
		return restoredError(kind.Conflict, era)
	}
	return err
}

// listing is the result of Backend.List.
type listing struct {
	entries  []Entry
	revision uint64
}

func (b *eraBackend) list(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	l, era, err := call(ctx, b, func(ctx context.Context) (l listing, err error) {
		l.entries, l.revision, err = b.raw.List(ctx, prefix)
		return l, err
	})
	if err != nil {
		return nil, 0, err
	}
	out := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		e.revision = inEra(era, e.revision)
		out[i] = e
	}
	return out, inEra(era, l.revision), nil
}

// watch returns an error of kind Missing if the events after the revision are those of an earlier era.
func (b *eraBackend) watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	of, local := splitEra(after)
	if current, _ := b.current(); of != current {
		return nil, 0, restoredError(kind.Missing, current)
	}
	type batch struct {
		events   []Event
		revision uint64
	}
	got, era, err := call(ctx, b, func(ctx context.Context) (got batch, err error) {
		got.events, got.revision, err = b.raw.Watch(ctx, prefix, local)
		return got, err
	})
	if err != nil {
		return nil, 0, err
	}
	if of != era {
		return nil, 0, restoredError(kind.Missing, era)
	}
	out := make([]Event, len(got.events))
	for i, e := range got.events {
		e.entry.revision = inEra(era, e.entry.revision)
		out[i] = e
	}
	return out, inEra(era, got.revision), nil
}

func (b *eraBackend) grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	id, era, err := call(ctx, b, func(ctx context.Context) (uint64, error) { return b.raw.Grant(ctx, ttl) })
	if err != nil {
		return 0, err
	}
	return b.addLease(grantedLease{id, era}), nil
}

// renew returns an error of kind Missing if the lease is of an earlier era, whatever the service says of its number.
func (b *eraBackend) renew(ctx context.Context, handle uint64) error {
	return b.withLease(ctx, handle, b.raw.Renew)
}

func (b *eraBackend) revoke(ctx context.Context, handle uint64) error {
	err := b.withLease(ctx, handle, b.raw.Revoke)
	if err == nil {
		b.dropLease(handle)
	}
	return err
}

func (b *eraBackend) withLease(ctx context.Context, handle uint64, fn func(ctx context.Context, lease uint64) error) error {
	lease, err := b.localLease(handle)
	if err != nil {
		return err
	}
	_, era, err := call(ctx, b, func(ctx context.Context) (struct{}, error) { return struct{}{}, fn(ctx, lease.id) })
	if err == nil && lease.era != era {
		return restoredError(kind.Missing, era)
	}
	if kind.Of(err) == kind.Missing {
		b.dropLease(handle)
	}
	return err
}
