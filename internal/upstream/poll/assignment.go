package poll

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PollersPerUpstream is the number of hosts of a large fleet that poll each upstream. The other hosts learn
// the upstream's load from them.
const PollersPerUpstream = 2

// maxHostsPollingAll is the number of hosts up to which every host polls every upstream. Cache events reach
// only the hosts that poll the upstream, and a host without these events finds far fewer cached prefixes.
const maxHostsPollingAll = 8

// hostsRefreshInterval is the interval at which the list of live hosts is read.
const hostsRefreshInterval = time.Second

// Assignments caches which upstreams a host polls until the list of live hosts changes. It is safe for
// concurrent use.
type Assignments struct {
	host      string
	listHosts func() []string
	now       func() time.Time

	mu          sync.Mutex
	refreshedAt time.Time
	hosts       []string
	assigned    map[string]bool
}

// NewAssignments returns the Assignments of host. listHosts returns the live hosts.
func NewAssignments(host string, listHosts func() []string, now func() time.Time) *Assignments {
	return &Assignments{host: host, listHosts: listHosts, now: now, assigned: map[string]bool{}}
}

// IsAssigned reports whether the host has to poll an upstream.
func (a *Assignments) IsAssigned(upstream string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh()
	assigned, ok := a.assigned[upstream]
	if !ok {
		assigned = IsAssigned(a.host, a.hosts, upstream)
		a.assigned[upstream] = assigned
	}
	return assigned
}

func (a *Assignments) refresh() {
	now := a.now()
	if !a.refreshedAt.IsZero() && now.Sub(a.refreshedAt) < hostsRefreshInterval {
		return
	}
	a.refreshedAt = now
	if hosts := a.listHosts(); !slices.Equal(hosts, a.hosts) {
		a.hosts = hosts
		clear(a.assigned)
	}
}

// IsAssigned reports whether host has to poll an upstream. With up to maxHostsPollingAll hosts, every host
// does. With more, rendezvous hashing selects PollersPerUpstream hosts for each upstream. A host that is not
// in hosts polls every upstream.
func IsAssigned(host string, hosts []string, upstream string) bool {
	if len(hosts) <= maxHostsPollingAll || !slices.Contains(hosts, host) {
		return true
	}
	own := score(host, upstream)
	ahead := 0
	for _, h := range hosts {
		if h != host && score(h, upstream) > own {
			ahead++
		}
	}
	return ahead < PollersPerUpstream
}

func score(host, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
