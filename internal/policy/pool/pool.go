// Package pool implements the scheduling of one pool of upstreams on one host. It combines admission control,
// queueing, routing, and the division of the upstreams' slots among hosts.
//
// A Pool is a pure state machine: it takes events with their time and returns decisions. It does no I/O, starts no
// goroutine and reads no clock. It is not safe for concurrent use.
//
// Tier 0 is the highest tier. While any host sheds a tier, that is, refuses its requests because of overload,
// lower tiers are held back: their requests are refused, except those that the guaranteed share of their class
// pays for.
package pool

import (
	"math/rand/v2"
	"time"

	"hickorypath/internal/policy/admit"
	"hickorypath/internal/policy/length"
	"hickorypath/internal/policy/queue"
	"hickorypath/internal/policy/route"
)

const (
	// minGuaranteedShare is the guaranteed share of a class whose configured share is lower.
	minGuaranteedShare = 0.005
	// defaultMaxWait is the longest queueing time of a class that does not configure its own.
	defaultMaxWait = 5 * time.Second
	// promptTokenCost is the cost of one prompt token, in output tokens.
	promptTokenCost = 0.05
	// firstTokenSampleWeight is the weight of one sample in the moving average of the time to the first token.
	firstTokenSampleWeight = 0.05
	// queueingShareOfTarget is the part of a first-token target that queueing may use up, after the time that
	// an upstream takes to produce the first token is subtracted.
	queueingShareOfTarget = 0.7
	// guaranteedMaxWait is the longest queueing time of a request that only the guaranteed share of its class
	// admits, because its tier is held back.
	guaranteedMaxWait = 150 * time.Millisecond
	// headroomFactor scales the number of slots that are left free for the arrivals of higher tiers.
	headroomFactor = 1
	// largeCustomerShare is the part of a host's slots above which a customer, counted in one tier, has to leave
	// slots free for the other customers.
	largeCustomerShare = 0.33
	// maxHeadroomShare is the largest part of a host's slots that is left free.
	maxHeadroomShare = 0.25
	// demandLookahead is the time for which a host asks for slots in advance, for the requests expected to arrive.
	demandLookahead = 400 * time.Millisecond
	// gapSampleTokens is the number of tokens over which the mean gap is taken as one sample of an upstream's
	// speed.
	gapSampleTokens = 16
	// splitPeriodPerPeer is the minimum time between two divisions of the slots among hosts, per other host.
	splitPeriodPerPeer = 500 * time.Microsecond
	// upstreamSplitPeriod is the minimum time between two divisions of each upstream's slots among hosts.
	upstreamSplitPeriod = 100 * time.Millisecond
	// summaryTTL is the time for which the summary of another host is valid.
	summaryTTL = 1800 * time.Millisecond
)

// Class is the scheduling configuration of one request class.
type Class struct {
	Name             string
	Tier             int           // 0 is the highest
	FirstTokenTarget time.Duration // target for the time to the first token, zero for none
	TokenGapTarget   time.Duration // target for the mean time between tokens, zero for none
	CompletionTarget time.Duration // target for the time to the complete answer, zero for none
	MaxWait          time.Duration // longest queueing time
	GuaranteedShare  float64       // share of the service that the class gets regardless of the demand of higher tiers
	Weight           float64       // weight among the classes of the tier
	AllowReclaimable bool          // whether requests may run on reclaimable upstreams
	DurableShare     float64       // share of the running requests that is kept on durable upstreams
}

// Config is the configuration of a Pool.
type Config struct {
	Host           string
	Zone           string
	Classes        []Class
	Seed           uint64
	EstimateOutput func(Request) float64 // estimates the output tokens of a request; nil for estimates learned from earlier answers
	Limiter        route.Limiter
}

