// Package settings holds the settings of a gateway host that are read at its start: its availability zone, its addresses,
// its share of the machine's resources, and the bounds that the deployment sets.
package settings

import "time"

// Settings are the settings of one gateway host.
type Settings struct {
	Host          string
	Zone          string
	Zones         []string          // all availability zones of the deployment
	Regions       map[string]string // region of each zone in Zones
	IP            string
	FirstStart    bool   // the deployment starts for the first time, so that nothing has run before
	CallerAddress string // address on which requests of callers are accepted
	ReadyAddress  string // address on which readiness checks are answered
	InternalPorts [2]int // first and last port of the range for traffic between hosts
	Resources     Resources
	Bounds        Bounds
	Store         Store
	Control       Control
}

// Resources holds the limits of this host's use of its machine.
type Resources struct {
	CPUShare        float64 // share of one core
	MemoryBytes     int64
	FileDescriptors int
	LinkMbps        float64 // speed of the network link in Mbit/s; 0 if unknown
}

// Bounds holds times and quotas that the deployment guarantees or requires.
type Bounds struct {
	DrainTime   time.Duration // time after which an upstream that is draining must receive no more requests
	GracePeriod time.Duration // time between SIGTERM and SIGKILL at shutdown
	RetryRatio  float64       // maximum retries of the whole fleet in RetryWindow, as a fraction of its requests
	RetryWindow time.Duration
	MinRetries  int           // retries of the whole fleet that are allowed in RetryWindow in addition to the ratio
	LeaseTTL    time.Duration // time to live of leases in the store
	// AddressReuseTime is the time after the end of an upstream from which another one may have its address.
	AddressReuseTime time.Duration
	ContactTime      time.Duration // time after the end of a disruption by which a host must follow the store again
	// In one second, all hosts together may send a cold upstream ColdOvershoot times its rate and ColdSlack requests more.
	ColdOvershoot, ColdSlack float64

	UsageWindow      time.Duration
	UsageReportDelay time.Duration // time from the end of a usage window until its report is due
}

// LeaseTTL returns the time to live of leases: the one that the deployment sets, but at least the minimum that the store
// grants.
func (s Settings) LeaseTTL() time.Duration { return max(s.Bounds.LeaseTTL, s.Store.MinLeaseTTL) }

// Store holds the settings of the key-value service.
type Store struct {
	Address     string
	MinLeaseTTL time.Duration // minimum time to live of a lease that the service grants
}

// Control holds the settings of the control API for usage reports and scale requests.
type Control struct {
	Address         string
	CallsPerSecond  float64 // rate of calls of the whole fleet to the control API
	ReportsUsage    bool    // the fleet has to report usage
	ScalesUpstreams bool    // the fleet has to request upstreams
}
