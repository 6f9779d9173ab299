// Package place computes which upstream a request should be sent to. It does no I/O and reads no clock: callers pass in
// the state of the upstreams and the current time.
package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a section of a prompt that several requests may have in common.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int
}

// Request describes the requirements of a request.
type Request struct {
	Parts        []PromptPart // of the prompt in order; the last one is specific to the request or its session
	PromptTokens int          // length of the whole prompt
	Zone         string       // availability zone of the host that sends the request
	HasReserved  bool         // some upstreams of the service are reserved for short prompts
	MemoryTokens int          // expected use of the upstream's KV cache
	Urgent       bool
	// Objective is the latency objective for the first response event.
	Objective time.Duration
}

// Load is the work that hosts have in flight on an upstream.
type Load struct {
	_              struct{} `cbor:",toarray"`
	Running        int      // requests in flight
	PendingPrefill int      // prompt tokens of the requests that have no response event yet
	MemoryTokens   int      // expected use of the KV cache, for prompts and output
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, PendingPrefill: l.PendingPrefill + o.PendingPrefill, MemoryTokens: l.MemoryTokens + o.MemoryTokens}
}

// PrefixUpdate informs the other hosts that an upstream processes, and from then on caches, shared parts of a prompt.
type PrefixUpdate struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Parts    []PromptPart
}

// Candidate is what a host knows about one upstream when it places a request.
type Candidate struct {
	Zone           string
	Slots          int     // requests that the upstream runs concurrently; 0 for no limit
	Load                   // sum over all hosts, as far as known
	MemoryCapacity int     // size of the KV cache in tokens; 0 for a service that is not an inference engine
	Slowdown       float64 // observed latency relative to the expected one, 1 for a healthy upstream
	Report         Report  // of its present speed
	Cold           bool    // started recently
	Brittle        bool    // fails if it has to reject requests for want of room
	Reserved       bool    // reserved for short prompts
}

// CostModel holds the performance figures of a service's upstreams.
type CostModel struct {
	PrefillPerMs     float64       // prompt tokens prefilled per millisecond; 0 for a service that is not an inference engine
	CopyPerMs        float64       // tokens copied per millisecond from another upstream's KV cache; 0 without such copies
	DelayPerRunning  time.Duration // delay that each running request adds to a new one
	CrossZonePenalty time.Duration // cost of sending to another availability zone, expressed as a delay
	// WeighsRoom makes the cost follow the present speed and memory of the candidate: a cached prefix saves time only while there is room for it.
	WeighsRoom bool
}

// Limits on what is sent to an upstream before its responses come back.
const (
	// maxPrefillWait and maxUrgentPrefillWait bound the time that the prefill of the earlier prompts may take. Urgent
	// requests may wait longer at the upstream, since they overtake the others there.
	maxPrefillWait       = 350 * time.Millisecond
	maxUrgentPrefillWait = 600 * time.Millisecond
	// maxCachedWaitShare is the fraction of its latency objective that a request may wait for an upstream that has more
	// than half of its prompt cached: any other upstream would have to prefill the whole prompt again.
	maxCachedWaitShare = 0.3
	// maxMemoryShare and maxUrgentMemoryShare bound the KV cache use of the running requests, relative to the capacity and
	// counted as if the requests shared no prefix. A request that finds no free memory waits at the upstream, whatever
	// its priority.
	maxMemoryShare       = 1.3
	maxUrgentMemoryShare = 1.7
	// maxSlotOvercommit bounds the running requests, relative to the slots, on an upstream that is not an inference engine.
	maxSlotOvercommit = 1.5
)

// Refusal names the bound for which an upstream cannot take a request now; empty if it can.
type Refusal string

// The refusals.
const (
	NoSlot      Refusal = "slots"   // it runs as many requests as it has slots
	PrefillWait Refusal = "prefill" // the prefill of the earlier prompts takes too long
	NoMemory    Refusal = "memory"  // its KV cache has no room for the request
)

// CanAccept reports whether the request may be sent to the candidate now. Prefix is what upstreams have cached of the
// request's prompt.
func (m CostModel) CanAccept(c Candidate, r Request, prefix CachedPrefix) bool {
	return m.Refusal(c, r, prefix) == ""
}

// Refusal returns why the request may not be sent to the candidate now, empty if it may. Prefix is what upstreams have
// cached of the request's prompt.
func (m CostModel) Refusal(c Candidate, r Request, prefix CachedPrefix) Refusal {
	if c.Running == 0 {
		return ""
	}
	if c.Brittle && c.Slots > 0 && c.Running >= c.Slots {
		return NoSlot
	}
	if m.PrefillPerMs <= 0 {
		if c.Slots == 0 || float64(c.Running) < maxSlotOvercommit*float64(c.Slots) {
			return ""
		}
		return NoSlot
	}
	wait, share := maxPrefillWait, maxMemoryShare
	if r.Urgent {
		wait, share = maxUrgentPrefillWait, maxUrgentMemoryShare
	}
	if c.Brittle {
		share = 1
	}
	if m.WeighsRoom {
		prefix.Local = c.keptTokens(r, prefix.Local)
	}
	if prefix.Local*2 > r.PromptTokens {
		wait = max(wait, time.Duration(maxCachedWaitShare*float64(r.Objective)))
	}
	if c.Slots > 0 && c.Running >= c.Slots {
		return NoSlot
	}
	slowdown := 1.0
	if m.WeighsRoom {
		slowdown = c.Report.expected()
	}
	if float64(c.PendingPrefill)/m.PrefillPerMs*slowdown > float64(wait)/float64(time.Millisecond) {
		return PrefillWait
	}
	if c.MemoryCapacity == 0 || float64(c.MemoryTokens+r.MemoryTokens) <= share*float64(c.MemoryCapacity) {
		return ""
	}
	return NoMemory
}

