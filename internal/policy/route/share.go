package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is one of the hosts that share the upstreams.
type Host struct {
	ID     string
	Zone   string
	Demand float64 // requests running and queued for this pool
}

// counts are another host's running requests by upstream.
type counts struct {
	at    time.Time
	round int // of the latest word
	by    map[*member]count
}

type count struct {
	n     int
	round int
}

const (
	nearFactor    = 4   // a host near an upstream gets this many times the share of a far one
	reserve       = 4   // 1/reserve of an upstream's slots is not lent beyond the shares
	idleDemand    = 0.5 // demand of an idle host, so that its first requests find a slot
	peerExpiry    = 2 * time.Second
	refreshPeriod = 50 * time.Millisecond
)

// SetHosts sets the hosts among which the slots of the upstreams are divided, by demand and nearness.
// All hosts that know the same demands come to shares that add up to the slots.
func (t *Balancer) SetHosts(now time.Time, hosts []Host) {
	t.hosts = slices.Clone(hosts)
	slices.SortFunc(t.hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	t.sums = newSums(t.hosts, t.config.Host)
	t.reshare(now)
}

// UpdatePeer takes another host's running requests by upstream.
func (t *Balancer) UpdatePeer(now time.Time, host string, running map[string]int) {
	c := t.peers[host]
	if c == nil {
		c = &counts{by: make(map[*member]count, len(running))}
		t.peers[host] = c
	}
	c.at = now
	c.round++
	changed := t.changed[:0]
	for id, n := range running {
		m := t.byID[id]
		if m == nil {
			continue
		}
		if old := c.by[m].n; old != n {
			m.peers += n - old
			changed = append(changed, m)
		}
		c.by[m] = count{n: n, round: c.round}
	}
	for m, old := range c.by {
		if old.round != c.round {
			m.peers -= old.n
			delete(c.by, m)
			changed = append(changed, m)
		}
	}
	t.relimitAll(now, changed)
}

// relimitAll computes the limits of some members in the order of their numbers, so that the outcome
// does not depend on the order of a map.
func (t *Balancer) relimitAll(now time.Time, changed []*member) {
	slices.SortFunc(changed, func(a, b *member) int { return cmp.Compare(a.index, b.index) })
	for _, m := range changed {
		if t.byID[m.id] == m {
			t.relimit(now, m)
		}
	}
	t.changed = changed[:0]
}

// forgetPeer drops the word of a host that has fallen silent.
func (t *Balancer) forgetPeer(now time.Time, host string) {
	changed := t.changed[:0]
	for m, old := range t.peers[host].by {
		m.peers -= old.n
		changed = append(changed, m)
	}
	delete(t.peers, host)
	t.relimitAll(now, changed)
}

// RunningByUpstream returns this host's running requests by upstream, as Peer takes them.
func (t *Balancer) RunningByUpstream() map[string]int {
	all := map[string]int{}
	for _, r := range t.requests {
		all[r.member.id]++
	}
	return all
}

// reshare computes this host's share of each upstream's slots.
func (t *Balancer) reshare(now time.Time) {
	total := 0
	for _, m := range t.members {
		if m == nil {
			continue
		}
		m.share = t.shareOf(m)
		total += m.share
		t.relimit(now, m)
	}
	if total == 0 {
		t.grantOne(now)
	}
}

// shareOf divides the slots of m by cumulative rounding: the hosts stand in an order that begins at
// another one for each upstream, and each gets the slots between the rounded sums before and after it.
func (t *Balancer) shareOf(m *member) int {
	if len(t.hosts) < 2 {
		return m.slots
	}
	if t.sums.self < 0 {
		return 0
	}
	hash := xxhash.Sum64String(m.id)
	before, after, total := t.sums.around(m.zone, int(hash%uint64(len(t.hosts))))
	offset := float64(hash>>32%1024) / 1024
	slots := float64(m.slots)
	return int(math.Floor(after/total*slots+offset) - math.Floor(before/total*slots+offset))
}

// sums are the running sums of the hosts' weights, over all and over each zone, so that a share takes
// the same time however many hosts there are.
type sums struct {
	self int // index of this host, -1 when it is not among them
	all  []float64
	zone map[string][]float64
}

func newSums(hosts []Host, self string) sums {
	s := sums{self: -1, all: make([]float64, len(hosts)+1), zone: map[string][]float64{}}
	for i, h := range hosts {
		if h.ID == self {
			s.self = i
		}
		if s.zone[h.Zone] == nil {
			s.zone[h.Zone] = make([]float64, len(hosts)+1)
		}
		s.all[i+1] = s.all[i] + weight(h)
	}
	for zone, sum := range s.zone {
		for i, h := range hosts {
			sum[i+1] = sum[i]
			if h.Zone == zone {
				sum[i+1] += weight(h) * (nearFactor - 1)
			}
		}
	}
	return s
}

// around returns the sums before and after this host, counted from host first on, and the total, as
// they are for an upstream in zone.
func (s *sums) around(zone string, first int) (before, after, total float64) {
	near := s.zone[zone]
	at := func(i int) float64 {
		if near == nil {
			return s.all[i]
		}
		return s.all[i] + near[i]
	}
	total = at(len(s.all) - 1)
	before, after = at(s.self)-at(first), at(s.self+1)-at(first)
	if s.self < first {
		before, after = before+total, after+total
	}
	return before, after, total
}

func weight(h Host) float64 { return max(h.Demand, idleDemand) }

// grantOne gives a host without any share one slot, so that a small pool serves many hosts.
func (t *Balancer) grantOne(now time.Time) {
	var best *member
	var top uint64
	for _, m := range t.members {
		if m == nil || m.leaving {
			continue
		}
		if h := xxhash.Sum64String(t.config.Host + "/" + m.id); best == nil || h > top {
			best, top = m, h
		}
	}
	if best != nil {
		best.share = 1
		t.relimit(now, best)
	}
}

// relimit computes how many requests this host may run on m: its share, and its part of what the
// other hosts leave free, scaled by health.
func (t *Balancer) relimit(now time.Time, m *member) {
	limit := m.share
	if n := len(t.hosts); n > 1 {
		free := m.slots - m.own - m.peers
		limit = max(limit, m.own+free/n, m.own+(free-m.slots/reserve)/2)
	}
	if w := t.health.Weight(now, m.health); w < 1 {
		limit = int(math.Ceil(w * float64(limit)))
	}
	if m.leaving {
		limit = 0
	}
	t.free -= m.freeSlots()
	m.limit = limit
	t.free += m.freeSlots()
	t.settle(m)
}

// checkHealth follows a change of the member's health.
func (t *Balancer) checkHealth(now time.Time, m *member) {
	t.relimit(now, m)
	if m.health.Settled() || slices.Contains(t.unsettle, m) {
		return
	}
	t.unsettle = append(t.unsettle, m)
}

// advance follows what changes with time alone: slow return, and hosts that fell silent.
func (t *Balancer) advance(now time.Time) {
	if now.Before(t.refresh) {
		return
	}
	t.refresh = now.Add(refreshPeriod)
	kept := t.unsettle[:0]
	for _, m := range t.unsettle {
		if t.byID[m.id] != m {
			continue
		}
		t.relimit(now, m)
		if !m.health.Settled() {
			kept = append(kept, m)
		}
	}
	t.unsettle = kept
	for host, c := range t.peers {
		if now.Sub(c.at) > peerExpiry {
			t.forgetPeer(now, host)
		}
	}
}
