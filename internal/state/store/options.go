package store

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
)

// Use is the purpose of a call. Each use has a budget of its own, a limit of calls per second.
type Use string

// The uses of the store.
const (
	UseDocument Use = "document"
	UseKey      Use = "key"
	UseClaim    Use = "claim"
	UseUsage    Use = "usage"
	UseReport   Use = "report"
	UseLease    Use = "lease"
	UseOrder    Use = "order"
	UseRecovery Use = "recovery"
	UseRelease  Use = "release"
	UseOther    Use = "other"
)

// Options are the settings of a Client. Clock is required; other zero values get defaults.
type Options struct {
	Clock           clock.Clock
	Rand            *rand.Rand // source of the jitter of back-off and watches
	Log             *zap.Logger
	AttemptTimeout  time.Duration    // time limit of one attempt of a call; of a read, until its response begins and between its parts
	TotalTimeout    time.Duration    // time limit of a call with all its attempts; a read may end later while its response arrives
	WatchTimeout    time.Duration    // time limit of one watch call until its response begins, after which the next watch call follows
	WatchJitter     time.Duration    // WatchTimeout is shortened by a random time up to this, so that the hosts do not call in step
	WatchBatchDelay time.Duration    // pause of a watch after events, so that events which follow closely arrive in one call
	Rate            float64          // calls per second of this process, over all uses
	Budgets         map[Use]float64  // calls per second by use, in place of the defaults
	MaxBackoff      time.Duration    // bound of the mean back-off between attempts
	OnError         func(error)      // called for each call that the service refused or did not respond to; may be nil
	OnRestore       func(era uint64) // called when the service was restored from an older copy; may be nil
	Metrics         *metrics.Set     // where the calls are counted; nil for the default set of the process
}

const (
	defaultAttemptTimeout = 500 * time.Millisecond
	defaultTotalTimeout   = 3 * time.Second
	defaultWatchTimeout   = 10 * time.Second
	defaultRate           = 120
	backoffBase           = 50 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
	burstSeconds          = 2
)

// defaultBudgets are in calls per second. They sum up to the default rate, so that no use starves another. UseRecovery and
// UseRelease share it: most other writes wait for the recovery, and hosts that use UseRelease make few other calls.
var defaultBudgets = map[Use]float64{
	UseDocument: 6,
	UseKey:      6,
	UseClaim:    24,
	UseUsage:    26,
	UseReport:   40, // needed by the one host that reports usage
	UseLease:    10,
	UseOrder:    4,
	UseRecovery: 60,
	UseRelease:  60,
	UseOther:    4,
}

func (o Options) withDefaults() Options {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttemptTimeout)
	o.TotalTimeout = cmp.Or(o.TotalTimeout, defaultTotalTimeout)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, defaultWatchTimeout)
	o.Rate = cmp.Or(o.Rate, defaultRate)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultMaxBackoff)
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	if o.OnRestore == nil {
		o.OnRestore = func(uint64) {}
	}
	return o
}

// budget returns the calls per second of a use.
func (o Options) budget(u Use) float64 {
	if b, ok := o.Budgets[u]; ok {
		return b
	}
	if b, ok := defaultBudgets[u]; ok {
		return b
	}
	return defaultBudgets[UseOther]
}
