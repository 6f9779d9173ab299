// Package capacity computes what each role of a host costs at a given fleet size, and renders the capacity page. The
// input are slopes: measured costs of one operation or of one object.
package capacity

import (
	"bytes"
	"encoding/json"

	"hickorypath/internal/core/kind"
)

// Size is the size and the load of a fleet.
type Size struct {
	Hosts         float64 `json:"hosts"`
	Zones         float64 `json:"zones"`
	Upstreams     float64 `json:"upstreams"`
	Pools         float64 `json:"pools"`
	Customers     float64 `json:"customers"`
	Keys          float64 `json:"keys"`
	DocumentBytes float64 `json:"document"` // bytes
	Requests      float64 `json:"requests"` // per second
	Tokens        float64 `json:"tokens"`   // per second
	NonRepeatable float64 `json:"once"`     // share of the requests that must not be repeated
	Changes       float64 `json:"changes"`  // of the document and of keys, per day
	Starts        float64 `json:"starts"`   // crashes and restarts of hosts, per day
	Orders        float64 `json:"orders"`   // starts and stops of upstreams, per day
}

// Bound is the highest cost that is allowed for one host and for the store. CPU, Heap and Bytes count the control traffic
// and state, not the requests of callers.
type Bound struct {
	CPU             float64 `json:"cpu"`    // percent of a core
	Heap            float64 `json:"heap"`   // MB
	Bytes           float64 `json:"bytes"`  // per second
	ChangeSeconds   float64 `json:"force"`  // seconds until a change is in force on all hosts
	Writes          float64 `json:"writes"` // per second, whole fleet
	Reads           float64 `json:"reads"`  // per second, whole fleet, including waiting watches
	StoreCallsToday float64 `json:"today"`  // writes and reads per second, whole fleet of the current size
}

// Slope is one measured cost and the command that measures it.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	What  string  `json:"what"`
	Run   string  `json:"run"`
}

// Model is the input of the capacity page: the expected and the current fleet size, the bounds and the slopes.
type Model struct {
	Size   Size    `json:"size"`
	Today  Size    `json:"today"`
	Bound  Bound   `json:"bound"`
	Slopes []Slope `json:"slopes"`

	values map[string]float64
}

// New parses a Model from JSON. Each slope must have a command and a unique name, and no slope that the roles need may be
// missing.
func New(data []byte) (*Model, error) {
	var m Model
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return nil, kind.Wrap(err, kind.Settings, "capacity data is invalid")
	}
	m.values = make(map[string]float64, len(m.Slopes))
	for _, s := range m.Slopes {
		if _, ok := m.values[s.Name]; ok || s.Run == "" {
			return nil, kind.New(kind.Settings, "slope %q is duplicated or has no command", s.Name)
		}
		m.values[s.Name] = s.Value
	}
	for _, name := range slopes {
		if _, ok := m.values[name]; !ok {
			return nil, kind.New(kind.Settings, "slope %q is missing", name)
		}
	}
	return &m, nil
}

// Names of the slopes that the costs are computed from.
const (
	packetOverhead = "packet.overhead" // bytes on the wire in addition to the payload, including the acknowledgement
	packetCPU      = "packet.cpu"      // microseconds, sender and receiver together
	hostTick       = "host.tick"       // microseconds
	combineCPU     = "combine.cpu"     // microseconds per share period
	relayPackets   = "relay.packets"   // per second, in and out
	relayPayload   = "relay.payload"   // bytes per second, in and out
	hostPackets    = "host.packets"
	hostPayload    = "host.payload"
	changePackets  = "change.packets" // packets in and out of one relay for one change of the document
	changePayload  = "change.payload"
	changeLink     = "change.link" // bytes of one change over one link, for a document of full size
	changeSmall    = "change.small"
	changeCPU      = "change.cpu" // microseconds, sender and receiver together
	changeTime     = "change.time"
	changeFault    = "change.fault"
	keyPackets     = "key.packets"
	keyPayload     = "key.payload"
	spreadKeyHeap  = "spread.key.heap"      // bytes per key
	spreadDocHeap  = "spread.document.heap" // bytes per byte of the document
	documentHeap   = "document.heap"        // KiB
	documentParse  = "document.parse"       // microseconds per change
	keyHeap        = "key.heap"             // KiB
	keyLookup      = "key.lookup"           // microseconds
	memberHeap     = "member.heap"          // KiB
	limitHeap      = "limit.heap"           // KiB, all customers
	limitDigest    = "limit.digest"         // microseconds
	poolHeap       = "pool.heap"            // KiB, all customers and upstreams
	poolTick       = "pool.tick"            // microseconds
	poolArrive     = "pool.arrive"
	routeDecision  = "route.decision"
	routeShare     = "route.share"
	upstreamPoll   = "upstream.poll"
	pollTurn       = "poll.turn"
	requestCPU     = "request.cpu" // microseconds that the router adds to one request
	eventCPU       = "event.cpu"   // microseconds that the router adds to one streamed event
	usageCommits   = "usage.commits"
	claimWrites    = "claim.writes"
	claimReads     = "claim.reads"
	claimKept      = "claim.kept"   // bytes in the store per claim
	claimBytes     = "claim.bytes"  // bytes of one write
	usageRow       = "usage.row"    // bytes
	usageReport    = "usage.report" // microseconds per row
	usageHeap      = "usage.heap"   // MB, on the reporter
	usageBytes     = "usage.bytes"  // bytes of all commits of one host in one window
	orderWrites    = "order.writes"
	orderReads     = "order.reads"
	leaseWrites    = "lease.writes"
	startReads     = "start.reads"
	changeWrites   = "change.writes"
	changeReads    = "change.reads"
)

var slopes = []string{
	packetOverhead, packetCPU, hostTick, combineCPU, relayPackets, relayPayload, hostPackets, hostPayload, changePackets, changePayload,
	changeLink, changeSmall, changeCPU, changeTime, changeFault, keyPackets, keyPayload, spreadKeyHeap, spreadDocHeap,
	documentHeap, documentParse, keyHeap, memberHeap, limitHeap, limitDigest, poolHeap, keyLookup, poolTick, poolArrive, routeDecision, routeShare, upstreamPoll, pollTurn,
	requestCPU, eventCPU, usageCommits, usageRow, usageReport, claimWrites, claimReads, claimKept, claimBytes, usageHeap, usageBytes, orderWrites, orderReads, leaseWrites, startReads, changeWrites, changeReads,
}

// slope returns the value of the slope with one of the names above.
func (m *Model) slope(name string) float64 { return m.values[name] }
