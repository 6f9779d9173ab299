package capacity

// Units.
const (
	secondsPerDay = 86_400
	micro         = 1e-6 // seconds in a microsecond
	percent       = 100
	kilo          = 1e3
	mega          = 1e6
	giga          = 1e9
	kibi          = 1 << 10
)

// Intervals and sizes of the mechanisms. Each value repeats a constant of the package that its comment names.
const (
	hostTicksPerSecond    = 20   // periodic work of membership and records; node
	poolTicksPerSecond    = 40   // periodic work of each pool; dispatch
	watchSeconds          = 10   // duration of one waiting watch; store
	watchHostsPerZone     = 2    // highest number of hosts in each zone that watch the store
	watchesPerHost        = 2    // prefixes that such a host watches: documents and keys
	pollersPerUpstream    = 2    // hosts that poll each upstream
	sharePeriodSeconds    = 12   // time between exchanges of load; node
	limitDigestsPerPeriod = 4    // limit digests in one share period; quota
	leaseRenewSeconds     = 5    // time between renewals of a lease; lease
	leaseCandidates       = 4    // hosts that try to acquire each lease, including one chosen at random
	burnSaveSeconds       = 300  // time between saves of the counts of a host; burnstore
	limitIdleSeconds      = 120  // idle time after which the state of a customer is dropped; limit
	usageWindowSeconds    = 300  // length of a window; usage
	minCommitSeconds      = 1    // lower bound of the time between usage commits of one host; usage
	fleetCommitsPerSecond = 100  // upper bound of the usage commits of all hosts; usage
	rowsPerPart           = 500  // rows in a part; usage
	writesPerPart         = 2    // one write to empty a part and one to remove it; usage
	partsPerListing       = 16   // highest number of hosts whose parts are read in one listing; usage
	rowsPerChunk          = 2000 // rows in a chunk of a frozen window; usage
	keyRecordBytes        = 160  // bytes of one key record on the wire
)

// Row is the cost of one mechanism for one host.
type Row struct {
	Mechanism string
	Messages  float64 // per second
	Bytes     float64 // per second
	CPU       float64 // percent of a core
	Heap      float64 // MB
}

// Role is one function that a host can have in the fleet, with the costs of its mechanisms.
type Role struct {
	Name       string
	State      string // what a host with this role keeps in memory
	Rows       []Row
	Bottleneck string // what reaches its limit first as the fleet grows
}

// Total returns the sum of all rows of the role.
func (r Role) Total() Row {
	t := Row{Mechanism: "total"}
	for _, row := range r.Rows {
		t.Messages += row.Messages
		t.Bytes += row.Bytes
		t.CPU += row.CPU
		t.Heap += row.Heap
	}
	return t
}

// Roles returns the roles of hosts. Each role includes the costs of an entry host, since every host is an entry host.
func (m *Model) Roles() []Role {
	entry := Role{
		Name:  "entry host",
		State: "document, keys, list of hosts, queue and route tables of its own requests",
		Rows: append([]Row{
			m.heartbeatRow("heartbeats and load, to two relays (membership, replication)", m.slope(hostPackets), m.slope(hostPayload)),
			m.changeRow("changes, taken from a relay (replication)", 1),
		}, m.commonRows()...),
		Bottleneck: "heap, by the keys: two copies of each record",
	}
	relay := Role{
		Name:  "relay (four in a zone of 23 hosts)",
		State: "as an entry host; load summaries of its hosts and of the zones that it is linked with",
		Rows: append([]Row{
			m.heartbeatRow("heartbeats and load, to hosts, relays and zones (membership, replication)", m.slope(relayPackets), m.slope(relayPayload)),
			m.changeRow("changes, passed on (replication)", m.fanout()),
			{Mechanism: "load of hosts and zones, combined (replication)", CPU: m.slope(combineCPU) / sharePeriodSeconds * micro * percent},
		}, m.commonRows()...),
		Bottleneck: "bytes, by the load summaries of pools and limits every 12 s",
	}
	reporter := Role{
		Name:       "usage reporter (one entry host)",
		State:      "as an entry host; the sum of a window by customer and class, the parts of one or two hosts",
		Rows:       append([]Row{m.reportingRow()}, entry.Rows...),
		Bottleneck: "writes that empty and remove parts: 175 s of each window on the reporter's budget of 40 calls a second",
	}
	return []Role{entry, relay, reporter}
}

