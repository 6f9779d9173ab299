// Package limit enforces limits on requests, tokens and concurrency per customer and per class across all hosts.
//
// Each host admits requests against its own share of every limit. The shares follow the demand that the hosts report to
// each other, and the shares of hosts with the same view add up to the limit.
package limit

import (
	"time"

	"hickorypath/internal/core/kind"
)

const (
	// summaryLifetime is how long the summary of another host is used after its receipt.
	summaryLifetime = 5 * time.Second
	// negligibleShare is the fraction of an equal share of a limit up to which a host does not report its demand.
	negligibleShare = 0.05
	// scopeIdleTimeout is how long a scope without demand is kept.
	scopeIdleTimeout = 2 * time.Minute
	// sweepBatch is how many scopes each Summarize or Digest checks for idleness.
	sweepBatch = 64
)

// Rule is the limit of a customer or class. Fields that are zero mean no limit.
type Rule struct {
	Rate          float64 // requests per second
	Tokens        float64 // tokens per minute
	MaxConcurrent int     // requests in flight
}

func (r Rule) isEmpty() bool { return r.Rate <= 0 && r.Tokens <= 0 && r.MaxConcurrent <= 0 }

// Config configures a Limiter. Customer and Class return the current rule of a customer or class; a nil function means
// that there are no rules.
type Config struct {
	Host     string
	Customer func(name string) Rule
	Class    func(name string) Rule
}

// Limiter admits requests on one host. It is not safe for concurrent use.
type Limiter struct {
	config       Config
	scopes       map[string]*scope           // by key
	scopeList    []*scope                    // all scopes, in the order of sweeps
	sweepIndex   int                         // position of the last sweep in scopeList
	summaries    map[string]*receivedSummary // by host, in a small fleet
	digests      map[string]*receivedDigest  // by source, in a large fleet
	digestPeriod time.Duration               // between digests; zero in a small fleet, whose hosts exchange summaries
}

// receivedSummary tells when another host's summary was received, and the limits on which it reports demand.
type receivedSummary struct {
	at   time.Time
	keys []string
}

// New returns a Limiter that knows of no other host.
func New(conf Config) *Limiter {
	return &Limiter{config: conf, scopes: make(map[string]*scope), summaries: make(map[string]*receivedSummary), digests: make(map[string]*receivedDigest)}
}

// Take admits a request that is expected to cost tokens, or returns an error of kind RateLimit, TokenLimit or
// ConcurrencyLimit that says when to retry. The caller ends an admitted request with Done.
func (l *Limiter) Take(now time.Time, customer, class string, tokens int) error {
	scopes := l.scopesOf(now, customer, class)
	for _, s := range scopes {
		if s != nil {
			s.recordDemand(now, float64(tokens))
		}
	}
	for _, s := range scopes {
		if s == nil {
			continue
		}
		if err := s.check(now, l.config.Host, float64(tokens)); err != nil {
			return err
		}
	}
	for _, s := range scopes {
		if s != nil {
			s.take(float64(tokens))
		}
	}
	return nil
}

// Done ends a request that Take admitted and replaces the estimate of its tokens by the actual number.
func (l *Limiter) Done(now time.Time, customer, class string, estimate, actual int) {
	for _, s := range l.scopesOf(now, customer, class) {
		if s != nil {
			s.done(float64(estimate - actual))
		}
	}
}

// scopesOf returns the scopes that limit a request: that of the customer and that of the class, nil where there is no rule.
func (l *Limiter) scopesOf(now time.Time, customer, class string) [2]*scope {
	return [2]*scope{
		l.scope(now, customerKey(customer), l.config.Customer, customer),
		l.scope(now, classKey(class), l.config.Class, class),
	}
}

func customerKey(name string) string { return "u/" + name }

func classKey(name string) string { return "c/" + name }

// scope returns the state of a customer or class, updated to its current rule.
func (l *Limiter) scope(now time.Time, key string, rules func(string) Rule, name string) *scope {
	if rules == nil {
		return nil
	}
	rule := rules(name)
	if rule.isEmpty() {
		return nil
	}
	s := l.getOrCreate(key, now)
	l.updateOthers(s, l.hostCount())
	s.applyRule(now, rule)
	return s
}

// getOrCreate returns the scope with a key and creates it if necessary.
func (l *Limiter) getOrCreate(key string, now time.Time) *scope {
	s, ok := l.scopes[key]
	if !ok {
		s = newScope(key, now)
		l.scopes[key] = s
		l.scopeList = append(l.scopeList, s)
	}
	return s
}

// hostCount returns the number of hosts, including this one. Summarize and Digest remove hosts that stopped reporting.
func (l *Limiter) hostCount() int {
	n := len(l.summaries) + 1
	for _, r := range l.digests {
		n += r.hosts
	}
	return n
}

// Len returns the number of scopes in memory.
func (l *Limiter) Len() int { return len(l.scopes) }

func limitError(k kind.Kind, what string, retry time.Duration) error {
	return kind.New(k, "limit of %s", what).WithRetry(min(max(retry, time.Second), time.Minute))
}
