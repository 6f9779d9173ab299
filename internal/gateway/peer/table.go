package peer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/place"
	"hickorypath/internal/policy/sizing"
)

// Table keeps the last message of every other host. It is safe for concurrent use.
type Table struct {
	self           string
	zone           string
	link           float64 // of this host, Mbit/s
	ownIncarnation incarnation

	mu                  sync.Mutex
	hosts               map[string]*hostEntry                    // last messages by host name
	addresses           map[string]time.Time                     // addresses for datagrams, with the time at which each was added or last sent a message
	zoneAddresses       map[string]bool                          // those of addresses that the store shows in the zone of this host
	countsByIncarnation map[incarnation]map[int64]map[string]int // usage counts by incarnation, window and customer
	fixedCounts         map[int64]map[string]int                 // usage counts of the whole fleet that a leader has fixed
	pauses              map[string]map[string]knownPause         // by host and upstream instance
	leader              Leader
	watchersLackSince   time.Time         // since when fewer than watchersPerZone hosts of the zone watch the store; zero if enough do
	members             *advisory.Members // by address
	heard               []string          // addresses of hosts of other zones of which a message has arrived since the last call of TakeHeard
}

type hostEntry struct {
	message    Message
	receivedAt time.Time
	countsTime int64 // time of the host's last message with usage counts, in Unix milliseconds
}

// isLive reports whether the last message of a host is still valid and the host is not leaving.
func (t *Table) isLive(now time.Time, e *hostEntry) bool {
	ttl := MessageTTL
	if e.message.Zone != t.zone && len(t.hosts) >= smallFleet {
		ttl = distantMessageTTL
	}
	return now.Sub(e.receivedAt) <= ttl && !e.message.Leaving
}

// incarnation identifies one run of a host's process.
type incarnation struct {
	host  string
	start int64
}

// NewTable returns an empty Table for the host with the name self, in an availability zone, that receives datagrams at address
// over a link of so many Mbit/s. The start of the process, in Unix nanoseconds, identifies the host's incarnation.
func NewTable(self, zone, address string, link float64, start int64) *Table {
	return &Table{self: self, zone: zone, link: link, ownIncarnation: incarnation{self, start}, hosts: map[string]*hostEntry{}, addresses: map[string]time.Time{}, zoneAddresses: map[string]bool{}, members: advisory.NewMembers(address), countsByIncarnation: map[incarnation]map[int64]map[string]int{}, fixedCounts: map[int64]map[string]int{}, pauses: map[string]map[string]knownPause{}}
}

// Record records a message of another host, unless a newer one has arrived. It reports whether the host joined: no
// message of the host had arrived within MessageTTL.
func (t *Table) Record(now time.Time, m Message) (joined bool) {
	if m.Host == t.self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordAlive(now, m)
	for _, a := range m.KnownAddresses {
		if _, ok := t.addresses[a]; !ok {
			t.addresses[a] = now
		}
	}
	if m.Leader.FencingToken > t.leader.FencingToken {
		t.leader = m.Leader
	}
	old := t.hosts[m.Host]
	if old != nil && (m.StartTime < old.message.StartTime || m.StartTime == old.message.StartTime && m.Sequence <= old.message.Sequence) {
		return false
	}
	if old != nil && m.StartTime == old.message.StartTime {
		m.fillOmitted(old.message)
	}
	e := &hostEntry{message: m, receivedAt: now, countsTime: m.Time}
	if m.OmitsCounts {
		e.countsTime = 0
		if old != nil && m.StartTime == old.message.StartTime {
			e.countsTime = old.countsTime
		}
	}
	t.hosts[m.Host] = e
	t.recordPauses(now, m)
	for w, counts := range m.FixedCounts {
		t.fixCounts(w, counts)
	}
	t.mergeCounts(incarnation{m.Host, m.StartTime}, m.Counts)
	for _, p := range m.EndedCounts {
		t.mergeCounts(incarnation{p.Host, p.StartTime}, p.Counts)
	}
	return old == nil || now.Sub(old.receivedAt) > MessageTTL
}