// reportingRow returns the cost of freezing and reporting usage windows.
func (m *Model) reportingRow() Row {
	r := m.Reporting()
	return Row{Mechanism: "freezing and reporting a window (usage)", Messages: r.Listings / usageWindowSeconds, CPU: r.CPU, Heap: m.slope(usageHeap)}
}

// heartbeatRow returns the cost of the periodic traffic between hosts.
func (m *Model) heartbeatRow(name string, packets, payload float64) Row {
	return Row{Mechanism: name, Messages: packets, Bytes: payload + packets*m.slope(packetOverhead), CPU: m.packetCPU(packets)}
}

// packetCPU returns the processor time, in percent of a core, that packets per second cost one of the two ends.
func (m *Model) packetCPU(packets float64) float64 {
	return packets * m.slope(packetCPU) / 2 * micro * percent
}

func (m *Model) changesPerSecond() float64 { return m.Size.Changes / secondsPerDay }

// fanout returns how many times a relay transfers the chunks of a change, sent and received.
func (m *Model) fanout() float64 { return m.slope(changePayload) / m.slope(changeSmall) }

// changeRow returns the cost of changes. It counts each change as a change of the document, which costs more than a
// change of a key.
func (m *Model) changeRow(name string, transfers float64) Row {
	rate := m.changesPerSecond()
	packets := m.slope(changePackets) * min(1, transfers/m.fanout())
	return Row{
		Mechanism: name,
		Messages:  rate * packets,
		Bytes:     rate * (transfers*m.slope(changeLink) + packets*m.slope(packetOverhead)),
		CPU:       rate*m.slope(changeCPU)/2*micro*percent + m.packetCPU(rate*packets),
	}
}

// commonRows returns the costs that every host has.
func (m *Model) commonRows() []Row {
	s := m.Size
	polls := s.Upstreams * pollersPerUpstream / s.Hosts
	copyBytes := s.Keys*keyRecordBytes + s.DocumentBytes
	return []Row{
		{Mechanism: "periodic work of membership and records (node)", CPU: hostTicksPerSecond * m.slope(hostTick) * micro * percent},
		{Mechanism: "key records for other hosts (replication)", Heap: s.Keys * m.slope(spreadKeyHeap) / mega},
		{Mechanism: "chunks of the document for other hosts (replication)", Heap: s.DocumentBytes * m.slope(spreadDocHeap) / mega},
		{Mechanism: "list of hosts (membership)", Heap: m.slope(memberHeap) * kibi / mega},
		{Mechanism: "limits of the customers of the last 2 minutes (limit)",
			Heap: m.slope(limitHeap) * kibi / mega * min(1, s.Requests/s.Hosts*limitIdleSeconds/s.Customers)},
		{Mechanism: "demand on limits, for the other hosts (quota)", CPU: m.slope(limitDigest) * limitDigestsPerPeriod / sharePeriodSeconds * micro * percent},
		{Mechanism: "queues, lengths and upstreams of all pools (pool)", Heap: m.slope(poolHeap) * kibi / mega},
		{Mechanism: "table of keys (key)", Heap: m.slope(keyHeap) * kibi / mega},
		{Mechanism: "document (document)", CPU: m.changesPerSecond() * m.slope(documentParse) * micro * percent,
			Heap: m.slope(documentHeap) * kibi / mega},
		{Mechanism: "copies for hosts that start (replication)", Bytes: 2 * s.Starts / secondsPerDay * copyBytes / s.Hosts},
		{Mechanism: "expiry and ageing in queues (pool)", CPU: s.Pools * poolTicksPerSecond * m.slope(poolTick) * micro * percent},
		{Mechanism: "division of slots when a host comes or goes (route)", CPU: s.Pools * m.slope(routeShare) * 2 * s.Starts / secondsPerDay * micro * percent},
		{Mechanism: "choice of the upstreams to read (poll)", CPU: s.Upstreams * m.slope(pollTurn) * micro * percent},
		{Mechanism: "reading the load of upstreams (poll)", Messages: polls, CPU: polls * m.slope(upstreamPoll) * micro * percent},
	}
}

