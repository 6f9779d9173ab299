package membership

// Heartbeat is the periodic message from one host to another. Optional fields are omitted from the
// encoding when they are zero.
type Heartbeat struct {
	ID               string        `cbor:"1,keyasint"`
	Incarnation      uint64        `cbor:"2,keyasint"`
	Period           int           `cbor:"3,keyasint"`            // milliseconds between the sender's heartbeats
	Revision         uint64        `cbor:"4,keyasint,omitempty"`  // configuration revision that the sender has applied
	Digest           uint64        `cbor:"5,keyasint,omitempty"`  // digest of the sender's replicated records
	Zone             string        `cbor:"6,keyasint,omitempty"`  // zone of the sender; only in answers to probes and to hosts not heard lately
	Addr             string        `cbor:"7,keyasint,omitempty"`  // address of the sender; set together with Zone
	Probe            bool          `cbor:"8,keyasint,omitempty"`  // requests an immediate heartbeat in reply
	Leaving          bool          `cbor:"9,keyasint,omitempty"`  // the sender is shutting down
	Suspects         []string      `cbor:"10,keyasint,omitempty"` // from one relay of a zone to another: hosts of the zone that the sender does not hear
	Heard            []string      `cbor:"11,keyasint,omitempty"` // hosts that the receiver listed in Suspects and the sender hears
	UnreachableZones []string      `cbor:"12,keyasint,omitempty"` // zones that the sender cannot reach
	MinRevisions     *MinRevisions `cbor:"13,keyasint,omitempty"` // set only by relays
}

// MinRevisions holds the lowest applied revision in each of several groups of hosts, as a relay knows them.
type MinRevisions struct {
	Attached    uint64 `cbor:"1,keyasint,omitempty"` // the relay itself and the hosts attached to it
	Zone        uint64 `cbor:"2,keyasint,omitempty"` // all hosts of the relay's zone
	LinkedZones uint64 `cbor:"3,keyasint,omitempty"` // hosts of the other zones that the relay has links to
	Fleet       uint64 `cbor:"4,keyasint,omitempty"` // all reachable hosts
}

// Outgoing is a heartbeat to send to the host To at the address Addr.
type Outgoing struct {
	To, Addr  string
	Heartbeat Heartbeat
}
