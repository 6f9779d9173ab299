package membership

import (
	_ "embed"

	"hickorypath/internal/core/statechart"
)

//go:embed host.json
var hostJSON []byte

var hostChart = statechart.Must(hostJSON)

// State is the state of a host in the state chart host.json.
type State string

// The states of a host.
const (
	Listed  State = "listed"  // known only from the platform's list
	Alive   State = "alive"   // heard by this host, or alive according to its record
	Suspect State = "suspect" // heartbeats to this host are missing
	Leaving State = "leaving" // announced its shutdown
	Dead    State = "dead"    // declared dead by the relays of its zone
	Gone    State = "gone"    // removed from the table
)

// Events of the state chart.
const (
	eventRecord = "record" // a record that the host is alive, or a heartbeat with a higher incarnation
	eventHeard  = "heard"  // a heartbeat arrived
	eventSilent = "silent" // heartbeats are missing
	eventLeave  = "leave"  // the host announced its shutdown
	eventDied   = "died"   // a relay of the host's zone declared the host dead
	eventForget = "forget" // the host is removed from the table
)
