package repository

import (
	"context"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/key"
)

const (
	shardDigits      = 2 // leading hex digits of a key's id that select its shard: 256 shards
	maxShardAttempts = 8 // attempts at a change that conflicts with changes of other keys in the shard
)

func shardKey(id string) (string, error) {
	if len(id) <= shardDigits {
		return "", kind.New(kind.Missing, "no key has the id %q", id)
	}
	return ShardPrefix + id[:shardDigits], nil
}

// Issue creates a key for a customer. Only Issue returns the key in clear text. When the outcome is not known, the
// error is of kind OutcomeUnknown and the record holds the id of the key, by which Key reports whether it exists.
func (repo *Repository) Issue(ctx context.Context, customer string) (clear string, rec key.Record, err error) {
	clear, rec = key.Generate()
	rec = rec.IssueTo(customer, repo.now())
	rec, err = repo.changeKey(ctx, rec.ID(), func(key.Record, bool) (key.Record, error) { return rec, nil })
	return clear, rec, err
}

// Withdraw withdraws the key with the given id. The error is of kind Missing when no key has the id.
func (repo *Repository) Withdraw(ctx context.Context, id string) (key.Record, error) {
	return repo.changeKey(ctx, id, func(old key.Record, ok bool) (key.Record, error) {
		if !ok {
			return old, kind.New(kind.Missing, "no key has the id %q", id)
		}
		return old.Withdraw(repo.now()), nil
	})
}

// changeKey changes the record of one key in its shard. It retries up to maxShardAttempts times when the change conflicts
// with another change of the shard.
func (repo *Repository) changeKey(ctx context.Context, id string, change func(old key.Record, ok bool) (key.Record, error)) (key.Record, error) {
	var (
		rec key.Record
		err error
	)
	for range maxShardAttempts {
		var shard shard
		if shard, err = repo.readShard(ctx, id); err != nil {
			return rec, err
		}
		old, ok := shard.find(id)
		if rec, err = change(old, ok); err != nil {
			return rec, err
		}
		if ok && old == rec {
			return rec, nil
		}
		err = repo.store.Swap(ctx, shard.key, shard.with(rec), shard.valueRevision)
		if isKind(err, kind.OutcomeUnknown) {
			err = repo.resolveKey(ctx, rec, shard, err)
		}
		if !isKind(err, kind.Conflict) {
			return rec, err
		}
	}
	return rec, kind.Wrap(err, kind.Store, "the shard of key %s changes too often; the key was not changed", id)
}

// resolveKey determines the outcome of a write of rec that failed with cause. It returns nil when the write took effect,
// an error of kind Conflict when it did not and the shard has changed, or else an error of kind OutcomeUnknown.
func (repo *Repository) resolveKey(ctx context.Context, rec key.Record, before shard, cause error) error {
	now, err := repo.readShard(ctx, rec.ID())
	if err != nil {
		return unknownKey(rec, cause)
	}
	if found, ok := now.find(rec.ID()); ok && found.Hash() == rec.Hash() && found.Version() >= rec.Version() {
		return nil
	}
	if now.valueRevision != before.valueRevision {
		return kind.New(kind.Conflict, "the shard changed")
	}
	return unknownKey(rec, cause)
}

func unknownKey(rec key.Record, cause error) error {
	return kind.Wrap(cause, kind.OutcomeUnknown, "the outcome for key %s is not known; ask for the key by that id", rec.ID())
}

// Key returns the record of a key from the store. The error is of kind Missing when there is none.
func (repo *Repository) Key(ctx context.Context, id string) (key.Record, error) {
	shard, err := repo.readShard(ctx, id)
	if err != nil {
		return key.Record{}, err
	}
	rec, ok := shard.find(id)
	if !ok {
		return key.Record{}, kind.New(kind.Missing, "no key has the id %q", id)
	}
	return rec, nil
}

// Keys returns the records of all keys.
func (repo *Repository) Keys(ctx context.Context) ([]key.Record, error) {
	entries, err := repo.store.List(ctx, ShardPrefix)
	if err != nil {
		return nil, err
	}
	var all []key.Record
	for _, e := range entries {
		records, err := DecodeShard(e.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// shard is a stored list of key records, sorted by id.
type shard struct {
	key           string
	records       []key.Record
	valueRevision uint64
}

func (repo *Repository) readShard(ctx context.Context, id string) (shard, error) {
	name, err := shardKey(id)
	if err != nil {
		return shard{}, err
	}
	e, err := repo.store.Get(ctx, name)
	if isKind(err, kind.Missing) {
		return shard{key: name}, nil
	}
	if err != nil {
		return shard{}, err
	}
	records, err := DecodeShard(e.Value)
	return shard{key: name, records: records, valueRevision: e.Revision}, err
}

func (s shard) search(id string) (int, bool) {
	return slices.BinarySearchFunc(s.records, id, func(r key.Record, id string) int { return strings.Compare(r.ID(), id) })
}

func (s shard) find(id string) (key.Record, bool) {
	i, ok := s.search(id)
	if !ok {
		return key.Record{}, false
	}
	return s.records[i], true
}

// with returns the encoded shard with rec added, or in place of the record with the same id.
func (s shard) with(rec key.Record) []byte {
	records := slices.Clone(s.records)
	i, ok := s.search(rec.ID())
	if ok {
		records[i] = rec
	} else {
		records = slices.Insert(records, i, rec)
	}
	raw := make([]cbor.RawMessage, len(records))
	for i, r := range records {
		raw[i] = r.Encode()
	}
	return encode(raw)
}

// DecodeShard decodes the key records of a value under ShardPrefix.
func DecodeShard(value []byte) ([]key.Record, error) {
	var raw []cbor.RawMessage
	if err := cbor.Unmarshal(value, &raw); err != nil {
		return nil, kind.Wrap(err, kind.Peer, "a shard of keys cannot be read")
	}
	records := make([]key.Record, len(raw))
	for i, b := range raw {
		var err error
		if records[i], err = key.Decode(b); err != nil {
			return nil, err
		}
	}
	return records, nil
}
