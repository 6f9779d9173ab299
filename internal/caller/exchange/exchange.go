// Package exchange carries one request from its caller to upstreams and back, whatever its protocol.
//
// A Runner holds what all requests of a host share. Open authenticates and routes a request and
// returns a Session; Chat or Forward then runs it; Close accounts for it.
package exchange

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/engine"
	"hickorypath/internal/upstream/service"
)

// Anonymous is the customer to whom requests without a key on open routes are accounted.
const Anonymous = "anonymous"

// Deps are what a Runner works with.
type Deps struct {
	Clock        clock.Clock
	Log          *zap.Logger
	Document     *document.Live
	Keys         *key.Table
	Suspects     *SuspectTracker
	RetryBudgets *RetryBudgets
	Engines      *engine.Client
	Services     *service.Client

	// IsReady reports whether this host has all keys.
	IsReady func() bool
	// Pool returns the dispatcher of a pool of the document.
	Pool func(name string) (*dispatch.Dispatcher, bool)
	// Admit takes a request's share of its customer's and class's limits; done gives back what was not used.
	Admit func(customer, class string, tokens int) (done func(used int), err error)
	// Claim begins a claim, or returns the stored outcome of an earlier run.
	Claim func(ctx context.Context, customer, route, idempotency, hash string, expiry time.Duration) (*Claim, *Outcome, error)
	// IsAlive reports whether an upstream of a pool still answers.
	IsAlive func(ctx context.Context, pool, addr string) bool
	// IsDown reports whether an upstream is known not to answer.
	IsDown func(pool, upstream string) bool
	// ReportCrash tells all hosts that an upstream crashed and which requests ran on it.
	ReportCrash func(pool, upstream string, s []suspect.Suspicion, q []suspect.Quarantine)
	// Bill adds one answer to the usage of its customer.
	Bill func(Bill)
	// Observe is told how each request ended.
	Observe func(RequestSummary)
}

// Bill is the usage of one answer, in tokens.
type Bill struct {
	RequestID    string
	Customer     string
	Class        string
	Route        string
	Model        string
	PromptTokens int
	OutputTokens int
	WastedTokens int // generated and not delivered; not billed
}

// Runner runs requests.
type Runner struct {
	deps  Deps
	zones lostZones
}

// New returns a Runner over deps.
func New(deps Deps) *Runner {
	return &Runner{deps: deps, zones: lostZones{lost: map[string]time.Time{}}}
}

// Request is what a caller asks for, independent of its protocol.
type Request struct {
	ID             string // request id, given by the caller or made here
	Bearer         string // the key in clear, empty without one
	Class          string // the class asked for, empty for the route's own
	IdempotencyKey string // the idempotency key, empty without one
	Model          string // the model of a chat completion
	Method         string // the method of a call to a plain service
	Path           string // the path of a call to a plain service
}

// Identity is who a key speaks for.
type Identity struct {
	customer string
	keyID    string
}

// NewID returns a random request id.
func NewID() string {
	return strings.ToLower(rand.Text())
}

// Authenticate finds the customer of a key; without a key the identity is empty and only
// open routes take the request.
func (r *Runner) Authenticate(bearer string) (Identity, error) {
	if bearer == "" {
		return Identity{}, nil
	}
	customer, id, err := r.deps.Keys.Lookup(bearer)
	if kind.Of(err) == kind.BadKey && !r.deps.IsReady() {
		return Identity{}, kind.New(kind.Unavailable, "this host does not have all keys yet")
	}
	if err != nil {
		return Identity{}, err
	}
	return Identity{customer: customer, keyID: id}, nil
}

// Models returns the models that the identity may use.
func (r *Runner) Models(i Identity) []string {
	doc, _ := r.deps.Document.Load()
	if doc == nil {
		return nil
	}
	return doc.Models(i.customer)
}

// Session is one authenticated and routed request.
type Session struct {
	runner        *Runner
	req           Request
	customer      string
	route         *document.Route
	class         *document.Class
	pool          *dispatch.Dispatcher
	ctx           context.Context
	cancel        context.CancelCauseFunc
	unwatch       func()
	arrived       time.Time
	weight        float64
	summary       RequestSummary
	claim         *Claim   // of a non-repeatable request
	outcome       *Outcome // of this run, to be stored for resends
	storedOutcome *Outcome // of an earlier run
}

// Open routes a request and ties its context to the life of its key.
func (r *Runner) Open(ctx context.Context, who Identity, req Request) (*Session, error) {
	doc, _ := r.deps.Document.Load()
	if doc == nil {
		return nil, kind.New(kind.Unavailable, "this host has no document yet")
	}
	route, class, err := matchRoute(doc, who.customer, req)
	if err != nil {
		return nil, err
	}
	p, ok := r.deps.Pool(route.Pool())
	if !ok {
		return nil, kind.New(kind.Unavailable, "pool %s is not ready on this host", route.Pool())
	}
	s := &Session{runner: r, req: req, customer: who.customer, route: route, class: class, pool: p, arrived: r.deps.Clock.Now()}
	if s.customer == "" {
		s.customer = Anonymous
	}
	if c, ok := doc.Customer(who.customer); ok {
		s.weight = c.Weight()
	}
	s.summary = RequestSummary{RequestID: req.ID, Customer: s.customer, Class: class.Name(), Route: route.Name(), Pool: route.Pool(), Started: s.arrived}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.unwatch = r.watchKey(who.keyID, s.cancel)
	return s, nil
}

func matchRoute(doc *document.Document, customer string, req Request) (*document.Route, *document.Class, error) {
	if req.Model != "" {
		return doc.RouteModel(req.Model, customer, req.Class)
	}
	return doc.RoutePath(req.Path, req.Method, customer, req.Class)
}

// watchKey ends a session when its key is withdrawn.
func (r *Runner) watchKey(id string, stop context.CancelCauseFunc) func() {
	if id == "" {
		return func() {}
	}
	gone, unwatch := r.deps.Keys.Watch(id)
	done := make(chan struct{})
	go func() {
		select {
		case <-gone:
			stop(kind.New(kind.Withdrawn, "the key was withdrawn while its request ran").WithRan(kind.RanMaybe))
		case <-done:
		}
	}()
	return func() {
		close(done)
		unwatch()
	}
}

// BodyLimit returns the largest body in bytes that the route takes.
func (s *Session) BodyLimit() int64 { return int64(s.route.Body()) }

// Close frees the session and accounts for how it ended.
func (s *Session) Close(err error) {
	s.unwatch()
	s.cancel(nil)
	s.summary.Finished = s.runner.deps.Clock.Now()
	s.summary.Err = kind.From(err)
	s.runner.logSummary(s.summary)
}

// bill adds the tokens of a request to its customer's usage.
func (s *Session) bill(prompt, output, wasted int) {
	s.summary.PromptTokens, s.summary.OutputTokens, s.summary.WastedTokens = prompt, output, wasted
	s.runner.deps.Bill(Bill{
		RequestID:    s.req.ID,
		Customer:     s.customer,
		Class:        s.class.Name(),
		Route:        s.route.Name(),
		Model:        s.req.Model,
		PromptTokens: prompt,
		OutputTokens: output,
		WastedTokens: wasted,
	})
}

// deadline returns when the answer must have ended.
func (s *Session) deadline() time.Time { return s.arrived.Add(s.route.Timeout()) }
