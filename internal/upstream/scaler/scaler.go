// Package scaler starts and stops the upstreams of one pool according to demand while this host holds the pool's lease.
package scaler

import (
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/scale"
)

// interval is the time between two runs of a Scaler.
const interval = 2 * time.Second

// Options are the dependencies of a Scaler.
type Options struct {
	Pool  string // name of the pool
	Clock clock.Clock
	Log   *zap.Logger
	// HoldsLease reports whether this host holds the pool's lease.
	HoldsLease func() bool
	// Config returns the bounds of the pool in the document in force; ok is false for a pool that is not scaled.
	Config func() (conf scale.Config, ok bool)
	// Demand returns the demand on the pool, summed over all hosts.
	Demand func() pool.Demand
	// Upstreams returns the upstreams of the pool as the platform lists them.
	Upstreams func() []scale.Upstream
	// Order sends one order to start or stop an upstream, under the pool's lease.
	Order func(ctx context.Context, o scale.Order) error
	// Drain takes an upstream out of service on all hosts; the upstream is stopped later.
	Drain func(upstream string)
	// AddPaidTime adds to the time for which upstreams are paid, once for each upstream.
	AddPaidTime func(reclaimable bool, paid time.Duration)
}

// Scaler starts and stops the upstreams of one pool.
type Scaler struct {
	options Options
	conf    scale.Config
	planner *scale.Planner
	lastRun time.Time // last run with the lease, zero without the lease
}

// New returns a Scaler.
func New(o Options) *Scaler {
	return &Scaler{options: o}
}

// Run calls RunOnce at intervals until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	clock.Every(ctx, interval, func() { s.RunOnce(ctx) })
}

// RunOnce passes the present demand to the planner and carries out the orders that the planner returns. Without the lease
// it only resets the planner.
func (s *Scaler) RunOnce(ctx context.Context) {
	now := s.options.Clock.Now()
	if !s.options.HoldsLease() {
		s.planner = nil
		s.lastRun = time.Time{}
		return
	}
	conf, ok := s.options.Config()
	if !ok {
		return
	}
	s.useConfig(conf)
	ups := s.options.Upstreams()
	s.addPaidTime(now, ups)
	d := s.options.Demand()
	s.planner.Observe(now, scale.Demand{Slots: d.Slots, Durable: d.DurableSlots, Tiers: d.SlotsByTier})
	for _, o := range s.planner.Plan(now, ups) {
		s.order(ctx, o)
	}
}

// useConfig creates a planner if there is none or if the bounds of the pool have changed in the document.
func (s *Scaler) useConfig(conf scale.Config) {
	if s.planner != nil && reflect.DeepEqual(s.conf, conf) {
		return
	}
	s.conf = conf
	s.planner = scale.New(conf)
}

func (s *Scaler) order(ctx context.Context, o scale.Order) {
	if o.Action == scale.Drain {
		s.options.Drain(o.Upstream)
		return
	}
	err := s.options.Order(ctx, o)
	switch {
	case err == nil && o.Action == scale.Start:
		s.planner.Accepted(o.Zone, o.Reclaimable)
	case isRefusal(err) && o.Action == scale.Start:
		s.planner.Refused(s.options.Clock.Now(), o.Zone, o.Reclaimable)
	}
	if err != nil {
		s.options.Log.Warn("order not carried out", zap.String("pool", s.options.Pool), zap.String("zone", o.Zone),
			zap.String("upstream", o.Upstream), zap.String("kind", string(kind.Of(err))), zap.Error(err))
	}
}

// isRefusal reports whether err means that the platform does not accept an order for now.
func isRefusal(err error) bool {
	switch kind.Of(err) {
	case kind.Refused, kind.Unavailable, kind.RateLimit:
		return true
	}
	return false
}

// addPaidTime counts the time since the last run as paid for each listed upstream.
func (s *Scaler) addPaidTime(now time.Time, ups []scale.Upstream) {
	since := now.Sub(s.lastRun)
	first := s.lastRun.IsZero()
	s.lastRun = now
	if first {
		return
	}
	for _, u := range ups {
		s.options.AddPaidTime(u.Reclaimable, since)
	}
}
