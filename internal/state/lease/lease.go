// Package lease ensures that a task runs in only one process at a time.
//
// The holder computes the validity of its lease from the time before it sent the acquisition or the last renewal, on
// a clock that keeps running during suspension, and subtracts a margin. A new holder first waits until nothing
// that the previous holder may have sent can arrive any more. The fencing token is the revision of the lease key,
// which rises with each holder.
package lease

import (
	"context"
	_ "embed" // for the state machine definition
	"sync"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/statechart"
	"hickorypath/internal/state/store"
)

//go:embed lease.json
var chartFile []byte

var states = statechart.Must(chartFile)

const (
	stateIdle     = "idle"
	stateSettling = "settling"
	stateHeld     = "held"
)

// KeyPrefix is the prefix of the lease keys in the store.
const KeyPrefix = "lease/"

// Lease is one process's view of the lease for one task.
type Lease struct {
	client *store.Client
	clock  clock.Clock
	opts   Options

	mu             sync.Mutex
	machine        *statechart.Machine
	leaseID        uint64        // id of the lease in the store
	fencingToken   uint64        // revision of the lease key
	validUntil     time.Duration // boot time at which the validity ends
	settledAt      time.Duration // boot time at which the settling ends
	renewalOverdue bool          // the validity ended without an answer to the renewals
	inFlightUntil  time.Duration // boot time until which something sent under the lease may still arrive
}

// New returns a Lease that is not held. Run tries to acquire it.
func New(client *store.Client, c clock.Clock, o Options) *Lease {
	return &Lease{client: client.For(store.UseLease), clock: c, opts: o.withDefaults(), machine: states.Start()}
}

// Name returns the name of the task.
func (l *Lease) Name() string { return l.opts.Name }

// State returns the state: idle, settling, held or closed.
func (l *Lease) State() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Run acquires the lease when it is free and renews it until ctx ends. Then it releases the lease.
func (l *Lease) Run(ctx context.Context) {
	defer l.release(context.WithoutCancel(ctx))
	for ctx.Err() == nil {
		wait := l.step(ctx)
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// step tries to acquire or renew the lease and returns the time until the next step.
func (l *Lease) step(ctx context.Context) time.Duration {
	every := l.opts.TTL / renewalsPerTTL
	if l.State() == stateIdle {
		if l.opts.IsCandidate() {
			l.acquire(ctx)
		}
		return every
	}
	if l.renew(ctx) {
		return every
	}
	return every / renewalRetries
}

// acquire takes the lease if its key does not exist.
func (l *Lease) acquire(ctx context.Context) {
	if _, err := l.client.Get(ctx, l.key()); kind.Of(err) != kind.Missing {
		return
	}
	sent := l.clock.Boot()
	grant, err := l.client.Grant(ctx, l.opts.TTL)
	if err != nil {
		return
	}
	fence, err := l.client.PutLeased(ctx, l.key(), []byte(l.opts.Holder), store.Absent(), grant)
	if err != nil {
		l.revoke(ctx, grant)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fire("acquire")
	l.leaseID, l.fencingToken = grant, fence
	l.validUntil = sent + l.opts.TTL - l.opts.Margin
	l.settledAt = l.clock.Boot() + l.opts.SettleDelay
	if era, since := l.client.Era(); era > 0 {
		// A restore may have taken the lease from a holder that does not know it yet.
		l.settledAt = max(l.settledAt, since+l.opts.TTL+l.opts.SettleDelay)
	}
}

// renew extends the lease. It returns false if it should be called again soon.
func (l *Lease) renew(ctx context.Context) bool {
	l.mu.Lock()
	grant := l.leaseID
	l.mu.Unlock()
	sent := l.clock.Boot()
	err := l.client.Renew(ctx, grant)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseID != grant || l.machine.State() == stateIdle {
		return false // it has ended meanwhile
	}
	if err == nil {
		l.validUntil = max(l.validUntil, sent+l.opts.TTL-l.opts.Margin)
		l.renewalOverdue = false
		return true
	}
	if kind.Of(err) == kind.Missing {
		l.fire("lapse")
		l.renewalOverdue = false
		return false
	}
	// The platform may have kept the lease during an outage of its own. Only its answer can show this, so the renewals
	// continue; until an answer arrives no token is valid.
	if !l.renewalOverdue && l.clock.Boot() > l.validUntil {
		l.renewalOverdue = true
		l.opts.Log.Warn("lease not renewed in time", zap.String("lease", l.opts.Name), zap.Error(err))
	}
	return false
}

// Token returns a Token if the lease is held and stays valid for need. Otherwise the error has kind LeaseNotHeld.
func (l *Lease) Token(need time.Duration) (Token, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.State() == stateSettling && l.clock.Boot() >= l.settledAt {
		l.fire("settle")
	}
	t := Token{lease: l, fencingToken: l.fencingToken}
	return t, l.check(l.fencingToken, need)
}

// check returns an error of kind LeaseNotHeld unless the lease is held with the given fencing token and stays valid
// for need.
func (l *Lease) check(fence uint64, need time.Duration) error {
	if l.machine.State() != stateHeld || l.fencingToken != fence {
		return kind.New(kind.LeaseNotHeld, "lease %s is %s", l.opts.Name, l.machine.State())
	}
	if era, _ := l.client.Era(); era != store.EraOf(fence) {
		return kind.New(kind.LeaseNotHeld, "lease %s is of an earlier era of the store", l.opts.Name)
	}
	if left := l.validUntil - l.clock.Boot(); left <= need {
		return kind.New(kind.LeaseNotHeld, "lease %s expires in %s but is needed for %s", l.opts.Name, left, need)
	}
	return nil
}

// release revokes the lease once nothing sent under it can arrive any more, so that the next holder need not
// wait for the lease to expire.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	held := l.machine.State() != stateIdle
	grant := l.leaseID
	wait := l.inFlightUntil - l.clock.Boot()
	l.fire("close")
	l.mu.Unlock()
	if held {
		time.Sleep(wait)
		l.revoke(ctx, grant)
	}
}

// revoke ends a lease in the store. If the store cannot be reached, the lease expires by itself.
func (l *Lease) revoke(ctx context.Context, grant uint64) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := l.client.Revoke(ctx, grant); err != nil {
		l.opts.Log.Warn("lease not revoked; it expires after its TTL", zap.String("lease", l.opts.Name), zap.Error(err))
	}
}

func (l *Lease) key() string { return KeyPrefix + l.opts.Name }

// fire applies an event to the state machine and logs the new state.
func (l *Lease) fire(event string) {
	if err := l.machine.Fire(event); err != nil {
		l.opts.Log.Error("lease", zap.String("lease", l.opts.Name), zap.Error(err))
		return
	}
	l.opts.Log.Info("lease", zap.String("lease", l.opts.Name), zap.String("state", l.machine.State()))
}
