// Package route chooses an upstream for each request of one pool. It is pure: the present time is
// passed in, and nothing is called from inside.
//
// A choice looks at a few candidates only, whatever the size of the pool. See docs/design/routing.md.
package route

import (
	"time"

	"hickorypath/internal/policy/health"
)

// Upstream is a member of the pool.
type Upstream struct {
	id          string
	zone        string
	slots       int
	reclaimable bool
	leaving     bool
}

// NewUpstream returns an Upstream that runs up to slots requests at once.
func NewUpstream(id, zone string, slots int, reclaimable bool) Upstream {
	return Upstream{id: id, zone: zone, slots: max(1, slots), reclaimable: reclaimable}
}

// WithLeaving returns a copy of u that gets no new work if leaving is set.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.leaving = leaving
	return u
}

// ID returns the upstream's id.
func (u Upstream) ID() string { return u.id }

// Zone returns the upstream's availability zone.
func (u Upstream) Zone() string { return u.zone }

// Slots returns how many requests the upstream runs at once.
func (u Upstream) Slots() int { return u.slots }

// Reclaimable reports whether the platform may take the upstream away at short notice.
func (u Upstream) Reclaimable() bool { return u.reclaimable }

// Leaving reports whether the upstream gets no new work.
func (u Upstream) Leaving() bool { return u.leaving }

// Load is what an upstream reported of itself.
type Load struct {
	Running int       // requests that run
	Waiting int       // requests that wait inside the upstream
	KV      float64   // share of the KV cache in use, 0 to 1
	At      time.Time // when the figures were taken
}

// Request is what the choice needs to know of a request.
type Request struct {
	AllowReclaimable bool     // may run on reclaimable upstreams
	Prefix           []uint64 // hashes of the prompt's prefix blocks, see Blocks
	PromptTokens     int      // tokens of the prompt
	Exclude          []string // upstreams that were tried already
	PinnedUpstream   string   // the one upstream that may take it, beyond this host's limit; empty for any
	Fingerprint      uint64   // of the request, so that copies of it through several hosts go the same way
}

// Result tells how a request ended.
type Result struct {
	Crashed bool // the upstream crashed under it
	Failed  bool // it failed for another reason
}

// member is an upstream with what is known of it.
type member struct {
	Upstream
	index  int
	hash   uint64 // of the id
	group  int
	place  int // position in the group's open list, -1 when closed
	near   bool
	limit  int // requests that this host may run there
	share  int // limit by the host's share of the slots
	own    int // requests of this host
	peers  int // requests of the other hosts, by their own word
	first  []pending
	ahead  int // prompt tokens of the pending requests
	health *health.State

	report   Load
	reported bool
	ownAt    int // own requests when the report was taken
	samples  samples

	failures int // in a row, crashes not counted
	failed   time.Time

	doubt time.Time // until when cache entries count less, after lost events
}

// pending is a request without its first token.
type pending struct {
	request uint64
	start   time.Time
	tokens  int // of its prompt that are not cached
	ahead   int // of the prompts that were pending before it
}
