package leader

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/sizing"
	"hickorypath/internal/state/lease"
)

// ScalerOptions configures a Scaler.
type ScalerOptions struct {
	Host    string
	Lease   *lease.Lease
	Control ControlAPI
	Live    *config.Live
	Table   *upstream.Table
	Zones   []string
	Demand  func(service string) sizing.Demand // demand of the whole fleet
	// DemandCoverage returns the fraction of the hosts whose demand is known.
	DemandCoverage func() float64
	ReadRate       func(service string) float64 // prompt tokens that one upstream reads per second
	Now            func() time.Time
	Log            *zap.Logger
}

// Scaler requests more or fewer upstreams from the platform as demand changes.
type Scaler struct {
	opts         ScalerOptions
	planners     map[string]*sizing.Planner // by service
	fencingToken uint64                     // fencing token of the lease that was held when planners was created
}

// NewScaler returns a Scaler; its Step method has to be called a few times a second.
func NewScaler(o ScalerOptions) *Scaler {
	return &Scaler{opts: o, planners: map[string]*sizing.Planner{}}
}

// maxRequestsPerStep bounds the number of scale requests in one step for a service, which are sent one after the other.
const maxRequestsPerStep = 8

// minCoverage is the fraction of the hosts whose demand must be known before the number of upstreams is reduced. A fleet
// that has lost one of four zones is still above it.
const minCoverage = 0.7

// Step sends the scale requests that are due, if this host is the leader.
func (s *Scaler) Step(ctx context.Context) {
	token, err := s.opts.Lease.Token(minLeaseValidity)
	c := s.opts.Live.Load()
	if err != nil || c == nil {
		return
	}
	if token.FencingToken() != s.fencingToken {
		s.fencingToken, s.planners = token.FencingToken(), map[string]*sizing.Planner{}
	}
	for name, service := range c.Services() {
		if service.Scaling != nil {
			s.plan(ctx, token, name, service)
		}
	}
}

func (s *Scaler) plan(ctx context.Context, token lease.Token, name string, service *config.Service) {
	conf, p := s.sizingConfig(name, service), s.planners[name]
	if p == nil {
		p = sizing.New(conf)
		s.planners[name] = p
	}
	p.Configure(conf)
	have := map[sizing.CapacityPool]int{}
	now := s.opts.Now()
	for _, i := range s.opts.Table.Service(name) {
		if e := i.Entry(); !e.Draining && i.Status(now, 0) < upstream.Evacuated {
			have[sizing.CapacityPool{Zone: e.Zone, Spot: e.Spot}]++
		}
	}
	demand := s.opts.Demand(name)
	orders := p.Plan(now, demand, have, s.opts.DemandCoverage() >= minCoverage)
	for _, o := range orders[:min(len(orders), maxRequestsPerStep)] {
		if !s.requestScale(ctx, token, p, name, o, have[o.CapacityPool], demand) {
			return
		}
	}
}

func (s *Scaler) sizingConfig(name string, service *config.Service) sizing.Config {
	c := sizing.Config{
		Zones: lo.Reject(s.opts.Zones, func(z string, _ int) bool { return s.opts.Table.Evacuated().Contains(z) }), Prices: service.Scaling.ZonePrices, Min: service.Scaling.MinPerZone, Max: service.Scaling.MaxPerZone,
		BootTime: service.Scaling.BootTime, SpotPrice: service.Scaling.SpotPrice, PrefillRate: s.opts.ReadRate(name),
	}
	if service.Engine != nil {
		c.Slots = float64(service.Engine.Slots)
	}
	return c
}

// requestScale sends one scale request. It returns false if no further request should be sent in this step.
func (s *Scaler) requestScale(ctx context.Context, token lease.Token, p *sizing.Planner, name string, o sizing.Order, have int, d sizing.Demand) bool {
	err := send(ctx, token, s.opts.Control, func(h LeaseHolder) (*http.Request, error) {
		return s.opts.Control.NewScaleRequest(ctx, h, ScaleRequest{Service: name, Zone: o.Zone, DesiredCount: o.Count, Spot: o.Spot})
	}, s.opts.Host)
	s.opts.Log.Info("upstreams requested", zap.String("service", name), zap.String("zone", o.Zone), zap.Bool("spot", o.Spot),
		zap.Int("count", o.Count), zap.Int("have", have), zap.Float64("reading", d.PromptRate), zap.Float64("running", d.ActiveRequests),
		zap.Uint64("fence", token.FencingToken()), zap.Error(err))
	switch kind.Of(err) {
	case "":
		p.Accepted(s.opts.Now(), o)
	case kind.Missing:
		p.Refused(s.opts.Now(), o)
	default:
		return false
	}
	return true
}
