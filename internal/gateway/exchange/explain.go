package exchange

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/place"
)

// Rule names what keeps an instance from taking a request now; empty for nothing. The values of place.Refusal are rules as well.
type Rule string

// The rules in the order in which they are checked.
const (
	RuleDraining  Rule = "draining"  // it drains, or its removal is confirmed
	RuleEvacuated Rule = "evacuated" // its availability zone is evacuated
	RuleDown      Rule = "down"      // it failed recently, or the host is cut off from it
	RuleDeparting Rule = "departing" // its responses state that it leaves
	RuleFailed    Rule = "failed"    // an earlier attempt of the request failed there
	RuleRegion    Rule = "region"    // the route or the customer does not allow its region
	RuleMoved     Rule = "moved"     // the request was sent before, and another upstream may have its address by now
	RuleAwaited   Rule = "awaited"   // requests that go first and are restricted to regions wait for it
	RuleOrigin    Rule = "origin"    // the request goes on with a stream that did not begin at this version
	RulePaused    Rule = "paused"    // it asked this host for a pause
	RuleLimit     Rule = "limit"     // this host's part of its request limit is used up
	RuleCold      Rule = "cold"      // the same of the bound for cold instances
	RuleBrittle   Rule = "brittle"   // it is brittle and this host's part of its slots is used up
)

// statusRule returns the rule for an instance that takes no requests because of its status.
func statusRule(s upstream.Status) Rule {
	switch s {
	case upstream.Evacuated:
		return RuleEvacuated
	case upstream.Down:
		return RuleDown
	case upstream.Departing:
		return RuleDeparting
	default:
		return RuleDraining
	}
}

// The verdicts on upstreams.
const (
	VerdictChosen   = "chosen"
	VerdictPossible = "possible"
	VerdictRuledOut = "ruledout"
)

// The outcomes of requests.
const (
	OutcomeSent    = "sent"    // at once, to the chosen upstream
	OutcomeQueued  = "queued"  // it waits for an upstream
	OutcomeRelayed = "relayed" // through another host
	OutcomeRefused = "refused"
)

// Query describes the request to explain.
type Query struct {
	Host, Path      string // virtual host, and path without the query
	Customer        string // name; empty for none
	Service         string // one of the route's services; empty for the one with the highest weight
	PromptTokens    int
	MaxOutputTokens int
	Parts           []place.PromptPart
}

// Explanation tells where a request would go now. Times are in milliseconds.
type Explanation struct {
	Version   int64                 `json:"version"` // of the configuration
	Zone      string                `json:"zone"`    // of the host
	Route     string                `json:"route"`
	Service   string                `json:"service"`
	Shares    map[string]float64    `json:"shares"` // of the route's requests, by service
	Customer  string                `json:"customer,omitempty"`
	Rank      int                   `json:"rank"`    // in the queue, 0 is the most urgent
	Ahead     int                   `json:"ahead"`   // requests in the queue that go first
	WaitMs    float64               `json:"wait"`    // expected for the prompts of the requests ahead
	MaxWaitMs float64               `json:"maxwait"` // longest time in the queue
	Outcome   string                `json:"outcome"`
	Reason    string                `json:"reason,omitempty"` // of a refusal
	Chosen    string                `json:"chosen,omitempty"` // upstream; if the request is queued, the one that would take it if it were first
	Source    string                `json:"source,omitempty"` // upstream from which the chosen one copies the beginning of the prompt
	Upstreams []UpstreamExplanation `json:"upstreams"`        // by cost, those ruled out last
}

// UpstreamExplanation tells how one upstream was judged. Times and costs are in milliseconds.
type UpstreamExplanation struct {
	ID      string   `json:"id"`
	Zone    string   `json:"zone"`
	Status  string   `json:"status"`
	Verdict string   `json:"verdict"`
	Rule    Rule     `json:"rule,omitempty"` // that ruled it out
	Cost    float64  `json:"cost"`           // Parts.Total, Unconfirmed and Home
	Parts   Parts    `json:"parts"`
	Cached  int      `json:"cached"`        // known cached tokens of the prompt
	Running int      `json:"running"`       // requests in flight, of all hosts
	Pending int      `json:"pending"`       // prompt tokens that are not prefilled yet
	AgeMs   *float64 `json:"age,omitempty"` // of the load that the upstream reported last; absent if it has not reported any
}

// Parts are the parts of the cost of an upstream, in milliseconds.
type Parts struct {
	place.Breakdown
	Unconfirmed float64 `json:"unconfirmed"` // its entry was removed while the store was failing
	Home        float64 `json:"home"`        // bonus of the upstream at which all hosts expect the prompt, at most 0
}

