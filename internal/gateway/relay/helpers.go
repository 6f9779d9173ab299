package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/gateway/upstream"
)

// Host is a host that may relay requests, as its last message describes it.
type Host struct {
	Name     string
	Zone     string
	Address  string         // IP and port for relayed requests
	Free     map[string]int // requests more than it has that it may have at brittle upstreams, by service
	Link     float64        // speed of its network link in Mbit/s; 0 if unknown
	Config   int64          // version of its configuration
	CutFrom  []string       // services that it does not reach itself
	Relaying int            // requests that it relays for others
	Heard    time.Time      // when its last message arrived
}

// Options configures Helpers.
type Options struct {
	Zone  string                     // of this host
	Hosts func(now time.Time) []Host // the other hosts that are alive and do not leave
	Dial  *upstream.Dialer
}

// Helpers are the hosts through which this host sends requests. It is safe for concurrent use.
type Helpers struct {
	opts Options
	*known
}

// known is what is known of the hosts. It is shared by Helpers that differ in the hosts that they may use.
type known struct {
	mu     sync.Mutex
	byName map[string]*Helper
	unable map[string]int // by service, hosts in a row that were asked and did not reach it either
}

// Helper is a host through which this host sends requests.
type Helper struct {
	helpers  *known
	name     string
	address  string
	instance *upstream.Instance

	lostAt   time.Time            // when a connection to it was not opened; guarded by helpers.mu
	inFlight int                  // guarded by helpers.mu
	cannot   map[string]time.Time // services that it did not reach either, until when; guarded by helpers.mu
}

const (
	// cannotTime is how long a host is not asked again for a service that it did not reach.
	cannotTime = 500 * time.Millisecond
	// maxUnable is the number of hosts in a row that did not reach a service after which each request is sent to one host only:
	// probably nobody reaches it.
	maxUnable = 12
	// choices is the number of hosts, drawn at random, of which the least busy one is chosen.
	choices = 3
)

// NewHelpers returns Helpers without connections.
func NewHelpers(o Options) *Helpers {
	return &Helpers{opts: o, known: &known{byName: map[string]*Helper{}, unable: map[string]int{}}}
}

// Within returns the Helpers that leave out the hosts in zones that are not allowed.
func (h *Helpers) Within(allows func(zone string) bool) *Helpers {
	all, opts := h.opts.Hosts, h.opts
	opts.Hosts = func(now time.Time) []Host {
		return lo.Filter(all(now), func(x Host, _ int) bool { return allows(x.Zone) })
	}
	return &Helpers{opts: opts, known: h.known}
}

// IsAlone reports whether there is no other host.
func (h *Helpers) IsAlone(now time.Time) bool { return len(h.opts.Hosts(now)) == 0 }

// Reset makes all hosts be asked for a service again, also those that did not reach it.
func (h *Helpers) Reset(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unable, service)
	for _, helper := range h.byName {
		delete(helper.cannot, service)
	}
}

