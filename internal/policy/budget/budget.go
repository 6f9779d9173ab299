// Package budget limits the retries that the upstreams of a service get in a sliding window, from all hosts together, so that retries do
// not amplify an overload. The package does no I/O; the current time is passed in, as the time since boot, which no step of the time of
// day changes.
package budget

import "time"

// Config is the limit for the whole fleet: in each window at most Ratio retries per request, plus Minimum
// retries.
type Config struct {
	Ratio   float64
	Minimum int
	Window  time.Duration
	// KnownFrom is the time from which it is known what this host has spent in the window: a window after its start, as an earlier process
	// of the host may have spent its share of Minimum. It is 0 if there was none.
	KnownFrom time.Duration
}

// safetyFactor is the fraction of the limit that is used, since a request and its retries can fall into different
// windows.
const safetyFactor = 0.8

// buckets is the number of time buckets that make up the window.
const buckets = 20

// Budget is one host's share of the fleet's limit for one service. It is not safe for concurrent use.
type Budget struct {
	config   Config
	requests [buckets]int
	retries  [buckets]int
	newest   int64 // number of the newest bucket
	held     int   // retries that were allowed and have not arrived yet
}

// New returns a Budget without recorded requests.
func New(c Config) *Budget { return &Budget{config: c} }

// RecordRequest counts a client request that this host sends.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.newest%buckets]++
}

// Hold reports whether a retry may be sent, and sets it aside if so, until Use or Release. The host's share of Minimum is Minimum
// divided by the number of hosts; it is nothing while that number is not known, which is 0.
func (b *Budget) Hold(now time.Duration, hosts int) bool {
	b.advance(now)
	requests, retries := 0, b.held
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := b.config.Ratio * float64(requests)
	if hosts > 0 && now >= b.config.KnownFrom {
		allowed += float64(b.config.Minimum) / float64(hosts)
	}
	if float64(retries+1) > safetyFactor*allowed {
		return false
	}
	b.held++
	return true
}

// Use records that a retry that was set aside arrives at an upstream of the service.
func (b *Budget) Use(now time.Duration) {
	b.Release()
	b.Record(now)
}

// Release gives back a retry that was set aside and is not sent.
func (b *Budget) Release() { b.held-- }

// Record records a retry that arrives at an upstream of the service without having been set aside here.
func (b *Budget) Record(now time.Duration) {
	b.advance(now)
	b.retries[b.newest%buckets]++
}

// Forget takes back the newest record of a retry, which has turned out to be one of another service.
func (b *Budget) Forget(now time.Duration) {
	b.advance(now)
	for i := range int64(buckets) {
		if n := &b.retries[(b.newest-i+buckets)%buckets]; *n > 0 {
			*n--
			return
		}
	}
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	at := int64(now / (b.config.Window / buckets))
	if at-b.newest >= buckets {
		b.requests, b.retries = [buckets]int{}, [buckets]int{}
		b.newest = at
	}
	for b.newest < at {
		b.newest++
		b.requests[b.newest%buckets], b.retries[b.newest%buckets] = 0, 0
	}
}
