// Package quota enforces the limits of customers and classes on one host. It exchanges the demand on the limits with
// the other hosts, so that the shares of all hosts add up to each limit.
package quota

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/limit"
)

// keyPrefix is the prefix of this package's keys among the soft records.
const keyPrefix = "limit/"

// Times of the exchange of summaries between hosts.
const (
	publishInterval = 250 * time.Millisecond
	summaryTTL      = 3 * time.Second
)

// Options are the dependencies of a Quota.
type Options struct {
	Host       string
	Clock      clock.Clock
	Log        *zap.Logger
	Replicator *replication.Replicator
	Document   *document.Active
}

// Quota admits requests against the limits of the current document. It is safe for concurrent use.
type Quota struct {
	options Options
	mu      sync.Mutex
	limiter *limit.Limiter

	lastDigest time.Time // when the last digest was published; accessed only by Run
}

// New returns a Quota that knows of no other host.
func New(o Options) *Quota {
	q := &Quota{options: o}
	q.limiter = limit.New(limit.Config{Host: o.Host, Customer: q.customerRule, Class: q.classRule})
	return q
}

// Run exchanges the demand with the other hosts until ctx is done.
func (q *Quota) Run(ctx context.Context) {
	stop := q.options.Replicator.Watch(replication.TopicLoad, q.receive)
	defer stop()
	clock.Every(ctx, publishInterval, q.publish)
}

// Admit admits a request that is expected to cost tokens, or refuses it with kind RateLimit, TokenLimit or
// ConcurrencyLimit. The caller calls done once, with the number of tokens that the request cost.
func (q *Quota) Admit(customer, class string, tokens int) (done func(used int), err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.limiter.Take(q.options.Clock.Now(), customer, class, tokens); err != nil {
		return nil, err
	}
	return func(used int) {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.limiter.Done(q.options.Clock.Now(), customer, class, tokens, used)
	}, nil
}

// customerRule returns the limits of a customer, the zero Rule if the document has no such customer.
func (q *Quota) customerRule(name string) limit.Rule {
	doc, _ := q.options.Document.Load()
	if doc == nil {
		return limit.Rule{}
	}
	c, ok := doc.Customer(name)
	if !ok {
		return limit.Rule{}
	}
	return newRule(c.Limit())
}

// classRule returns the limits of a class, the zero Rule if the document has no such class.
func (q *Quota) classRule(name string) limit.Rule {
	doc, _ := q.options.Document.Load()
	if doc == nil {
		return limit.Rule{}
	}
	c, ok := doc.Class(name)
	if !ok {
		return limit.Rule{}
	}
	return newRule(c.Limit())
}

func newRule(l document.Limit) limit.Rule {
	return limit.Rule{Rate: l.Rate(), Tokens: float64(l.TokensPerMinute()), MaxConcurrent: l.MaxInFlight()}
}

// publish publishes the demand on this host: as a digest in a large fleet, else as a summary.
func (q *Quota) publish() {
	now := q.options.Clock.Now()
	if period, combined := q.options.Replicator.SoftPeriod(); combined {
		q.publishDigest(now, period)
		return
	}
	q.mu.Lock()
	sum := q.limiter.Summarize(now)
	q.mu.Unlock()
	data, err := cbor.Marshal(sum)
	if err != nil {
		q.options.Log.Error("cannot encode the demand on this host", zap.Error(err))
		return
	}
	q.options.Replicator.Put(replication.TopicLoad, keyPrefix+q.options.Host, uint64(now.UnixNano()), data, now.Add(summaryTTL))
}

// receive applies the demand that another host published, or the combined demand of several hosts.
func (q *Quota) receive(r replication.Record) {
	if replication.IsCombinedResult(r.Key()) {
		q.receiveDigest(r)
		return
	}
	host, ok := strings.CutPrefix(r.Key(), keyPrefix)
	if !ok || host == q.options.Host {
		return
	}
	var sum limit.Summary
	if err := cbor.Unmarshal(r.Value(), &sum); err != nil {
		q.options.Log.Warn("cannot decode the demand of another host", zap.String("peer", host), zap.Error(err))
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ApplySummary(q.options.Clock.Now(), host, sum)
}
