package claim

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// Options are the settings of a Registry. Zero values are replaced by defaults.
type Options struct {
	Buckets      int           // number of buckets before any split; the same on all hosts
	SplitBytes   int           // size above which a bucket is split
	BatchDelay   time.Duration // time to collect claims for one write
	MaxRunTime   time.Duration // time for which a request without an outcome is assumed to run
	Timeout      time.Duration // for storing a claim
	MaxClockSkew time.Duration // largest difference between the clocks of two hosts
}

const (
	defaultBuckets = 256
	defaultSplit   = 16 << 10
	defaultBatch   = 5 * time.Millisecond
	defaultRunning = 2 * time.Minute
	defaultWhole   = 2 * time.Second
	defaultSkew    = 10 * time.Second
)

// Registry makes and stores the claims of one host.
type Registry struct {
	client    *store.Client
	clock     clock.Clock
	opts      Options
	owner     string
	seq       atomic.Uint64
	startWall time.Time     // wall clock time when the Registry was created
	startBoot time.Duration // boot time when the Registry was created

	mu           sync.Mutex
	pending      map[string][]*bucketChange // changes that wait for the next write of their bucket, by bucket key
	splitBuckets map[string]bool            // keys of the buckets that are known to be split
}

// New returns a Registry that stores its claims through client.
func New(client *store.Client, c clock.Clock, o Options) *Registry {
	o.Buckets = cmp.Or(o.Buckets, defaultBuckets)
	o.SplitBytes = cmp.Or(o.SplitBytes, defaultSplit)
	o.BatchDelay = cmp.Or(o.BatchDelay, defaultBatch)
	o.MaxRunTime = cmp.Or(o.MaxRunTime, defaultRunning)
	o.Timeout = cmp.Or(o.Timeout, defaultWhole)
	o.MaxClockSkew = cmp.Or(o.MaxClockSkew, defaultSkew)
	return &Registry{
		client:       client.For(store.UseClaim),
		clock:        c,
		opts:         o,
		owner:        fmt.Sprintf("%016x", rand.Uint64()),
		startWall:    c.Now(),
		startBoot:    c.Boot(),
		pending:      map[string][]*bucketChange{},
		splitBuckets: map[string]bool{},
	}
}

// Begin claims a request and keeps the claim for expiry. It returns the Claim or, for a repeat, the Outcome of
// the earlier run.
//
// The error has kind Running while an earlier run may still be going on, Uncertain if an earlier run may have
// taken place, and Claimless if no claim could be stored. After an error the request must not be sent.
func (r *Registry) Begin(ctx context.Context, customer, route, key string, expiry time.Duration) (*Claim, *Outcome, error) {
	id := requestID(customer, route, key)
	c := &Claim{registry: r, id: id, owner: fmt.Sprintf("%s-%d", r.owner, r.seq.Add(1)), validUntil: r.clock.Boot() + expiry/2}
	var found entry
	err := r.update(ctx, id, func(all bucket) (bool, error) {
		e, ok := all[id]
		found = e
		if ok {
			return false, nil
		}
		state, err := states.Next(states.Start().State(), "claim")
		if err != nil {
			return false, err
		}
		now := r.clock.Now()
		found = entry{State: state, Owner: c.owner, RunsUntil: now.Add(r.opts.MaxRunTime), Expires: now.Add(expiry + r.opts.MaxClockSkew)}
		all[id] = found
		return true, nil
	})
	if err != nil {
		r.releaseInBackground(ctx, c)
		return nil, nil, kind.Wrap(err, kind.ClaimNotStored, "no claim stored")
	}
	if found.Owner == c.owner {
		return c, nil, c.Valid()
	}
	return r.answerRepeat(ctx, id, found)
}

// answerRepeat returns the result of Begin for a request that was claimed before.
func (r *Registry) answerRepeat(ctx context.Context, id string, e entry) (*Claim, *Outcome, error) {
	switch {
	case e.Outcome == nil && r.clock.Now().Before(e.RunsUntil):
		return nil, nil, kind.New(kind.AlreadyRunning, "the same request is still running")
	case e.Outcome == nil:
		return nil, nil, kind.New(kind.PriorOutcomeUnknown, "the same request may have run")
	case !e.SeparateBody:
		return nil, e.Outcome, nil
	}
	body, err := r.client.Get(ctx, bodyPrefix+id)
	if err != nil {
		return nil, nil, kind.Wrap(err, kind.PriorOutcomeUnknown, "the request has run, its answer cannot be read").WithRan(kind.RanYes)
	}
	e.Outcome.Body = body.Value()
	return nil, e.Outcome, nil
}

// releaseInBackground removes a claim that may have been stored although storing it returned an error.
func (r *Registry) releaseInBackground(ctx context.Context, c *Claim) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.opts.Timeout)
		defer cancel()
		_ = c.Release(ctx) // if the claim stays, repeats are told that the request may have run
	}()
}

func (r *Registry) putBody(ctx context.Context, id string, body []byte) error {
	_, err := r.client.Put(ctx, bodyPrefix+id, body, store.Absent())
	if kind.Of(err) == kind.Conflict {
		return nil
	}
	return err
}

// clockJumped reports whether the wall clock was set since the start. Such a clock cannot tell which claims
// have expired.
func (r *Registry) clockJumped() bool {
	drift := r.clock.Now().Round(0).Sub(r.startWall.Round(0)) - (r.clock.Boot() - r.startBoot)
	return drift.Abs() > r.opts.MaxClockSkew
}
