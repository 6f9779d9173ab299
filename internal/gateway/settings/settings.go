// Package settings holds what a gateway host is told at its start: its place, its addresses, its
// share of the machine, and the bounds that it has to keep.
package settings

import "time"

// Settings are the settings of one gateway host.
type Settings struct {
	Host    string
	Zone    string
	Zones   []string // of the deployment
	IP      string
	Callers string // address for callers
	Ready   string // address for readiness checks
	Ports   [2]int // first and last port for traffic between hosts
	Machine Machine
	Bounds  Bounds
	Store   Store
	Control Control
}

// Machine is this host's part of its machine.
type Machine struct {
	Share       float64 // of one core
	Memory      int64   // bytes
	Descriptors int
}

// Bounds are the deployment's promises that the host has to know.
type Bounds struct {
	Drain        time.Duration // until a leaving upstream must get no request
	Grace        time.Duration // from SIGTERM to SIGKILL
	RetryRatio   float64       // retries of the fleet per request
	RetryWindow  time.Duration
	RetryMinimum int           // retries of the fleet in a window beyond the ratio
	Lease        time.Duration // time to live of leases
	UsageWindow  time.Duration
	UsageLate    time.Duration // after the end of a window, until its report is due
}

// LeaseTime returns the time to live of leases: that of the deployment, or the least that the store grants.
func (s Settings) LeaseTime() time.Duration { return max(s.Bounds.Lease, s.Store.MinTTL) }

// Store is how to reach the key-value service.
type Store struct {
	Address string
	MinTTL  time.Duration // least time to live of leases
}

// Control is how to reach the interface for usage reports and orders.
type Control struct {
	Address string
	Rate    float64 // calls a second of the whole fleet
	Usage   bool    // usage is to be reported
	Scale   bool    // upstreams are to be ordered
}
