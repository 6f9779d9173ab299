// Package peer exchanges soft state between the hosts of a fleet over UDP.
//
// Every host sends a small datagram to other hosts several times a second: its load, its usage counts of the last
// windows, its time, and the version of its configuration. Each message replaces the previous message of its sender and
// nothing in a message has to be durable, so lost datagrams are not retransmitted and hosts keep no connections to each
// other.
package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/evacuate"
	"hickorypath/internal/policy/place"
	"hickorypath/internal/policy/poison"
	"hickorypath/internal/policy/sizing"
)

// Message is the state that a host sends to other hosts.
type Message struct {
	Host           string                             `cbor:"h"`
	Zone           string                             `cbor:"z"`
	StartTime      int64                              `cbor:"s"`           // start of the process in Unix nanoseconds, which identifies the incarnation of the host
	Sequence       uint64                             `cbor:"n"`           // increases with each message of an incarnation
	Address        string                             `cbor:"a"`           // IP and port for datagrams
	Time           int64                              `cbor:"t"`           // the host's estimate of the true time, Unix milliseconds
	Version        int64                              `cbor:"v"`           // version of the active configuration; 0 for none
	FetchAddress   string                             `cbor:"f"`           // address from which other hosts fetch the configuration and upstream entries
	Counts         map[int64]map[string]int           `cbor:"c,omitempty"` // usage counts of this incarnation by window and customer
	EndedCounts    []IncarnationCounts                `cbor:"o,omitempty"` // usage counts of incarnations that have ended
	FixedCounts    map[int64]map[string]int           `cbor:"m,omitempty"` // usage counts of the whole fleet that a leader has fixed, by window and customer
	Loads          map[string]place.Load              `cbor:"l,omitempty"` // load that this host puts on each upstream instance
	Demand         map[string]sizing.Demand           `cbor:"d,omitempty"` // demand of this host's callers by service
	CachedPrefixes map[string][]place.PrefixUpdate    `cbor:"k,omitempty"` // prompt prefixes that upstreams have read lately, by service
	Poison         []poison.Evidence                  `cbor:"C,omitempty"` // traits of requests that were with upstreams when they crashed
	Advisories     map[string]upstream.Advisory       `cbor:"g,omitempty"` // what upstream instances stated about themselves
	KnownAddresses []string                           `cbor:"p,omitempty"` // addresses of some other hosts
	Heard          []string                           `cbor:"j,omitempty"` // addresses of hosts of other zones whose messages arrived lately
	WatchesStore   bool                               `cbor:"w,omitempty"` // the host watches the store itself
	EntryRevision  uint64                             `cbor:"r,omitempty"` // store revision of the newest upstream entry that the host knows
	StoreFailing   bool                               `cbor:"q,omitempty"` // the host's calls to the store failed lately; hosts of an earlier version read it
	Leader         Leader                             `cbor:"i"`           // the leader as far as the host knows
	OmitsLoads     bool                               `cbor:"b,omitempty"` // Loads and CachedPrefixes are left out
	OmitsCounts    bool                               `cbor:"u,omitempty"` // Counts, EndedCounts and Demand are left out
	Leaving        bool                               `cbor:"e,omitempty"` // the host is shutting down
	Synced         bool                               `cbor:"y,omitempty"` // the host has compared its configuration with those of other hosts since it started
	Departures     map[string]upstream.Departure      `cbor:"B,omitempty"` // upstream instances whose responses state that they leave
	Link           float64                            `cbor:"A,omitempty"` // speed of the host's network link in Mbit/s; 0 if unknown
	RelayPort      uint16                             `cbor:"D,omitempty"` // port at which the host takes requests of hosts that are cut off; 0 if it takes none
	CutFrom        []string                           `cbor:"E,omitempty"` // services whose upstreams the host does not reach
	Relaying       int                                `cbor:"F,omitempty"` // requests that the host relays for others
	Brittle        map[string]upstream.BrittleService `cbor:"G,omitempty"` // services whose upstreams are brittle or were lately
	Rejections     map[string]upstream.Rejection      `cbor:"H,omitempty"` // brittle upstream instances that have lately rejected requests
	Pauses         map[string]upstream.Pause          `cbor:"I,omitempty"` // upstream instances that want no requests of the host
	EarlierPauses  []HostPauses                       `cbor:"J,omitempty"` // those of other hosts, which may have started again and not know
	Zones          map[string]evacuate.Statement      `cbor:"K,omitempty"` // which availability zones are evacuated
}

// Leader is the host that holds the fleet's lease: it reports usage and requests upstreams for all hosts.
type Leader struct {
	_            struct{} `cbor:",toarray"`
	Address      string   // IP and port for datagrams
	FencingToken uint64   // fencing token of the host's lease; the leader with the highest token is the newest
}

// IncarnationCounts holds the usage counts of an incarnation that has ended, by window and customer. They are passed on
// to hosts that started after the end of the incarnation.
type IncarnationCounts struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	StartTime int64
	Counts    map[int64]map[string]int
}

// HostPauses are the upstream instances that want no requests of a host, as the host told before it ended.
type HostPauses struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Pauses map[string]upstream.Pause
}

const (
	// MessageTTL is how long after its arrival a message of a host in the same zone is valid.
	MessageTTL = 3 * time.Second
	// distantMessageTTL replaces MessageTTL for hosts in other zones of a large fleet, which send to this zone less often.
	distantMessageTTL = 8 * time.Second
)

// forSameZone returns the message for hosts of the same zone, with loads and cached prefixes but without counts. Only the
// leader tells them fixed counts.
func (m Message) forSameZone() Message {
	m.Counts, m.EndedCounts, m.Demand, m.OmitsCounts = nil, nil, nil, true
	if m.Address != m.Leader.Address {
		m.FixedCounts = nil
	}
	return m
}

// forOtherHosts returns the message for hosts of other zones. It only shows that this host is alive, and the newest
// versions and revisions that this host knows.
func (m Message) forOtherHosts() Message {
	m = m.forSameZone()
	m.Loads, m.CachedPrefixes, m.OmitsLoads, m.Heard = nil, nil, true, nil
	return m
}

// forLeader returns the message for the leader, with usage counts and demand but without loads and cached prefixes.
func (m Message) forLeader() Message {
	m.Loads, m.CachedPrefixes, m.OmitsLoads, m.Heard = nil, nil, true, nil
	return m
}

// fillOmitted copies the fields that m leaves out from old, the previous message of the same host.
func (m *Message) fillOmitted(old Message) {
	if m.OmitsLoads {
		m.Loads = old.Loads
	}
	if m.OmitsCounts {
		m.Demand = old.Demand
	}
}

// encode encodes a message as a datagram.
func encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "message cannot be encoded")
	}
	return data, nil
}

// decode decodes a datagram. An error has kind Peer.
func decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, kind.Wrap(err, kind.Peer, "datagram cannot be decoded")
	}
	if m.Host == "" || m.Address == "" {
		return Message{}, kind.New(kind.Peer, "datagram has no host name or no address")
	}
	return m, nil
}
