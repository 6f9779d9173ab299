package lease

import (
	"cmp"
	"time"

	"go.uber.org/zap"
)

// Options are the settings of a Lease. Zero durations are replaced by defaults.
type Options struct {
	Name        string        // of the task
	Holder      string        // host and incarnation of this process
	TTL         time.Duration // time after which the platform ends a lease that is not renewed
	Margin      time.Duration // subtracted from the validity, since clocks run at different rates
	SettleDelay time.Duration // wait of a new holder until nothing sent by the previous holder can arrive any more
	IsCandidate func() bool   // whether this host should try to acquire the lease; nil means always
	Log         *zap.Logger
}

const (
	defaultTTL = 15 * time.Second
	// marginDivisor is the ratio of the TTL to the default margin.
	marginDivisor = 10
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// renewalRetries is how often a failed renewal is retried within one renewal interval.
	renewalRetries = 5
	releaseTimeout = time.Second
)

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, defaultTTL)
	o.Margin = cmp.Or(o.Margin, o.TTL/marginDivisor)
	o.SettleDelay = cmp.Or(o.SettleDelay, o.TTL+o.Margin)
	if o.IsCandidate == nil {
		o.IsCandidate = func() bool { return true }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}
