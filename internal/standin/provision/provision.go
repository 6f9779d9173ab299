// Package provision is a stand-in for the platform's API that lists, starts and stops upstreams.
package provision

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/standin/httpjson"
	"hickorypath/internal/state/provision"
)

// Faults configures the faults of a Platform.
type Faults struct {
	Down         bool              `json:"down"`   // all calls fail
	Slow         settings.Duration `json:"slow"`   // delay of each order
	LoseReplies  int               `json:"lose"`   // number of coming orders that are executed but whose responses are lost
	LoseOrders   int               `json:"drop"`   // number of coming orders that are lost before they arrive
	Refuse       int               `json:"refuse"` // number of coming orders that are refused
	RateLimited  bool              `json:"rate"`   // all orders exceed the rate limit
	EmptyZones   []string          `json:"empty"`  // zones without free upstreams
	IgnoreFences bool              `json:"ignore"` // orders with an old fencing token are not refused
}

// Options holds the functions that a Platform calls to run its upstreams.
type Options struct {
	Launch func(provision.Upstream) string // starts an upstream and returns its address; may be nil
	Halt   func(provision.Upstream)        // stops an upstream; may be nil
}

// Platform holds a list of upstreams and executes orders, each order id once.
type Platform struct {
	opts Options

	mu         sync.Mutex
	faults     Faults
	fence      map[string]uint64 // highest fencing token by pool
	accepted   []provision.OrderRequest
	violations []string
	upstreams  []provision.Upstream
	started    int
}

// New returns a Platform without upstreams.
func New(o Options) *Platform {
	return &Platform{opts: o, fence: map[string]uint64{}}
}

// SetFaults replaces the faults in effect.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Add adds an upstream to the list.
func (p *Platform) Add(u provision.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = append(p.upstreams, u)
}

// Remove removes an upstream from the list, as if it had disappeared.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u provision.Upstream) bool { return u.ID == id })
}

// Upstreams stops and removes the leaving upstreams whose deadline has passed, and returns the rest of the list.
func (p *Platform) Upstreams() []provision.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u provision.Upstream) bool {
		gone := u.State == provision.StateLeaving && !u.Deadline.After(now)
		if gone && p.opts.Halt != nil {
			p.opts.Halt(u)
		}
		return gone
	})
	return slices.Clone(p.upstreams)
}

// Reclaim marks all reclaimable upstreams of a zone as leaving, with a deadline after the notice.
func (p *Platform) Reclaim(zone string, notice time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markLeaving(time.Now().Add(notice), func(u provision.Upstream) bool { return u.Zone == zone && u.Reclaimable })
}

// Accepted returns the executed orders in order of execution.
func (p *Platform) Accepted() []provision.OrderRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.accepted)
}

// Violations returns the orders that were accepted with an old fencing token, or repeated with different content.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// Find reports whether an order was executed.
func (p *Platform) Find(id string) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return false, kind.New(kind.Unavailable, "provisioning is down")
	}
	_, known := p.find(id)
	return known, nil
}

// Accept handles an order as the platform does. An error of kind.Lost means that the order or its response was lost.
func (p *Platform) Accept(c provision.OrderRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.rejection(c); err != nil {
		return err
	}
	p.execute(c)
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		return kind.New(kind.Lost, "the answer is lost")
	}
	return nil
}

// rejection returns the error of the first fault that keeps an order from being executed, or nil.
func (p *Platform) rejection(c provision.OrderRequest) error {
	switch f := &p.faults; {
	case f.Down:
		return kind.New(kind.Unavailable, "provisioning is down")
	case f.LoseOrders > 0:
		f.LoseOrders--
		return kind.New(kind.Lost, "the order is lost")
	case f.RateLimited:
		return kind.New(kind.RateLimit, "too many orders")
	case f.Refuse > 0:
		f.Refuse--
		return kind.New(kind.Refused, "refused")
	case c.Action == provision.ActionStart && slices.Contains(f.EmptyZones, c.Zone):
		return kind.New(kind.Unavailable, "zone %s has none", c.Zone)
	case c.Fence < p.fence[c.Pool] && !f.IgnoreFences:
		return kind.New(kind.Fenced, "fence %d is older than %d", c.Fence, p.fence[c.Pool])
	}
	return nil
}

// execute performs an order unless its id was executed before, and notes protocol violations.
func (p *Platform) execute(c provision.OrderRequest) {
	if c.Fence < p.fence[c.Pool] {
		p.violations = append(p.violations, c.ID+": old fence")
	}
	p.fence[c.Pool] = max(p.fence[c.Pool], c.Fence)
	if was, ok := p.find(c.ID); ok {
		if was.Order != c.Order {
			p.violations = append(p.violations, c.ID+": other content")
		}
		return
	}
	p.accepted = append(p.accepted, c)
	if c.Action == provision.ActionStop {
		p.markLeaving(time.Now(), func(u provision.Upstream) bool { return u.ID == c.Upstream })
		return
	}
	p.started++
	u := provision.Upstream{
		ID: fmt.Sprintf("%s-o%d", c.Pool, p.started), Pool: c.Pool, Zone: c.Zone,
		Reclaimable: c.Reclaimable, State: provision.StateReady, ChecksFence: !p.faults.IgnoreFences,
	}
	if p.opts.Launch != nil {
		u.Addr = p.opts.Launch(u)
	}
	p.upstreams = append(p.upstreams, u)
}

func (p *Platform) find(id string) (provision.OrderRequest, bool) {
	return lo.Find(p.accepted, func(c provision.OrderRequest) bool { return c.ID == id })
}

// markLeaving marks the selected upstreams as leaving at deadline.
func (p *Platform) markLeaving(deadline time.Time, which func(provision.Upstream) bool) {
	for i, u := range p.upstreams {
		if which(u) {
			p.upstreams[i].State = provision.StateLeaving
			p.upstreams[i].Deadline = deadline
		}
	}
}

// FaultRequest is the JSON body of `POST /fault`: Faults replaces the faults in effect, and Reclaim names a zone to
// reclaim.
type FaultRequest struct {
	Faults
	Reclaim string            `json:"reclaim"` // zone; empty = none
	Notice  settings.Duration `json:"notice"`  // time from the reclaim to the deadline
}

// Handler returns the HTTP API: `GET /upstreams`, `POST /orders`, `GET /orders/ID`, `POST /fault`.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /upstreams", httpjson.HandleGet(p.list))
	mux.HandleFunc("POST /orders", httpjson.HandleBody(p.take))
	mux.HandleFunc("GET /orders/{id}", p.serveFind)
	mux.HandleFunc("POST /fault", httpjson.HandleBody(httpjson.NeverFails(p.applyFault)))
	return mux
}

func (p *Platform) list() ([]provision.Upstream, error) {
	if p.currentFaults().Down {
		return nil, kind.New(kind.Store, "provisioning is down")
	}
	return p.Upstreams(), nil
}

func (p *Platform) take(c provision.OrderRequest) error {
	time.Sleep(time.Duration(p.currentFaults().Slow))
	return p.Accept(c)
}

func (p *Platform) serveFind(w http.ResponseWriter, r *http.Request) {
	known, err := p.Find(r.PathValue("id"))
	if err == nil && !known {
		err = kind.New(kind.Missing, "no such order")
	}
	if err != nil {
		httpjson.WriteError(w, err)
	}
}

func (p *Platform) applyFault(f FaultRequest) {
	p.SetFaults(f.Faults)
	if f.Reclaim != "" {
		p.Reclaim(f.Reclaim, time.Duration(f.Notice))
	}
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}
