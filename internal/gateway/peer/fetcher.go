package peer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
)

// FetcherOptions configures a Fetcher.
type FetcherOptions struct {
	// Pick returns the address of a host that has newer data than this one, empty if there is none. Without otherZones, hosts of
	// other zones are left out, and so are those that skip names.
	Pick func(now time.Time, otherZones bool, skip func(address string) bool) string
	// Fetch fetches the data of a host and puts it in force. The error has kind Overload if that host is serving as many others
	// as it can.
	Fetch        func(ctx context.Context, address string) error
	FollowsStore func() bool // reports whether this host gets the data from the store
	What         string      // what is fetched, for the log
	Log          *zap.Logger
	Now          func() time.Time
}

// Fetcher fetches from other hosts the data that they have got from the store, such as the configuration.
//
// Many hosts need a change at the same moment and few have it. A host fetches from the hosts of its own zone, more often from
// those with faster links. Each of these serves a few hosts at a time and turns the others away, which soon find more hosts that
// have the change.
type Fetcher struct {
	opts     FetcherOptions
	wake     chan struct{}
	since    time.Time            // since when another host is known to have newer data
	avoid    map[string]time.Time // addresses that are not asked again before a time
	failures int                  // transfers that have failed one after the other
}

const (
	// storeDelay is how long a host that follows the store waits for the store before it asks another host.
	storeDelay = 300 * time.Millisecond
	// otherZoneDelay is how long a host waits for a host of its own zone that has the data. Traffic between zones is billed.
	otherZoneDelay = 500 * time.Millisecond
	// checkInterval is the interval at which a host looks for newer data unless a message tells of it.
	checkInterval = 200 * time.Millisecond
	// busyDelay is the mean time after which a host that is serving others is asked again.
	busyDelay = 50 * time.Millisecond
	// failureDelay is the time after which a host that did not serve the data is asked again.
	failureDelay = time.Second
	// minFetchTime and maxFetchTime bound the time of a transfer. It doubles with each failure, since nobody knows how long a
	// transfer takes over links that are in use.
	minFetchTime = time.Second
	maxFetchTime = 16 * time.Second
)

// NewFetcher returns a Fetcher. Its Run method starts fetching.
func NewFetcher(o FetcherOptions) *Fetcher {
	return &Fetcher{opts: o, wake: make(chan struct{}, 1), avoid: map[string]time.Time{}}
}

// Wake makes Run look for newer data at once. It does not block.
func (f *Fetcher) Wake() {
	select {
	case f.wake <- struct{}{}:
	default: // Run is about to look
	}
}

// Run fetches newer data until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.sleep(ctx, f.step(ctx))
	}
}

// sleep waits for d, or less if Wake is called.
func (f *Fetcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// step fetches newer data if a host can be asked for it now. It returns the time to wait before the next step.
func (f *Fetcher) step(ctx context.Context) time.Duration {
	now := f.opts.Now()
	maps.DeleteFunc(f.avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
	if f.opts.Pick(now, true, func(string) bool { return false }) == "" {
		f.since, f.failures = time.Time{}, 0
		return checkInterval
	}
	if f.since.IsZero() {
		f.since = now
	}
	waited, follows := now.Sub(f.since), f.opts.FollowsStore()
	if follows && waited < storeDelay {
		return storeDelay - waited
	}
	address := f.opts.Pick(now, follows || waited >= otherZoneDelay, func(address string) bool { _, ok := f.avoid[address]; return ok })
	if address == "" {
		clock.Pause(ctx, busyDelay/2) // messages of other hosts change nothing before
		return 0
	}
	f.fetch(ctx, address)
	return 0
}

func (f *Fetcher) fetch(ctx context.Context, address string) {
	fetchCtx, cancel := context.WithTimeout(ctx, min(minFetchTime<<min(f.failures, 10), maxFetchTime))
	defer cancel()
	err := f.opts.Fetch(fetchCtx, address)
	delay := failureDelay
	switch {
	case err == nil:
		f.failures, delay = 0, minSendGap // what is fetched next is newer than what this host has now
	case kind.Of(err) == kind.Overload:
		delay = busyDelay/2 + rand.N(busyDelay)
	case ctx.Err() == nil:
		f.failures++
		f.opts.Log.Warn("cannot fetch newer data from another host; retrying", zap.String("what", f.opts.What), zap.String("from", address), zap.Error(err))
	}
	f.avoid[address] = f.opts.Now().Add(delay)
}