// Fixed costs, as opposed to those that follow from observed latencies.
const (
	// ownPrefillWeight is the weight of the request's own prefill: the prefill delays the request itself and all later
	// ones.
	ownPrefillWeight = 2.0
	// overSlotsCostMs is added for each request beyond the slots of an upstream, in milliseconds.
	overSlotsCostMs = 400.0
	// longOnReservedCostMs is added for a long prompt on an upstream that is reserved for short ones, in milliseconds.
	// Long prompts then go there only when the other upstreams have long queues.
	longOnReservedCostMs = 350.0
	// shortOnSharedCostMs is the expected wait of a short prompt, in milliseconds, behind long prompts that other hosts
	// have sent to an upstream and that this host does not know about yet.
	shortOnSharedCostMs = 200.0
	// coldStartCostMs is added for an upstream that is still slow after its start, in milliseconds.
	coldStartCostMs = 50.0
)

// Breakdown is the cost of a request on a candidate by part, in milliseconds. The parts add up to Total, but for rounding.
type Breakdown struct {
	Wait     float64 `json:"wait"`     // prefill of the earlier prompts
	Prefill  float64 `json:"prefill"`  // prefill of the request, which also delays later ones
	Copy     float64 `json:"copy"`     // copy of a cached prefix from another upstream
	Running  float64 `json:"running"`  // delay by the running requests
	Slowdown float64 `json:"slowdown"` // what observed and reported slowness adds to the parts above; negative for an upstream faster than usual
	Memory   float64 `json:"memory"`   // repeated prefill of requests that the upstream drops to make room
	Slots    float64 `json:"slots"`    // requests beyond the slots
	Reserved float64 `json:"reserved"` // long prompt on an upstream reserved for short ones, or a short one on another
	Zone     float64 `json:"zone"`     // other availability zone
	Cold     float64 `json:"cold"`     // recent start
	Total    float64 `json:"total"`
}

// Cost returns the expected delay of the request on a candidate plus the delay that the request causes to the others
// there, in milliseconds.
func (m CostModel) Cost(c Candidate, r Request, prefix CachedPrefix) float64 {
	return m.Breakdown(c, r, prefix).Total
}

// Breakdown returns the cost of the request on a candidate by part.
func (m CostModel) Breakdown(c Candidate, r Request, prefix CachedPrefix) (b Breakdown) {
	if m.WeighsRoom {
		prefix.Local = c.keptTokens(r, prefix.Local)
	}
	cost, copyTokens := 0.0, m.TokensToCopy(prefix)
	cached := prefix.Local + copyTokens
	if m.PrefillPerMs > 0 {
		cost = (float64(c.PendingPrefill) + ownPrefillWeight*float64(max(r.PromptTokens-cached, 0))) / m.PrefillPerMs
		b.Wait = float64(c.PendingPrefill) / m.PrefillPerMs
		b.Prefill = cost - b.Wait
	}
	if copyTokens > 0 {
		b.Copy = copySetupMs + float64(copyTokens)*(1/m.CopyPerMs+copyTokenCostMs)
		cost += b.Copy
	}
	b.Running = float64(c.Running) * float64(m.DelayPerRunning) / float64(time.Millisecond)
	cost += b.Running
	usual := cost
	cost *= max(c.Slowdown, 1)
	if m.WeighsRoom {
		cost *= c.Report.expected()
	}
	b.Slowdown = cost - usual
	if m.WeighsRoom {
		b.Memory = float64(c.overflowTokens(r)) / m.PrefillPerMs
		cost += b.Memory
	}
	if over := c.Running + 1 - c.Slots; over > 0 && c.Slots > 0 {
		b.Slots = overSlotsCostMs * float64(over)
		cost += b.Slots
	}
	switch short := r.PromptTokens-cached <= maxShortPromptTokens; {
	case c.Reserved && !short:
		b.Reserved = longOnReservedCostMs
	case r.HasReserved && !c.Reserved && short:
		b.Reserved = shortOnSharedCostMs
	}
	cost += b.Reserved
	if c.Zone != r.Zone {
		b.Zone = float64(m.CrossZonePenalty) / float64(time.Millisecond)
		cost += b.Zone
	}
	if c.Cold {
		b.Cold = coldStartCostMs
		cost += b.Cold
	}
	b.Total = cost
	return b
}

const (
	// maxShortPromptTokens is the number of uncached tokens up to which a prompt counts as short: its prefill delays the
	// other requests on an upstream only a little.
	maxShortPromptTokens = 2500
	// reservedShare is the fraction of the upstreams that is reserved for short prompts. Services with fewer than
	// minUpstreamsToReserve upstreams reserve none.
	reservedShare         = 0.38
	minUpstreamsToReserve = 24
)

// ReservedCount returns how many of n upstreams are reserved for short prompts, so that short prompts do not wait behind
// the prefill of long ones. The reservation suits traffic in which the urgent requests have short prompts.
func ReservedCount(n int) int {
	if n < minUpstreamsToReserve {
		return 0
	}
	return max(1, int(math.Round(reservedShare*float64(n))))
}

// RendezvousRank returns the rank of an upstream for a prompt part by rendezvous hashing. The part is assigned to the
// upstream with the highest rank, so that all hosts send requests with that part to the same upstream.
func RendezvousRank(part uint64, upstream string) uint64 {
	var hash xxhash.Digest
	hash.ResetWithSeed(part)
	_, _ = hash.WriteString(upstream) // never fails
	return hash.Sum64()
}