// Explain returns where a request would go now. It sends and reserves nothing. The error is of kind Missing if the configuration does not
// know the virtual host, path, customer or service, and of kind Unavailable without a configuration. Requests that are refused because of
// what their callers sent before, such as those that broke upstreams, are not told apart.
func (x *Exchanger) Explain(q Query) (Explanation, error) {
	e, err := x.newExplained(q)
	if err != nil {
		return Explanation{}, err
	}
	out := Explanation{Version: e.config.Version(), Zone: x.opts.Zone, Route: e.route.Name, Service: e.service.Name, Shares: shares(e.route), Rank: e.rank(), Upstreams: []UpstreamExplanation{}}
	if e.customer != nil {
		out.Customer = e.customer.Name
	}
	refusal := e.checkDraining() // may bring the deadline forward
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.services[e.service.Name]
	if s == nil {
		s = x.newServiceState() // without requests so far; it is not kept
	}
	c := x.explainPlacement(s, e, &out)
	now := x.opts.Now()
	maxWait, wait := e.maxQueueWait(now), x.expectedWait(s, e)
	out.Ahead, out.WaitMs, out.MaxWaitMs = s.queue.Ahead(out.Rank), ms(wait), ms(maxWait)
	if c.instance != nil {
		out.Chosen = c.instance.ID()
		if c.copySource != nil {
			out.Source = c.copySource.ID()
		}
	}
	e.sawCut = x.opts.Table.IsCut(e.service.Name)
	out.Outcome, out.Reason = OutcomeRefused, ""
	switch {
	case refusal != nil:
		out.Reason = kind.From(refusal).Message()
	case c.instance == nil && e.mayNeedOtherHost(now) && e.hasOtherHost(now):
		out.Outcome = OutcomeRelayed
	case c.instance != nil && s.queue.TokensAhead(out.Rank) == 0:
		out.Outcome = OutcomeSent
	case wait > maxWait:
		out.Reason = "the expected wait exceeds the longest time in the queue"
	default:
		if _, beyond := x.isBeyondLimits(s, e, maxWait); beyond {
			out.Reason = "the limits and pauses of the upstreams allow no further request in time"
		} else {
			out.Outcome = OutcomeQueued
		}
	}
	return out, nil
}

// newExplained returns the request of a query.
func (x *Exchanger) newExplained(q Query) (*exchange, error) {
	e := &exchange{x: x, arrived: x.opts.Now(), config: x.opts.Live.Load(), explained: true}
	e.info = RequestInfo{Host: q.Host, Path: q.Path, PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, PromptParts: q.Parts}
	if e.config == nil {
		return nil, kind.New(kind.Unavailable, "no configuration is known yet")
	}
	if e.route = e.config.Match(q.Host, q.Path); e.route == nil {
		if !e.config.HasHost(q.Host) {
			return nil, kind.New(kind.Missing, "no route has the virtual host %q", q.Host)
		}
		return nil, kind.New(kind.Missing, "no route of the virtual host %q has the path %q", q.Host, q.Path)
	}
	if q.Customer != "" {
		if e.customer = e.config.CustomerByName(q.Customer); e.customer == nil {
			return nil, kind.New(kind.Missing, "no customer with a key has the name %q", q.Customer)
		}
	}
	name := q.Service
	if name == "" {
		name = slices.MaxFunc(e.route.Backends, func(a, b config.Backend) int { return cmp.Compare(a.Weight, b.Weight) }).Service
	} else if !slices.ContainsFunc(e.route.Backends, func(b config.Backend) bool { return b.Service == name }) {
		return nil, kind.New(kind.Missing, "the route %s does not lead to the service %q", e.route.Name, name)
	}
	if e.service = e.config.Service(name); e.service == nil {
		return nil, kind.New(kind.Missing, "the service %q of the route %s is not configured", name, e.route.Name)
	}
	e.setHome(e.route, e.customer)
	e.setDeadline()
	return e, nil
}

// explainPlacement returns what place would choose, and adds the upstreams of the service to out. The caller holds x.mu.
func (x *Exchanger) explainPlacement(s *serviceState, e *exchange, out *Explanation) (best choice) {
	p := x.newPlacement(s, e)
	bestCost, bestAt := 0.0, -1
	for n, i := range p.list {
		var v evaluation
		p.evaluate(n, i, &v)
		if v.rule == "" && (best.instance == nil || v.cost() < bestCost) {
			best, bestCost, bestAt = p.choose(i, &v), v.cost(), n
		}
		out.Upstreams = append(out.Upstreams, p.explain(n, i, &v))
	}
	if bestAt >= 0 {
		out.Upstreams[bestAt].Verdict = VerdictChosen
	}
	verdicts := []string{VerdictChosen, VerdictPossible, VerdictRuledOut}
	slices.SortStableFunc(out.Upstreams, func(a, b UpstreamExplanation) int {
		return cmp.Or(cmp.Compare(slices.Index(verdicts, a.Verdict), slices.Index(verdicts, b.Verdict)), cmp.Compare(a.Cost, b.Cost))
	})
	return best
}

// explain returns the explanation of an evaluation. One that ruled the instance out is completed by the cost that it would have.
func (p *placement) explain(n int, i *upstream.Instance, v *evaluation) UpstreamExplanation {
	verdict, rule := VerdictPossible, v.rule
	if rule != "" {
		verdict = VerdictRuledOut
		p.view(n, i, v)
		p.weigh(i, v)
	}
	if limit := i.Limit(); rule == RuleLimit && p.e.service.ColdRate > 0 && i.IsCold(p.now) && (!limit.IsNamed() || limit.Rate() > p.e.service.ColdRate) {
		rule = RuleCold
	}
	out := UpstreamExplanation{
		ID: i.ID(), Zone: i.Entry().Zone, Status: v.status.String(), Verdict: verdict, Rule: rule, Cost: v.cost(),
		Parts: Parts{v.parts, v.unconfirmed, v.home}, Cached: v.cachedHere, Running: v.candidate.Running, Pending: v.candidate.PendingPrefill,
	}
	if at := i.Load().At; !at.IsZero() {
		out.AgeMs = lo.ToPtr(ms(p.now.Sub(at)))
	}
	return out
}

// shares returns the fraction of a route's requests that each service gets.
func shares(r *config.Route) map[string]float64 {
	total := lo.SumBy(r.Backends, func(b config.Backend) float64 { return b.Weight })
	out := map[string]float64{}
	for _, b := range r.Backends {
		out[b.Service] += b.Weight / total
	}
	return out
}
