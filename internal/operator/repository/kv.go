package repository

import (
	"context"
	"strings"

	"hickorypath/internal/state/store"
)

// NewKV returns a KV over a client of the platform's key-value service. Each call is charged to the budget for documents
// or for keys, according to the key in the store.
func NewKV(c *store.Client) KV {
	documents, keys := c.For(store.UseDocument), c.For(store.UseKey)
	return newKV(func(key string) *store.Client {
		if strings.HasPrefix(key, ShardPrefix) {
			return keys
		}
		return documents
	})
}

// NewRecoveryKV returns a KV for what is written again after a restore of the service, before other writes go on.
func NewRecoveryKV(c *store.Client) KV {
	c = c.For(store.UseRecovery)
	return newKV(func(string) *store.Client { return c })
}

// newKV returns a KV that calls the service through the client that pick returns for a key.
func newKV(pick func(key string) *store.Client) KV {
	return KV{
		Get: func(ctx context.Context, key string) (Entry, error) {
			e, err := pick(key).Get(ctx, key)
			return newEntry(e), err
		},
		Put: func(ctx context.Context, key string, value []byte) error {
			_, err := pick(key).Put(ctx, key, value, store.Any())
			return err
		},
		Swap: func(ctx context.Context, key string, value []byte, revision uint64) error {
			_, err := pick(key).Put(ctx, key, value, conditionAt(revision))
			return err
		},
		Delete: func(ctx context.Context, key string, revision uint64) error {
			return pick(key).Delete(ctx, key, store.At(revision))
		},
		List: func(ctx context.Context, prefix string) ([]Entry, error) {
			list, _, err := pick(prefix).List(ctx, prefix)
			entries := make([]Entry, len(list))
			for i, e := range list {
				entries[i] = newEntry(e)
			}
			return entries, err
		},
	}
}

func newEntry(e store.Entry) Entry {
	return Entry{Key: e.Key(), Value: e.Value(), Revision: e.Revision()}
}

// conditionAt returns the condition of a compare-and-swap at a revision. Revision 0 requires that the key is absent.
func conditionAt(revision uint64) store.Condition {
	if revision == 0 {
		return store.Absent()
	}
	return store.At(revision)
}
