// Package config holds the configuration that operators write: routes, customers with their API keys, upstream services
// and limits of callers' requests.
//
// A Config is immutable. Live holds the active Config, whose version only increases.
package config

import (
	"sort"
	"strings"
	"time"
)

// RouteKind tells whether requests of a route may be repeated and whether their responses are streams.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "nonidempotent"
	Stream        RouteKind = "stream"
)

// Backend is a service that receives a share of a route's requests, in proportion to its weight.
type Backend struct {
	Service string
	Weight  float64
}

// Route maps requests for a virtual host and path prefix to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Backends         []Backend
	MaxAttempts      int           // maximum number of upstreams that one request is sent to, at least 1
	Timeout          time.Duration // maximum time until the end of the response
	LatencyObjective time.Duration // target time until the response, for a stream until its first event
	GapObjective     time.Duration // target time between the events of a stream; 0 for none
	Priority         int           // 0 is the most urgent
	AuthExempt       bool          // requests need no API key
	Resumable        bool          // an interrupted stream may be continued at another upstream
	Regions          []string      // that may serve the requests; empty for all
}

// IsRepeatable reports whether a request of the route may be run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Customer holds API keys and is billed for the requests that use them.
type Customer struct {
	Name        string
	APIKeys     []string
	Priority    int      // priority of the customer's requests if HasPriority is set; takes precedence over the priority of the route
	HasPriority bool     // the configuration sets Priority
	Regions     []string // that may serve the requests, those of the route permitting; empty for all
}

// Engine holds the capacity of the upstreams of a service that runs a model with continuous batching.
type Engine struct {
	Slots            int
	KVCapacityTokens int     // capacity of the KV cache in tokens, for running requests and cached prefixes
	KVTokenBytes     float64 // bytes that one token occupies in the KV cache
	LinkMbps         float64 // speed of the network link for transfers of the KV cache
}

// Scaling holds the limits and prices for scaling the upstreams of a service.
type Scaling struct {
	MinPerZone, MaxPerZone int // number of upstreams per availability zone
	BootTime               time.Duration
	SpotPrice              float64            // price of a spot upstream, which may be reclaimed, as a fraction of the regular price; 0 if there are no spot upstreams
	ZonePrices             map[string]float64 // price of an upstream per second, by availability zone
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name    string
	Engine  *Engine
	Scaling *Scaling
	// ColdRate is how many requests per second a cold upstream takes from all hosts together; 0 if there is no such bound.
	ColdRate float64
}

// Limits holds the limits of callers' requests and connections.
type Limits struct {
	MaxHeadBytes int           // maximum size of a request head
	MaxBodyBytes int64         // maximum size of a request body
	HeadTimeout  time.Duration // maximum time from the first byte of a request to the end of its head
	IdleTimeout  time.Duration // maximum time between requests on a connection
}

// Config is one version of the configuration.
type Config struct {
	version        int64
	limits         Limits
	routesByHost   map[string][]*Route // by virtual host, longest prefix first
	routes         []*Route
	requiresKey    bool
	customersByKey map[string]*Customer
	services       map[string]*Service
}

// New returns a Config. Requests need the key of a customer unless customers is nil: an empty list means that no key is valid.
func New(version int64, routes []*Route, customers []*Customer, services []*Service, limits Limits) *Config {
	c := &Config{
		version: version, limits: limits, routes: routes, requiresKey: customers != nil,
		routesByHost: map[string][]*Route{}, customersByKey: map[string]*Customer{}, services: map[string]*Service{},
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, customer := range customers {
		for _, key := range customer.APIKeys {
			if key != "" { // that of a request without a key
				c.customersByKey[key] = customer
			}
		}
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the version of the configuration. Newer configurations have higher versions.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits of callers' requests and connections.
func (c *Config) Limits() Limits { return c.limits }

// Routes returns all routes.
func (c *Config) Routes() []*Route { return c.routes }

// Service returns the service with a name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name.
func (c *Config) Services() map[string]*Service { return c.services }

// RequiresKey reports whether requests need an API key. They do if the configuration lists customers, even if none of them has a key.
func (c *Config) RequiresKey() bool { return c.requiresKey }

// CustomerByKey returns the customer that holds an API key, nil if the key is unknown.
func (c *Config) CustomerByKey(key string) *Customer { return c.customersByKey[key] }

// CustomerByName returns the customer with a name, nil if there is none with a key. It looks at all customers.
func (c *Config) CustomerByName(name string) *Customer {
	for _, customer := range c.customersByKey {
		if customer.Name == name {
			return customer
		}
	}
	return nil
}

// HasHost reports whether there are routes for a virtual host.
func (c *Config) HasHost(host string) bool {
	return len(c.routesOf(host)) > 0
}

// Match returns the route of a virtual host with the longest prefix that matches the path, nil if there is none. The
// host is matched without its port and regardless of case.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a virtual host.
func (c *Config) routesOf(host string) []*Route {
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	list, ok := c.routesByHost[host]
	if !ok {
		list = c.routesByHost[strings.ToLower(host)]
	}
	return list
}
