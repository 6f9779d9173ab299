package provision

import (
	"context"
	_ "embed" // for intent.json, the state chart of intents
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/statechart"
	"hickorypath/internal/state/store"
)

//go:embed intent.json
var chartFile []byte

var states = statechart.Must(chartFile)

// Prefix is the prefix of the store's keys that hold intents; the name of the pool follows, with one key for each pool.
const Prefix = "order/"

// intent is the last order of a pool with its state. It is stored before the order is sent, so that a new holder of
// the pool's lease can find out whether the platform accepted the order.
type intent struct {
	Seq   uint64 `cbor:"q"`
	Fence uint64 `cbor:"f"`
	State string `cbor:"s"`
	Order Order  `cbor:"o"`
}

// id returns the identifier of the order. No two orders of a pool share a sequence number, because the intent is
// written by compare-and-swap.
func (i intent) id() string { return fmt.Sprintf("%s-%d", i.Order.Pool, i.Seq) }

// isOpen reports whether the outcome of the order is not known yet.
func (i intent) isOpen() bool { return i.Seq != 0 && !states.IsFinal(i.State) }

// request returns the request that sends the order under a fencing token.
func (i intent) request(fence uint64) OrderRequest {
	return OrderRequest{ID: i.id(), Fence: fence, Order: i.Order}
}

// readIntent returns the last intent of a pool and the revision of its key, both zero before the first order.
func readIntent(ctx context.Context, c *store.Client, pool string) (intent, uint64, error) {
	e, err := c.Get(ctx, Prefix+pool)
	if kind.Of(err) == kind.Missing {
		return intent{}, 0, nil
	}
	if err != nil {
		return intent{}, 0, err
	}
	var i intent
	if err := cbor.Unmarshal(e.Value(), &i); err != nil {
		return intent{}, 0, kind.Wrap(err, kind.Internal, "cannot decode the intent of pool %s", pool)
	}
	return i, e.Revision(), nil
}

// writeIntent stores an intent if its key is still at revision, and returns the new revision. A conflict means that
// another host has got the pool's lease and written an intent; the error then has kind Lapsed.
func writeIntent(ctx context.Context, c *store.Client, i intent, revision uint64) (uint64, error) {
	data, err := cbor.Marshal(i)
	if err != nil {
		return 0, kind.Wrap(err, kind.Internal, "cannot encode the intent")
	}
	cond := store.Absent()
	if revision != 0 {
		cond = store.At(revision)
	}
	next, err := c.Put(ctx, Prefix+i.Order.Pool, data, cond)
	if kind.Of(err) == kind.Conflict {
		return 0, kind.Wrap(err, kind.LeaseNotHeld, "another host holds the lease of pool %s", i.Order.Pool)
	}
	return next, err
}