// RequestRows returns the cost of the requests of callers on one host. This cost is not part of the roles.
func (m *Model) RequestRows() []Row {
	s := m.Size
	requests, tokens := s.Requests/s.Hosts, s.Tokens/s.Hosts
	cpu := func(rate, cost float64) float64 { return rate * cost * micro * percent }
	return []Row{
		{Mechanism: "key look-up", Messages: requests, CPU: cpu(requests, m.slope(keyLookup))},
		{Mechanism: "admission and queue", Messages: requests, CPU: cpu(requests, m.slope(poolArrive))},
		{Mechanism: "route decision", Messages: requests, CPU: cpu(requests, m.slope(routeDecision))},
		{Mechanism: "request through the router, all of the above included", Messages: requests, CPU: cpu(requests, m.slope(requestCPU))},
		{Mechanism: "streamed events, one token each", Messages: tokens, CPU: cpu(tokens, m.slope(eventCPU))},
	}
}

// StoreCalls are the calls of one mechanism to the store by the whole fleet.
type StoreCalls struct {
	Mechanism     string
	Writes, Reads float64 // per second
}

// StoreCallRows returns the calls to the store by the whole fleet at a size, by mechanism.
func (m *Model) StoreCallRows(s Size) []StoreCalls {
	leases := s.Pools + 1
	watching := min(s.Hosts, s.Zones*watchHostsPerZone)
	changes := s.Changes / secondsPerDay
	orders := s.Orders / secondsPerDay
	usage := m.reportingAt(s)
	return []StoreCalls{
		{Mechanism: "usage increments, one group commit by each host", Writes: s.Hosts * m.slope(usageCommits) / s.CommitInterval()},
		{Mechanism: "sealing the part of each host in each window of usage", Writes: s.Hosts / usageWindowSeconds},
		{Mechanism: "freezing, reporting and emptying the parts of a window of usage",
			Writes: (usage.Parts*writesPerPart + usage.Chunks) / usageWindowSeconds, Reads: (usage.Listings + usage.Chunks) / usageWindowSeconds},
		{Mechanism: "claims of requests that may not be repeated", Writes: s.Requests * s.NonRepeatable * m.slope(claimWrites),
			Reads: s.Requests * s.NonRepeatable * m.slope(claimReads)},
		{Mechanism: "renewal of leases: one for each pool, one for reports", Writes: leases / leaseRenewSeconds * m.slope(leaseWrites)},
		{Mechanism: "candidates that look whether a lease is free", Reads: min(s.Hosts, leaseCandidates) * leases / leaseRenewSeconds},
		{Mechanism: "intents and outcomes of orders of upstreams", Writes: orders * m.slope(orderWrites), Reads: orders * m.slope(orderReads)},
		{Mechanism: "saved counts of the burn report", Writes: s.Hosts / burnSaveSeconds},
		{Mechanism: "waiting watches of document and keys, two hosts in a zone", Reads: watching * watchesPerHost / watchSeconds},
		{Mechanism: "changes", Writes: changes * m.slope(changeWrites), Reads: changes * watching * m.slope(changeReads)},
		{Mechanism: "hosts that start", Reads: s.Starts / secondsPerDay * m.slope(startReads)},
	}
}
