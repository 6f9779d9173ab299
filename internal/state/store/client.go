package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
)

// Client calls the key-value service on behalf of one Use.
type Client struct {
	shared *sharedState
	use    Use
}

// sharedState is the state that the clients of all uses share.
type sharedState struct {
	backend      Backend
	eras         *eraBackend
	journal      journal
	opts         Options
	limiter      *rate.Limiter
	noncePrefix  string
	nonceSeq     atomic.Uint64
	lastResponse atomic.Int64 // boot time (see clock.Clock) of the last response of the service
	lastWatch    atomic.Int64 // the same of the last response that shows that nothing was missed: to a watch call, or with all keys

	mu           sync.Mutex
	rand         *rand.Rand
	budgets      map[Use]*rate.Limiter
	callCounts   map[CallKey]uint64
	callCounters map[CallKey]*metrics.Counter
	lastWrites   map[string]lastWrite
	seenRestore  bool
	checking     atomic.Bool   // checkForRestore runs
	recovery     chan struct{} // closed when writes may go on after a restore; nil before the first restore
}

// New returns a Client over a backend, charged to UseOther; call For to get clients of the other uses.
func New(b Backend, o Options) *Client {
	o = o.withDefaults()
	c := &sharedState{
		journal:      journal{writes: map[string]journalWrite{}, attempted: map[string]time.Duration{}},
		opts:         o,
		limiter:      newLimiter(o.Rate),
		noncePrefix:  fmt.Sprintf("%016x", rand.Uint64()),
		rand:         o.Rand,
		budgets:      map[Use]*rate.Limiter{},
		callCounts:   map[CallKey]uint64{},
		callCounters: map[CallKey]*metrics.Counter{},
		lastWrites:   map[string]lastWrite{},
	}
	c.eras = &eraBackend{raw: b, clock: o.Clock, onChange: c.handleRestore}
	c.backend = c.eras.backend()
	return &Client{use: UseOther, shared: c}
}

// Era returns the era of the service, which rises by one with each restore from an older copy, and the boot time at which this
// client first saw it. Revisions and lease ids of different eras are never equal, and later ones are greater.
func (c *Client) Era() (era uint64, since time.Duration) { return c.shared.eras.current() }

// For returns a client that shares the state of c and whose calls are charged to the budget of u.
func (c *Client) For(u Use) *Client { return &Client{shared: c.shared, use: u} }

// Clock returns the clock of the client.
func (c *Client) Clock() clock.Clock { return c.shared.opts.Clock }

// LastResponseTime returns the boot time of the last response of the service, or zero before the first response.
func (c *Client) LastResponseTime() time.Duration { return time.Duration(c.shared.lastResponse.Load()) }

// LastWatchTime returns the boot time (see clock.Clock) up to which a watch has last delivered all changes; 0 if none has.
func (c *Client) LastWatchTime() time.Duration { return time.Duration(c.shared.lastWatch.Load()) }

// Get reads a key; the error has kind Missing when the key does not exist. After a restore of the service it waits for the
// recovery, as AwaitRecovery does, so that nobody builds on a state that is about to be replaced.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.readRecovered(ctx, func() (err error) {
		e, _, err = c.read(ctx, key, c.retry)
		return err
	})
	return e, err
}

// List returns all keys with a prefix, and the revision of the store at which they were read. It waits as Get does.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var list []Entry
	var rev uint64
	err := c.readRecovered(ctx, func() (err error) {
		list, rev, err = c.list(ctx, prefix)
		return err
	})
	return list, rev, err
}

// ListAtOnce is like List but does not wait for a recovery. It is meant for keys of which an older copy is as true as the newest.
func (c *Client) ListAtOnce(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	return c.list(ctx, prefix)
}

// list is like List and does not wait.
func (c *Client) list(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var list []Entry
	var rev uint64
	err := c.retry(ctx, opList, func(ctx context.Context) (err error) {
		list, rev, err = c.shared.backend.List(ctx, prefix)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	out := make([]Entry, 0, len(list))
	for _, e := range list {
		e, _ = c.shared.unwrap(e)
		out = append(out, e)
	}
	return out, rev, nil
}

// Grant creates a lease, which ends ttl after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	err = c.retry(ctx, "grant", func(ctx context.Context) (err error) {
		lease, err = c.shared.backend.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// Renew extends a lease in one call without retries. An error of kind Missing means that the lease has ended.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	return c.call(ctx, "renew", func(ctx context.Context) error { return c.shared.backend.Renew(ctx, lease) })
}

// Revoke ends a lease and removes its keys. A lease that has already ended is no error.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	err := c.retry(ctx, "revoke", func(ctx context.Context) error { return c.shared.backend.Revoke(ctx, lease) })
	if kind.Of(err) == kind.Missing {
		return nil
	}
	return err
}

// Operations, as in CallKey.Op.
const (
	opGet    = "get"
	opList   = "list"
	opWatch  = "watch"
	opPut    = "put"
	opDelete = "delete"
)

// callFunc runs f, which makes one call of the backend; name is the operation, as in CallKey.Op.
type callFunc func(ctx context.Context, name string, f func(ctx context.Context) error) error

// read returns a key with its envelope; do runs the call, with or without retries.
func (c *Client) read(ctx context.Context, key string, do callFunc) (Entry, envelope, error) {
	var raw Entry
	err := do(ctx, opGet, func(ctx context.Context) (err error) {
		raw, err = c.shared.backend.Get(ctx, key)
		return err
	})
	if err != nil {
		return Entry{}, envelope{}, err
	}
	e, env := c.shared.unwrap(raw)
	return e, env, nil
}

// retry repeats an idempotent call until the service responds or Options.TotalTimeout is over.
func (c *Client) retry(ctx context.Context, op string, fn func(context.Context) error) error {
	ctx, w := c.shared.newRetryTimer(ctx, op)
	defer w.cancel()
	for {
		err := c.call(ctx, op, fn)
		if !isTransient(err) {
			return err
		}
		if !w.pause(ctx) {
			return kind.Wrap(err, kind.Store, "%s: no answer in time", op)
		}
	}
}

// call makes one call, within the rate limits and Options.AttemptTimeout.
func (c *Client) call(ctx context.Context, op string, fn func(context.Context) error) error {
	if err := c.shared.waitForLimits(ctx, c.use); err != nil {
		return err
	}
	c.shared.countCall(c.use, op)
	ctx, cancel := withTimeout(ctx, op, c.shared.opts.AttemptTimeout)
	defer cancel()
	err := fn(ctx)
	if err == nil || isResponse(err) {
		c.shared.lastResponse.Store(int64(c.shared.opts.Clock.Boot()))
		return err
	}
	var known *kind.Error
	if !errors.As(err, &known) {
		err = kind.Wrap(err, kind.OutcomeUnknown, "%s: no answer", op)
	}
	c.shared.opts.Log.Debug("store call failed", zap.String("op", op), zap.Error(err))
	c.shared.opts.OnError(err)
	return err
}

// isTransient reports whether the call failed without a response, so that another attempt may succeed.
func isTransient(err error) bool {
	switch kind.Of(err) {
	case kind.Store, kind.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// isResponse reports whether err is a response of the service, as opposed to a failure to get one.
func isResponse(err error) bool {
	switch kind.Of(err) {
	case kind.Missing, kind.Conflict:
		return true
	default:
		return false
	}
}