// mergeCounts merges the usage counts of an incarnation into those that are kept, which outlive the incarnation's last
// message. The counts of a window only grow, so the larger one of two counts is the newer one.
func (t *Table) mergeCounts(at incarnation, counts map[int64]map[string]int) {
	if at == t.ownIncarnation {
		return
	}
	if t.countsByIncarnation[at] == nil {
		t.countsByIncarnation[at] = map[int64]map[string]int{}
	}
	for w, customers := range counts {
		kept := t.countsByIncarnation[at][w]
		if kept == nil {
			kept = map[string]int{}
			t.countsByIncarnation[at][w] = kept
		}
		for customer, n := range customers {
			kept[customer] = max(kept[customer], n)
		}
	}
}

// FixCounts records the usage counts of the whole fleet in a window, which from then on do not change, and tells them to the other
// hosts: a later leader that finds them neither in the store nor here would count again and report other figures.
func (t *Table) FixCounts(window int64, counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fixCounts(window, counts)
}

func (t *Table) fixCounts(window int64, counts map[string]int) {
	if _, ok := t.fixedCounts[window]; !ok {
		t.fixedCounts[window] = counts
	}
}

// FixedCounts returns the usage counts that a leader has fixed for a window; ok is false if there are none.
func (t *Table) FixedCounts(window int64) (counts map[string]int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, ok = t.fixedCounts[window]
	return counts, ok
}

// maxFixedRows bounds the rows of fixed counts in a message, so that it stays a datagram.
const maxFixedRows = 600

// RecentFixedCounts returns the fixed counts of the windows from since on, the latest windows that fit into a message.
func (t *Table) RecentFixedCounts(since int64) map[int64]map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent map[int64]map[string]int
	rows := 0
	windows := slices.Sorted(maps.Keys(t.fixedCounts))
	for _, w := range slices.Backward(windows) {
		if rows += len(t.fixedCounts[w]) + 1; w < since || rows > maxFixedRows {
			break
		}
		if recent == nil {
			recent = map[int64]map[string]int{}
		}
		recent[w] = t.fixedCounts[w]
	}
	return recent
}

// maxEndedIncarnations bounds the number of ended incarnations in a message.
const maxEndedIncarnations = 4

// EndedCounts returns the usage counts of incarnations that have ended, for the windows from since on. The incarnations
// that started last come first.
func (t *Table) EndedCounts(now time.Time, since int64) []IncarnationCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []IncarnationCounts
	for at, windows := range t.countsByIncarnation {
		if e := t.hosts[at.host]; at.host != t.self && e != nil && e.message.StartTime == at.start && now.Sub(e.receivedAt) <= MessageTTL {
			continue
		}
		recent := map[int64]map[string]int{}
		for w, counts := range windows {
			if w >= since {
				recent[w] = maps.Clone(counts)
			}
		}
		if len(recent) > 0 {
			list = append(list, IncarnationCounts{Host: at.host, StartTime: at.start, Counts: recent})
		}
	}
	slices.SortFunc(list, func(a, b IncarnationCounts) int { return cmp.Compare(b.StartTime, a.StartTime) })
	return list[:min(len(list), maxEndedIncarnations)]
}

// Counts returns the usage counts of a window by customer, summed over all incarnations of the other hosts and earlier
// incarnations of this host.
func (t *Table) Counts(window int64) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]int{}
	for _, windows := range t.countsByIncarnation {
		for customer, n := range windows[window] {
			sum[customer] += n
		}
	}
	return sum
}

// HasCounts reports whether some other host counted requests in a window: it started before the window's end, or has told its counts.
func (t *Table) HasCounts(window int64, end time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.hosts {
		if e.message.StartTime < end.UnixNano() {
			return true
		}
	}
	for _, windows := range t.countsByIncarnation {
		if _, ok := windows[window]; ok {
			return true
		}
	}
	return false
}

// HasAllCounts reports whether every other host has sent its usage counts of the time up to before. Hosts that are
// leaving or have been silent for longer than hostGoneTime are not waited for.
func (t *Table) HasAllCounts(now, before time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.hosts {
		if now.Sub(e.receivedAt) <= hostGoneTime && !e.message.Leaving && e.countsTime < before.UnixMilli() {
			return false
		}
	}
	return true
}

