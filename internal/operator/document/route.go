package document

import (
	"slices"
	"time"
)

// Route assigns the requests for a model, or under a path prefix, to a pool.
type Route struct {
	name            string
	model           string
	path            string
	methods         []string
	pool            string
	class           string
	classes         []string
	customers       []string
	allowsAnonymous bool
	repeatable      bool
	maxBodyBytes    int
	timeout         time.Duration
	claimExpiry     time.Duration

	allowedCustomers map[string]struct{}
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Model returns the model that the route serves. It is empty for a path route.
func (r *Route) Model() string { return r.model }

// Path returns the path prefix that the route serves. It is empty for a model route.
func (r *Route) Path() string { return r.path }

// Methods returns the HTTP methods that a path route allows. An empty list means all methods.
func (r *Route) Methods() []string { return r.methods }

// Pool returns the name of the pool that serves the route.
func (r *Route) Pool() string { return r.pool }

// Class returns the name of the default class, for requests that do not name a class.
func (r *Route) Class() string { return r.class }

// Classes returns the names of the other classes that a request may name.
func (r *Route) Classes() []string { return r.classes }

// Customers returns the names of the customers that may use the route. An empty list means all customers.
func (r *Route) Customers() []string { return r.customers }

// AllowsAnonymous reports whether callers without a key may use the route.
func (r *Route) AllowsAnonymous() bool { return r.allowsAnonymous }

// Repeatable reports whether a request may be executed more than once.
func (r *Route) Repeatable() bool { return r.repeatable }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (r *Route) MaxBodyBytes() int { return r.maxBodyBytes }

// Timeout returns the maximum time until the answer is complete.
func (r *Route) Timeout() time.Duration { return r.timeout }

// ClaimExpiry returns how long the claim of a non-repeatable request, which prevents a second execution, is kept.
func (r *Route) ClaimExpiry() time.Duration { return r.claimExpiry }

// AllowsCustomer reports whether the customer may use the route. An empty customer stands for a caller without a key.
func (r *Route) AllowsCustomer(customer string) bool {
	if r.allowsAnonymous {
		return true
	}
	if customer == "" {
		return false
	}
	if len(r.allowedCustomers) == 0 {
		return true
	}
	_, ok := r.allowedCustomers[customer]
	return ok
}

// AllowsMethod reports whether the route allows the HTTP method.
func (r *Route) AllowsMethod(method string) bool {
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

func newRoute() Route {
	return Route{repeatable: true, maxBodyBytes: defaultBodySize, timeout: defaultTimeout, claimExpiry: defaultClaimExpiry}
}

var routeFields = []field[Route]{
	{name: "name", required: true, read: name(func(r *Route) *string { return &r.name })},
	{name: "model", read: text(func(r *Route) *string { return &r.model })},
	{name: "path", read: text(func(r *Route) *string { return &r.path })},
	{name: "methods", read: list(func(r *Route) *[]string { return &r.methods }, checkMethod)},
	{name: "pool", required: true, read: name(func(r *Route) *string { return &r.pool })},
	{name: "class", required: true, read: name(func(r *Route) *string { return &r.class })},
	{name: "classes", read: list(func(r *Route) *[]string { return &r.classes }, checkName)},
	{name: "customers", read: list(func(r *Route) *[]string { return &r.customers }, checkName)},
	{name: "open", read: flag(func(r *Route) *bool { return &r.allowsAnonymous })},
	{name: "repeat", read: flag(func(r *Route) *bool { return &r.repeatable })},
	{name: "body", read: integer(func(r *Route) *int { return &r.maxBodyBytes }, 1, maxBodySize)},
	{name: "timeout", read: duration(func(r *Route) *time.Duration { return &r.timeout }, time.Millisecond, 24*time.Hour)},
	{name: "expiry", read: duration(func(r *Route) *time.Duration { return &r.claimExpiry }, time.Minute, 30*24*time.Hour)},
}
