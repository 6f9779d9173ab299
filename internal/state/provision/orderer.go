package provision

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
)

// OrdererOptions are the settings of an Orderer; a zero timeout gets the default.
type OrdererOptions struct {
	Timeout time.Duration // time limit of one request to the platform
	Log     *zap.Logger
}

const (
	defaultTimeout = 3 * time.Second
	// sendAttempts bounds how often an order is sent under its id while it gets no response.
	sendAttempts = 3
)

// Orderer sends the orders of one pool to the platform while this host holds the pool's lease.
type Orderer struct {
	client  *store.Client
	lease   *lease.Lease
	backend Backend
	opts    OrdererOptions
	backoff *zoneBackoff
	mutex   chan struct{} // of capacity one, held while an order runs; unlike a sync.Mutex, waiting for it ends with a context
}

// NewOrderer returns an Orderer that stores intents through client and sends orders to b under the lease l.
func NewOrderer(client *store.Client, c clock.Clock, l *lease.Lease, b Backend, o OrdererOptions) *Orderer {
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Orderer{
		client:  client.For(store.UseOrder),
		lease:   l,
		backend: b,
		opts:    o,
		backoff: newZoneBackoff(c),
		mutex:   make(chan struct{}, 1),
	}
}

// Order stores the intent of an order, sends the order and stores its outcome. It returns the id of the order.
//
// The error has kind LeaseNotHeld when this host does not hold the lease, Unavailable or Refused when the platform does
// not accept the order, RateLimit when the platform accepts no orders for now, and OutcomeUnknown when the outcome of
// the order is still open. The next call of Order first finds out the outcome of an open order.
func (o *Orderer) Order(ctx context.Context, want Order) (string, error) {
	select {
	case o.mutex <- struct{}{}:
		defer func() { <-o.mutex }()
	case <-ctx.Done():
		return "", kind.Wrap(ctx.Err(), kind.Canceled, "canceled while waiting for another order of the pool")
	}
	token, err := o.lease.Token(o.opts.Timeout)
	if err != nil {
		return "", err
	}
	if err := o.backoff.check(want); err != nil {
		return "", err
	}
	last, revision, err := readIntent(ctx, o.client, want.Pool)
	if err != nil {
		return "", err
	}
	if last.isOpen() {
		if last, revision, err = o.resolve(ctx, token, last, revision); err != nil {
			return "", err
		}
	}
	next := intent{Seq: last.Seq + 1, Fence: token.FencingToken(), State: states.Start().State(), Order: want}
	if revision, err = writeIntent(ctx, o.client, next, revision); err != nil {
		return "", err
	}
	_, _, err = o.sendAndRecord(ctx, token, next, revision)
	return next.id(), err
}

// resolve finds out the outcome of an open intent. If the platform does not know the order, what happens depends on who
// stored the intent. An intent of an earlier holder of the lease is abandoned: the validity of that holder's lease and
// its time to send the order are over. An intent of this host is sent again.
func (o *Orderer) resolve(ctx context.Context, t lease.Token, i intent, revision uint64) (intent, uint64, error) {
	known, err := o.find(ctx, i.id())
	if err != nil {
		return i, revision, kind.Wrap(err, kind.OutcomeUnknown, "outcome of order %s not known", i.id())
	}
	if known {
		return o.recordOutcome(ctx, i, revision, "accept")
	}
	if i.Fence != t.FencingToken() {
		return o.recordOutcome(ctx, i, revision, "abandon")
	}
	i, revision, err = o.sendAndRecord(ctx, t, i, revision)
	if i.isOpen() {
		return i, revision, err
	}
	return i, revision, nil
}

// sendAndRecord sends an order and stores the outcome, unless the outcome stays unknown.
func (o *Orderer) sendAndRecord(ctx context.Context, t lease.Token, i intent, revision uint64) (intent, uint64, error) {
	err := o.send(ctx, t, i)
	event := "refuse"
	switch kind.Of(err) {
	case "":
		event = "accept"
	case kind.LeaseNotHeld, kind.OutcomeUnknown:
		return i, revision, err
	}
	o.backoff.record(i.Order, err)
	i, revision, e := o.recordOutcome(ctx, i, revision, event)
	if err == nil {
		err = e
	}
	return i, revision, err
}

// send sends an order, and sends it again under the same id when there was no response.
func (o *Orderer) send(ctx context.Context, t lease.Token, i intent) error {
	check := func() error { return t.Valid(o.opts.Timeout) }
	sent := false
	for range sendAttempts {
		if err := t.Confirm(ctx); err != nil && sent {
			break
		} else if err != nil {
			return err
		}
		err := o.sendOnce(ctx, i.request(t.FencingToken()), check)
		if err == nil {
			return nil
		}
		if kind.Of(err) != kind.Lost && sent {
			break // an earlier copy may still have been accepted
		}
		if kind.Of(err) != kind.Lost {
			return err
		}
		sent = true
		if known, e := o.find(ctx, i.id()); e == nil && known {
			return nil
		}
	}
	return kind.New(kind.OutcomeUnknown, "no response to order %s", i.id())
}

func (o *Orderer) sendOnce(ctx context.Context, c OrderRequest, check func() error) error {
	if err := check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	return o.backend.Order(ctx, c, check)
}

func (o *Orderer) find(ctx context.Context, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.opts.Timeout)
	defer cancel()
	return o.backend.Find(ctx, id)
}

// recordOutcome stores the state of an intent after an event of its state chart.
func (o *Orderer) recordOutcome(ctx context.Context, i intent, revision uint64, event string) (intent, uint64, error) {
	state, err := states.Next(i.State, event)
	if err != nil {
		return i, revision, err
	}
	i.State = state
	o.opts.Log.Info("order", zap.String("id", i.id()), zap.String("state", state))
	revision, err = writeIntent(ctx, o.client, i, revision)
	return i, revision, err
}
