package member

// Beat is a heartbeat. Zero fields do not travel.
type Beat struct {
	ID          string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	Period      int      `cbor:"3,keyasint"` // milliseconds between heartbeats
	Revision    uint64   `cbor:"4,keyasint,omitempty"`
	Sum         uint64   `cbor:"5,keyasint,omitempty"`  // digest of all records
	Zone        string   `cbor:"6,keyasint,omitempty"`  // only towards a host not heard yet
	Addr        string   `cbor:"7,keyasint,omitempty"`  // with Zone
	Greet       bool     `cbor:"8,keyasint,omitempty"`  // asks for an answer at once
	Leaving     bool     `cbor:"9,keyasint,omitempty"`  // the sender leaves
	Lost        []string `cbor:"10,keyasint,omitempty"` // silent hosts of the zone, asked of another relay
	Held        []string `cbor:"11,keyasint,omitempty"` // hosts of Lost that the sender hears
	Cut         []string `cbor:"12,keyasint,omitempty"` // zones that the sender cannot reach
	Floor       *Floor   `cbor:"13,keyasint,omitempty"` // from relays
}

// Floor holds the lowest applied revisions that a relay knows of.
type Floor struct {
	Near  uint64 `cbor:"1,keyasint,omitempty"` // the relay and the hosts attached to it
	Zone  uint64 `cbor:"2,keyasint,omitempty"` // all hosts of the relay's zone
	Far   uint64 `cbor:"3,keyasint,omitempty"` // the zones that the relay is linked with
	Fleet uint64 `cbor:"4,keyasint,omitempty"` // all reachable hosts
}

// Send is a heartbeat and where it goes.
type Send struct {
	To, Addr string
	Beat     Beat
}