// MayServe reports whether there is a host that has not said, in its messages or when it was asked, that it does not reach a service.
func (h *Helpers) MayServe(now time.Time, service string) bool {
	hosts := h.opts.Hosts(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unable[service] < maxUnable && slices.ContainsFunc(hosts, func(x Host) bool {
		return !slices.Contains(x.CutFrom, service) && !h.isUnable(now, x, service)
	})
}

// Pick returns a host that may reach a service, and counts a request that is sent through it until Done is called. Hosts that skip
// names, those with a configuration older than the given version, and with onlyFree those that may have no more requests at the service's
// brittle upstreams are left out. ok is false if there is none.
func (h *Helpers) Pick(now time.Time, service string, config int64, skip []string, onlyFree bool) (helper *Helper, ok bool) {
	hosts := h.opts.Hosts(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unable[service] >= maxUnable && len(skip) > 0 {
		return nil, false
	}
	able := lo.Filter(hosts, func(x Host, _ int) bool {
		return !slices.Contains(x.CutFrom, service) && (!onlyFree || h.free(x, service) > 0)
	})
	own := lo.CountBy(able, func(x Host) bool { return x.Zone == h.opts.Zone })
	cutOff := lo.CountBy(hosts, func(x Host) bool { return x.Zone == h.opts.Zone && slices.Contains(x.CutFrom, service) }) + 1
	candidates := lo.Filter(able, func(x Host, _ int) bool {
		return x.Config >= config && !slices.Contains(skip, x.Name) && !h.isUnable(now, x, service)
	})
	if near := lo.Filter(candidates, func(x Host, _ int) bool { return x.Zone == h.opts.Zone }); own >= cutOff && len(near) > 0 {
		candidates = near
	}
	if len(candidates) == 0 {
		return nil, false
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := slices.MinFunc(candidates[:min(choices, len(candidates))], func(a, b Host) int {
		return cmp.Compare(h.load(a), h.load(b))
	})
	helper = h.get(best)
	helper.inFlight++
	return helper, true
}

// Free returns how many requests more than they have the other hosts may have at the brittle upstreams of a service, as they have told, in
// addition to those that this host sends through them.
func (h *Helpers) Free(now time.Time, service string) (n int) {
	hosts := h.opts.Hosts(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range hosts {
		if !h.isUnable(now, x, service) {
			n += h.free(x, service)
		}
	}
	return n
}

// free returns how many requests more a host may have. The caller holds h.mu.
func (h *Helpers) free(x Host, service string) int {
	free := x.Free[service]
	if helper := h.byName[x.Name]; helper != nil {
		free -= helper.inFlight
	}
	return max(free, 0)
}

// isUnable reports whether a host did not reach a service either lately, or was not reached since its last message.
func (h *Helpers) isUnable(now time.Time, x Host, service string) bool {
	helper := h.byName[x.Name]
	return helper != nil && (now.Before(helper.cannot[service]) || !helper.lostAt.IsZero() && !x.Heard.After(helper.lostAt))
}

// load returns the relayed requests of a host for its link.
func (h *Helpers) load(x Host) float64 {
	n := x.Relaying + 1
	if helper := h.byName[x.Name]; helper != nil {
		n = max(n, helper.inFlight+1)
	}
	return float64(n) / max(x.Link, 1)
}

// get returns the Helper for a host. The caller holds h.mu.
func (h *Helpers) get(x Host) *Helper {
	helper := h.byName[x.Name]
	if helper == nil || helper.address != x.Address {
		helper = &Helper{
			helpers: h.known, name: x.Name, address: x.Address, cannot: map[string]time.Time{},
			instance: upstream.NewInstance(upstream.Entry{ID: x.Name, Address: x.Address, Zone: x.Zone}, h.opts.Dial),
		}
		h.byName[x.Name] = helper
	}
	return helper
}

// Sweep closes connections that have been idle for too long, and forgets the hosts without any.
func (h *Helpers) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, x := range h.byName {
		x.instance.Sweep(now)
		if x.inFlight == 0 && x.instance.Conns() == 0 {
			delete(h.byName, name)
		}
	}
}

// Name returns the name of the host.
func (x *Helper) Name() string { return x.name }

// Instance returns the host as the peer of connections.
func (x *Helper) Instance() *upstream.Instance { return x.instance }

// RecordLost records that no connection to the host was opened.
func (x *Helper) RecordLost(now time.Time) {
	x.helpers.mu.Lock()
	defer x.helpers.mu.Unlock()
	x.lostAt = now
}

// RecordUnable records that the host does not reach a service either.
func (x *Helper) RecordUnable(now time.Time, service string) {
	x.helpers.mu.Lock()
	defer x.helpers.mu.Unlock()
	x.cannot[service] = now.Add(cannotTime)
	x.helpers.unable[service]++
}

// RecordReached records that the host reaches a service.
func (x *Helper) RecordReached(service string) {
	x.helpers.mu.Lock()
	defer x.helpers.mu.Unlock()
	delete(x.helpers.unable, service)
}

// Done ends a request that was sent through the host.
func (x *Helper) Done() {
	x.helpers.mu.Lock()
	defer x.helpers.mu.Unlock()
	x.inFlight--
}