// hostGoneTime is how long a silent host is taken to be behind a network partition rather than gone. The longest known
// partitions last 12 s. A longer time has a cost: a usage report that waits for a host that is gone may run into an outage
// of the store.
const hostGoneTime = 13 * time.Second

// keepWindows is the number of past windows whose counts are kept, which is longer than they can be reported.
const keepWindows = 6

// expiryTime is how long a silent host is remembered and its address is still sent messages.
const expiryTime = time.Minute

// Sweep removes expired usage counts, addresses and hosts. The current window is window.
func (t *Table) Sweep(now time.Time, window int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for at, windows := range t.countsByIncarnation {
		maps.DeleteFunc(windows, func(w int64, _ map[string]int) bool { return w < window-keepWindows })
		if len(windows) == 0 {
			delete(t.countsByIncarnation, at)
		}
	}
	t.sweepPauses(now)
	maps.DeleteFunc(t.fixedCounts, func(w int64, _ map[string]int) bool { return w < window-keepWindows })
	maps.DeleteFunc(t.addresses, func(_ string, seen time.Time) bool { return now.Sub(seen) > expiryTime })
	maps.DeleteFunc(t.zoneAddresses, func(a string, _ bool) bool { _, ok := t.addresses[a]; return !ok })
	maps.DeleteFunc(t.hosts, func(_ string, e *hostEntry) bool { return now.Sub(e.receivedAt) > expiryTime })
	t.members.Expire(now, expiryTime)
}

// AddAddress adds the address of a host, as found in the store. The zone is empty if it is unknown. The host may be alive: one that has
// just started has not heard of the others yet.
func (t *Table) AddAddress(now time.Time, address, zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[address] = now
	t.members.Add(now, address)
	if zone == t.zone {
		t.zoneAddresses[address] = true
	}
}

// Addresses returns all known addresses in sorted order.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.addresses))
}

// LiveMessages returns the last message of each live host: the message is still valid and the host is not leaving.
func (t *Table) LiveMessages(now time.Time) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Message
	for _, e := range t.hosts {
		if t.isLive(now, e) {
			list = append(list, e.message)
		}
	}
	return list
}

// HeardAt returns when the last message of a host arrived; zero if none did.
func (t *Table) HeardAt(host string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[host]; e != nil {
		return e.receivedAt
	}
	return time.Time{}
}

// pendingPrefillTTL is how long the PendingPrefill of a load is valid after its message arrived. Upstreams read the prompt
// tokens within a fraction of a second, while in a large fleet messages of a host may arrive only every few seconds.
const pendingPrefillTTL = 400 * time.Millisecond

// Loads returns the load that the other hosts put on each upstream instance.
func (t *Table) Loads(now time.Time) map[string]place.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]place.Load{}
	for _, e := range t.hosts {
		if !t.isLive(now, e) {
			continue
		}
		isFresh := now.Sub(e.receivedAt) <= pendingPrefillTTL
		for instance, l := range e.message.Loads {
			if !isFresh {
				l.PendingPrefill = 0
			}
			sum[instance] = sum[instance].Add(l)
		}
	}
	return sum
}

// Demand returns the demand for a service, summed over the other live hosts.
func (t *Table) Demand(now time.Time, service string) (sum sizing.Demand) {
	for _, m := range t.LiveMessages(now) {
		sum = sum.Add(m.Demand[service])
	}
	return sum
}

// DemandCoverage returns the fraction of the hosts, this one included, whose current demand is known. Hosts that are
// leaving or gone do not count.
func (t *Table) DemandCoverage(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	covered, all := 1, 1 // this host
	for _, e := range t.hosts {
		if e.message.Leaving || now.Sub(e.receivedAt) > hostGoneTime {
			continue
		}
		all++
		if t.isLive(now, e) && e.countsTime > 0 {
			covered++
		}
	}
	return float64(covered) / float64(all)
}

// MaxHosts returns the number of hosts that may be alive, this one included: those of which this host, or another one of its
// zone, got a message within expiryTime.
func (t *Table) MaxHosts() int { return t.Fleet().Size() }
