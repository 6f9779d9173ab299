package provision

import (
	"context"
	_ "embed" // the state chart
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/chart"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/lease"
	"hickorypath/internal/platform/store"
)

//go:embed intent.json
var chartFile []byte

var intents = chart.Must(chartFile)

// Prefix is where the intents live in the store, below it by pool.
const Prefix = "intent/"

const (
	defaultTimeout = 5 * time.Second
	maxSteps       = 8 // of one order through its chart
)

// Options are the settings of an Orderer.
type Options struct {
	Pool    string
	Timeout time.Duration // of one sending of an order
	Log     *zap.Logger
}

// Orderer gives the orders of one pool, while its lease is held. It is safe for concurrent use and
// gives one order at a time.
type Orderer struct {
	client  *store.Client
	lease   *lease.Lease
	backend Backend
	options Options

	mu       sync.Mutex
	resolved uint64 // fence under which all open intents were resolved, 0 when some are open
	fence    uint64 // of the orders counted
	count    int
}

// New returns an Orderer.
func New(client *store.Client, l *lease.Lease, b Backend, o Options) *Orderer {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Orderer{client: client.For(store.UseOrder), lease: l, backend: b, options: o}
}

// Order carries out one order. ID and Fence are set here. The error has kind Lapsed when the lease is
// not held, Refused when the platform declined, and Unknown when the outcome stays open; the
// intent then stays, and is resolved before the next order.
func (r *Orderer) Order(ctx context.Context, o Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	token, err := r.lease.Hold(r.options.Timeout)
	if err != nil {
		return err
	}
	if err := r.resolve(ctx, token); err != nil {
		return err
	}
	r.count++
	o.Pool, o.Fence = r.options.Pool, token.Fence()
	o.ID = fmt.Sprintf("%s-%d-%d", o.Pool, o.Fence, r.count)
	return r.run(ctx, token, o, intents.Start())
}

// run moves an intent through its chart until the order has ended or must stay open.
func (r *Orderer) run(ctx context.Context, token lease.Token, o Order, m *chart.Machine) error {
	var failed error
	for range maxSteps {
		event, err := r.step(ctx, token, o, m.State())
		if err != nil {
			failed = err
		}
		if fire := m.Fire(event); fire != nil {
			return fire
		}
		switch {
		case m.State() == "done":
			return nil
		case m.IsFinal():
			return failed
		case event == "lapse":
			return r.leaveOpen(o, failed)
		}
	}
	return r.leaveOpen(o, failed)
}

// leaveOpen makes the next order resolve the intent first.
func (r *Orderer) leaveOpen(o Order, cause error) error {
	r.resolved = 0
	if kind.Of(cause) == kind.Lapsed {
		return cause
	}
	return kind.Wrap(cause, kind.Unknown, "order %s stays open", o.ID)
}

// step does what the state of an intent asks for and returns the event that follows.
func (r *Orderer) step(ctx context.Context, token lease.Token, o Order, state string) (event string, err error) {
	switch state {
	case "planned":
		return r.plan(ctx, o)
	case "stored":
		return r.send(ctx, token, o)
	default:
		return r.look(ctx, o)
	}
}

// plan stores the intent. One whose outcome is not known counts as stored, since a stored intent
// without an order is harmless.
func (r *Orderer) plan(ctx context.Context, o Order) (string, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return "fail", kind.Wrap(err, kind.Internal, "order cannot be encoded")
	}
	if _, err := r.client.Put(ctx, r.key(o.ID), data, store.Absent()); err != nil {
		return "fail", err
	}
	return "store", nil
}

func (r *Orderer) send(ctx context.Context, token lease.Token, o Order) (string, error) {
	check := func() error { return token.Valid(r.options.Timeout) }
	if err := check(); err != nil {
		return "lapse", err
	}
	err := r.backend.Order(ctx, o, check)
	switch kind.Of(err) {
	case "":
		r.drop(ctx, o)
		return "accept", nil
	case kind.Refused, kind.Fenced:
		r.drop(ctx, o)
		return "refuse", err
	case kind.Unavailable:
		r.drop(ctx, o)
		return "refuse", kind.Wrap(err, kind.Refused, "the platform cannot be reached")
	case kind.Lapsed:
		return "lapse", err
	}
	return "lose", err
}

// look asks the platform what became of an order whose answer was lost.
func (r *Orderer) look(ctx context.Context, o Order) (string, error) {
	known, err := r.backend.Known(ctx, o.ID)
	switch {
	case err != nil:
		return "lapse", err
	case known:
		r.drop(ctx, o)
		return "find", nil
	}
	return "miss", nil
}

// resolve settles the intents that earlier holders, or this one, left open.
func (r *Orderer) resolve(ctx context.Context, token lease.Token) error {
	if r.resolved == token.Fence() {
		return nil
	}
	open, _, err := r.client.List(ctx, Prefix+r.options.Pool+"/")
	if err != nil {
		return err
	}
	for _, e := range open {
		if err := r.resolveOne(ctx, token, e); err != nil {
			return err
		}
	}
	if r.fence != token.Fence() {
		r.fence, r.count = token.Fence(), 0
	}
	r.resolved = token.Fence()
	return nil
}

// resolveOne settles one intent. The lease has settled, so no order of an earlier holder can still
// arrive: one that the platform does not know was never taken. An order of this holder may still be on
// its way, so it is sent again under its id.
func (r *Orderer) resolveOne(ctx context.Context, token lease.Token, e store.Entry) error {
	var o Order
	if err := json.Unmarshal(e.Value(), &o); err != nil {
		r.options.Log.Error("intent cannot be read", zap.String("key", e.Key()), zap.Error(err))
		return nil
	}
	if o.Fence == token.Fence() {
		err := r.run(ctx, token, o, r.opened())
		if kind.Of(err) == kind.Refused {
			return nil
		}
		return err
	}
	known, err := r.backend.Known(ctx, o.ID)
	if err != nil {
		return err
	}
	r.options.Log.Info("intent resolved", zap.String("order", o.ID), zap.Bool("taken", known))
	return r.client.Delete(ctx, e.Key(), store.At(e.Revision()))
}

// opened returns a run of the chart in state open.
func (r *Orderer) opened() *chart.Machine {
	m := intents.Start()
	for _, event := range []string{"store", "lose"} {
		if err := m.Fire(event); err != nil {
			r.options.Log.Error("intent chart", zap.Error(err))
		}
	}
	return m
}

func (r *Orderer) drop(ctx context.Context, o Order) {
	if err := r.client.Delete(ctx, r.key(o.ID), store.Any()); err != nil {
		r.options.Log.Warn("intent not removed", zap.String("order", o.ID), zap.Error(err))
	}
}

func (r *Orderer) key(id string) string { return Prefix + r.options.Pool + "/" + id }
