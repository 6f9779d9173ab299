package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/budget"
	"hickorypath/internal/policy/home"
	"hickorypath/internal/policy/memory"
	"hickorypath/internal/policy/place"
	"hickorypath/internal/policy/poison"
	"hickorypath/internal/policy/waitqueue"
)

// Options are the settings and dependencies of an Exchanger.
type Options struct {
	Zone    string
	Regions map[string]string // region of each availability zone
	Codec   Codec
	Live    *config.Live
	// ConfigOrigin returns where the configuration in force came from, and how long ago the store last showed that it was the newest.
	// It may be nil; it is only logged.
	ConfigOrigin func() (source string, age time.Duration)
	Table        *upstream.Table
	Budget       budget.Config
	// RetryHosts returns the number of hosts that share the retry budgets, 0 while it is not known.
	RetryHosts func() int
	Elapsed    func() time.Duration // time since boot, which no step of the time of day changes
	// AddressReuseTime is the time after the end of an upstream from which another one may have its address.
	AddressReuseTime time.Duration
	// In one second, all hosts together may send a cold upstream ColdOvershoot times its rate and ColdSlack requests more.
	ColdOvershoot, ColdSlack float64

	DrainTime time.Duration                             // time for which an upstream that leaves goes on serving requests
	HostCount func() int                                // number of hosts that share the upstreams
	PeerLoads func(now time.Time) map[string]place.Load // requests that the other hosts have in flight, by instance
	Fleet     func() *advisory.Fleet                    // the hosts that share the limits of upstreams
	FleetTime func() time.Time                          // the time on which the hosts of the fleet agree
	OnStarted func(customer, service string)            // called when an upstream starts a request
	// TellOrigin makes the origin of the stream that a request began known to other hosts, and FindOrigin returns it; ok is false
	// if no host is known to know it.
	TellOrigin func(request string, o upstream.Origin)
	FindOrigin func(ctx context.Context, request string) (o upstream.Origin, ok bool)
	// OnlyVersion returns the software version that a service has run lately; ok is false if it was more than one or is not known.
	OnlyVersion func(ctx context.Context, service string) (version string, ok bool)
	Log         *zap.Logger
	Now         func() time.Time
	// NotifyPeers makes the load of this host known to the other hosts soon, ahead of the next interval.
	NotifyPeers func()
	// DrainingFor returns how long this host has been shutting down, 0 if it is not.
	DrainingFor func() time.Duration
	GracePeriod time.Duration // time from the start of a shutdown until the host ends

	Memory *memory.Account // for responses that are kept until they, or their next events, are complete

	Host       string
	Helpers    *relay.Helpers // hosts through which requests are sent whose upstreams are out of reach
	MaxRelayed int            // requests that this host relays for other hosts at a time
}

// Exchanger forwards client requests to upstreams. It is safe for concurrent use.
type Exchanger struct {
	opts Options
	life context.Context // ends with Stop
	stop context.CancelCauseFunc

	mu        sync.Mutex
	services  map[string]*serviceState
	retries   *budget.Ledger
	poison    *poison.Tracker
	attempts  map[*exchange]context.CancelCauseFunc // those under way
	accessLog *accessLog
	relaying  atomic.Int64 // requests that are relayed for other hosts
}

// serviceState is the state that an Exchanger keeps for one service.
type serviceState struct {
	cache        *place.PrefixIndex
	loads        map[string]*place.Load // in-flight load of this host, by instance
	queue        *waitqueue.Queue[*exchange]
	latencies    *place.LatencyTracker
	prefill      place.PrefillTracker
	reportsSpeed bool                 // its instances state how long work takes
	promptRate   meter                // prompt tokens that no other request shares
	active       int                  // requests in flight
	reservedList []*upstream.Instance // instance list from which reserved was computed
	reserved     map[string]bool      // instances reserved for short prompts
	wokenAt      time.Time            // when waiting requests last looked for hosts that may have more requests at brittle instances
	updates      []timedUpdate        // recent cache updates to send to the other hosts, oldest first
	tokensBuf    []int                // buffer for prefixHolders.cachedTokens
	// hasRestricted is set while requests with a restriction to zones may wait; homeConfig is the configuration by which those of all
	// waiting requests were last set, and awaited the zones for which requests wait that go before the one that is being placed.
	hasRestricted bool
	homeConfig    *config.Config
	awaited       []*home.Zones
}

// New returns an Exchanger without any service state.
func New(o Options) *Exchanger {
	x := &Exchanger{opts: o, services: map[string]*serviceState{}, retries: budget.NewLedger(o.Budget, o.RetryHosts), poison: poison.New(), attempts: map[*exchange]context.CancelCauseFunc{}, accessLog: newAccessLog(o.Log, o.Now)}
	x.life, x.stop = context.WithCancelCause(context.Background())
	o.Table.OnCutChange, o.Table.OnOutOfReach = x.handleCutChange, x.handleOutOfReach
	return x
}

// handleCutChange tells the other hosts that a service got out of reach or is within reach again.
func (x *Exchanger) handleCutChange(service string, isCut bool) {
	x.opts.NotifyPeers()
	if !isCut {
		x.opts.Helpers.Reset(service)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wake(x.service(service))
}

// Handle serves one client request: it forwards the request, or responds with an error, and records the outcome.
func (x *Exchanger) Handle(ctx context.Context, r *frontend.Request, w *frontend.Writer) {
	x.handle(ctx, &exchange{x: x, request: r, writer: w, arrived: r.ArrivedAt()})
}

func (x *Exchanger) handle(client context.Context, e *exchange) {
	ctx, cancel := context.WithCancelCause(client)
	defer cancel(nil)
	defer context.AfterFunc(x.life, func() { cancel(context.Cause(x.life)) })()
	e.account = x.newAccount(e.order)
	err := e.prepare()
	if err == nil {
		err = e.run(ctx)
	}
	if err != nil && isStopped(ctx) {
		err = e.stoppedError()
	}
	if client.Err() != nil {
		err = kind.Wrap(context.Cause(client), kind.Canceled, "the client disconnected")
	} else if err != nil && !e.writer.IsStarted() {
		e.writeError(err)
	}
	e.measure(err, x.opts.Now())
	x.accessLog.write(e, err)
}

// service returns the state of a service by name and creates it if needed. The caller holds x.mu.
func (x *Exchanger) service(name string) *serviceState {
	s := x.services[name]
	if s == nil {
		s = x.newServiceState()
		x.services[name] = s
	}
	return s
}

func (x *Exchanger) newServiceState() *serviceState {
	return &serviceState{cache: place.NewPrefixIndex(), loads: map[string]*place.Load{}, queue: waitqueue.New[*exchange](), latencies: place.NewLatencyTracker()}
}

// currentLoad returns a copy of the in-flight load of this host at an instance.
func (s *serviceState) currentLoad(id string) place.Load {
	if w := s.loads[id]; w != nil {
		return *w
	}
	return place.Load{}
}

// load returns the in-flight load of this host at an instance.
func (s *serviceState) load(id string) *place.Load {
	w := s.loads[id]
	if w == nil {
		w = &place.Load{}
		s.loads[id] = w
	}
	return w
}

// pickService draws one of a list of backends at random, by weight, and returns its service.
func pickService(backends []config.Backend) string {
	total := 0.0
	for _, b := range backends {
		total += b.Weight
	}
	point := rand.Float64() * total
	for _, b := range backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	return backends[len(backends)-1].Service
}
