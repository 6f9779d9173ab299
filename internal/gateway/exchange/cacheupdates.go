package exchange

import (
	"time"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/policy/place"
)

const (
	// updateTTL is how long a cache update is repeated to the other hosts, since single messages can be lost and
	// the hosts of a large fleet send in turns.
	updateTTL = 1500 * time.Millisecond
	// maxUpdates bounds the cache updates of a service in one message.
	maxUpdates = 24
	// cacheShare is the fraction of an engine's KV cache memory that is left for cached prompt parts beside the
	// running requests.
	cacheShare = 0.7
)

type timedUpdate struct {
	place.PrefixUpdate
	at time.Time
}

// recordSend records that an instance reads the shared parts of a prompt, and queues the update for the other
// hosts.
func (s *serviceState) recordSend(now time.Time, id string, parts []place.PromptPart, c *config.Service) {
	if len(parts) < 2 {
		return
	}
	update := place.PrefixUpdate{Upstream: id, Parts: parts[:len(parts)-1]}
	s.cache.Insert(now, id, update.Parts, cacheCapacity(c))
	s.updates = append(s.updates, timedUpdate{update, now})
}

func cacheCapacity(c *config.Service) int {
	if c == nil || c.Engine == nil {
		return 0
	}
	return int(cacheShare * float64(c.Engine.KVCapacityTokens))
}

// CacheUpdates returns, by service, which prompt parts this host has recently sent to which instances.
func (x *Exchanger) CacheUpdates() map[string][]place.PrefixUpdate {
	now := x.opts.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string][]place.PrefixUpdate{}
	for name, s := range x.services {
		for len(s.updates) > 0 && (now.Sub(s.updates[0].at) > updateTTL || len(s.updates) > maxUpdates) {
			s.updates = s.updates[1:]
		}
		for _, n := range s.updates {
			out[name] = append(out[name], n.PrefixUpdate)
		}
	}
	return out
}

// ApplyCacheUpdates records the cache updates received from another host.
func (x *Exchanger) ApplyCacheUpdates(now time.Time, updates map[string][]place.PrefixUpdate) {
	c := x.opts.Live.Load()
	if c == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, list := range updates {
		s := x.service(name)
		for _, n := range list {
			s.cache.Insert(now, n.Upstream, n.Parts, cacheCapacity(c.Service(name)))
		}
	}
}

// Sweep drops the cache and latency estimates of instances that are gone and lets instances that were rated slow
// recover. It is called twice a second.
func (x *Exchanger) Sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poison.Sweep(x.opts.Now())
	for _, s := range x.services {
		s.latencies.Recover()
		for _, id := range s.cache.Upstreams() {
			if x.opts.Table.Get(id) == nil {
				s.cache.Forget(id)
				s.latencies.Forget(id)
			}
		}
	}
}