// Pool is the scheduler of one pool of upstreams on one host.
type Pool struct {
	host           string
	zone           string
	classes        map[string]*class
	queue          *queue.Queue
	gate           *admit.Gate
	length         *length.Predictor
	balancer       *route.Balancer
	rand           *rand.Rand
	estimateOutput func(Request) float64
	durableRate    admit.Rate // cost of the arrivals that must run on durable upstreams

	calls             map[uint64]*call
	expiry            expiryHeap
	unplaceable       []*call // requests whose placement constraints no upstream satisfies at the moment
	runningByTier     []int
	runningByCustomer []map[string]int // by tier
	topCustomers      []string         // by tier, the customer that had the most running requests when it last started one
	runningTotal      int
	runningByUpstream map[string]int
	reclaimable       map[string]bool         // by upstream; true for reclaimable upstreams
	externalLoads     map[string]externalLoad // by upstream

	slots           int       // of all upstreams that are not leaving
	limit           int       // part of slots that this host may use
	splitAt         time.Time // time of the last division of the slots among hosts
	upstreamSplitAt time.Time // time at which the balancer last learned the demand of the hosts
	headroom        []int     // by tier, free slots that are kept for higher tiers
	meanFirstToken  time.Duration
	peers           map[string]peer
	aggregates      aggregates
	slotsByUpstream map[string]int // without the upstreams that are leaving

	dispatchRound uint64
	filter        queue.Filter
	decisions     []Decision
}

type class struct {
	Class
	running        int
	runningDurable int // running requests on durable upstreams
	blockedRound   uint64
	tierShare      float64 // weight relative to the sum over the tier
}

// New returns a Pool without upstreams.
func New(conf Config) *Pool {
	p := &Pool{
		host:              conf.Host,
		zone:              conf.Zone,
		gate:              admit.New(0),
		reclaimable:       make(map[string]bool),
		externalLoads:     make(map[string]externalLoad),
		length:            length.New(0),
		balancer:          route.New(route.Config{Host: conf.Host, Zone: conf.Zone, Seed: conf.Seed, Limiter: conf.Limiter}),
		rand:              rand.New(rand.NewPCG(conf.Seed, conf.Seed)),
		estimateOutput:    conf.EstimateOutput,
		calls:             make(map[uint64]*call),
		runningByUpstream: make(map[string]int),
		peers:             make(map[string]peer),
		aggregates:        newAggregates(conf.Host),
		slotsByUpstream:   make(map[string]int),
	}
	p.setClasses(conf.Classes)
	p.filter = queue.Filter{Class: p.mayServeClass, Customer: p.mayServeCustomer}
	return p
}

// computeTierShares sets the share of each class in its tier from the weights.
func (p *Pool) computeTierShares() {
	sums := make([]float64, p.queue.Tiers())
	for _, k := range p.classes {
		sums[k.Tier] += k.Weight
	}
	for _, k := range p.classes {
		k.tierShare = k.Weight / sums[k.Tier]
	}
}

func newClass(c Class) *class {
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.Weight <= 0 {
		c.Weight = 1
	}
	return &class{Class: c}
}

// SetUpstreams replaces the set of upstreams and starts the waiting requests that can run on new upstreams.
func (p *Pool) SetUpstreams(now time.Time, ups []route.Upstream) []Decision {
	p.balancer.SetUpstreams(now, ups)
	p.slots = 0
	clear(p.reclaimable)
	clear(p.slotsByUpstream)
	for _, u := range ups {
		if u.Reclaimable() {
			p.reclaimable[u.ID()] = true
		}
		if !u.Leaving() {
			p.slots += u.Slots()
			p.slotsByUpstream[u.ID()] = u.Slots()
		}
	}
	p.splitSlots(now)
	p.dispatch(now)
	return p.takeDecisions()
}

// UpdatePrefixCache applies the events of an upstream about its prefix cache. The flag lost reports that
// events were lost.
func (p *Pool) UpdatePrefixCache(now time.Time, upstream string, added, removed []uint64, lost bool) {
	p.balancer.UpdateCache(now, upstream, added, removed, lost)
}

// Limit returns how many requests this host may run at the moment.
func (p *Pool) Limit() int { return p.limit }

// Running returns how many requests this host is running.
func (p *Pool) Running() int { return p.runningTotal }

func (p *Pool) takeDecisions() []Decision {
	out := p.decisions
	p.decisions = nil
	return out
}
