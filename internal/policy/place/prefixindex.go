package place

import "time"

// PrefixIndex estimates which prompt parts the upstreams have in their KV caches, based on the requests that all hosts
// have sent to them. It is not safe for concurrent use.
type PrefixIndex struct {
	byUpstream map[string]*upstreamCache
}

// upstreamCache is the estimated content of one upstream's cache.
type upstreamCache struct {
	parts   map[uint64]cachedPart // by PromptPart.ID
	tokens  int                   // sum over parts
	sweptAt time.Time             // when the parts past their lifetime were last removed
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

func (p cachedPart) isExpired(now time.Time) bool { return now.Sub(p.lastUsed) > cacheLifetime }

// cacheLifetime is how long a prompt part is expected to stay in an upstream's cache after its last use.
const cacheLifetime = 40 * time.Second

// NewPrefixIndex returns an empty PrefixIndex.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{byUpstream: map[string]*upstreamCache{}} }

// Insert records that an upstream processes parts of a prompt and caches them. If the upstream's cache then exceeds
// capacity tokens, the least recently used parts are evicted. A capacity of 0 means that only their lifetime bounds the parts.
func (x *PrefixIndex) Insert(now time.Time, upstream string, parts []PromptPart, capacity int) {
	c := x.byUpstream[upstream]
	if c == nil {
		c = &upstreamCache{parts: map[uint64]cachedPart{}, sweptAt: now}
		x.byUpstream[upstream] = c
	}
	if now.Sub(c.sweptAt) > cacheLifetime {
		c.sweep(now)
	}
	for _, p := range parts {
		if old, ok := c.parts[p.ID]; ok {
			c.tokens -= old.tokens
		}
		c.parts[p.ID] = cachedPart{p.Tokens, now}
		c.tokens += p.Tokens
	}
	for capacity > 0 && c.tokens > capacity && len(c.parts) > len(parts) {
		c.remove(c.leastRecentlyUsed())
	}
}

// sweep removes the parts past their lifetime.
func (c *upstreamCache) sweep(now time.Time) {
	c.sweptAt = now
	for id, p := range c.parts {
		if p.isExpired(now) {
			c.remove(id)
		}
	}
}

func (c *upstreamCache) remove(id uint64) {
	c.tokens -= c.parts[id].tokens
	delete(c.parts, id)
}

func (c *upstreamCache) leastRecentlyUsed() (id uint64) {
	var oldest time.Time
	for i, p := range c.parts {
		if oldest.IsZero() || p.lastUsed.Before(oldest) {
			id, oldest = i, p.lastUsed
		}
	}
	return id
}

// Forget removes all entries of an upstream, which has restarted or no longer exists.
func (x *PrefixIndex) Forget(upstream string) { delete(x.byUpstream, upstream) }

// Upstreams returns the IDs of the upstreams that have an entry, in no particular order.
func (x *PrefixIndex) Upstreams() []string {
	names := make([]string, 0, len(x.byUpstream))
	for n := range x.byUpstream {
		names = append(names, n)
	}
	return names
}

// CachedTokens returns how many tokens at the beginning of a prompt are in an upstream's cache.
func (x *PrefixIndex) CachedTokens(now time.Time, upstream string, parts []PromptPart) (n int) {
	c := x.byUpstream[upstream]
	if c == nil {
		return 0
	}
	for _, p := range parts {
		cached, ok := c.parts[p.ID]
		if !ok || cached.isExpired(now) {
			return n
		}
		n += p.Tokens
	}
	return n
}

// Contains reports whether a prompt part is in any upstream's cache.
func (x *PrefixIndex) Contains(now time.Time, part uint64) bool {
	for _, c := range x.byUpstream {
		if p, ok := c.parts[part]; ok && !p.isExpired(now) {
			return true
		}
	}
	return false
}
