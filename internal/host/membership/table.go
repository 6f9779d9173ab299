// Package membership tracks which hosts are running. Hosts send heartbeats over a sparse overlay and
// suspect hosts whose heartbeats are missing; the relays of a zone declare hosts of that zone dead.
//
// The relays of each zone are chosen from the known hosts by rendezvous hashing, so that all hosts with the
// same view choose the same relays without a vote. A host exchanges heartbeats with two relays of its zone.
// The relays of a zone exchange heartbeats with each other and with relays of the other zones.
package membership

import (
	"maps"
	"slices"
	"time"

	"hickorypath/internal/core/statechart"
	"hickorypath/internal/state/roster"
)

// Config holds the parameters of a Table.
type Config struct {
	ID, Zone, Addr string
	Incarnation    uint64        // must be higher after each start of the host, for example the Unix time in milliseconds
	Period         time.Duration // time between heartbeats in a small fleet; 0 stands for DefaultPeriod
	// Publish replicates the record of a host to all hosts.
	Publish func(id string, version uint64, value []byte, expires time.Time)
}

// DefaultPeriod is the time between heartbeats in a small fleet.
const DefaultPeriod = 500 * time.Millisecond

const (
	suspectPeriods  = 5  // heartbeat periods without a heartbeat before a host is suspected
	deadPeriods     = 10 // heartbeat periods without a heartbeat before a relay declares a host dead
	contactPeriods  = 3  // heartbeat periods during which a host that was heard counts as a contact
	probesPerPeriod = 3  // suspected or listed hosts of the own zone that are probed each period
	// forgetAfter is how long an unlisted host is kept after its death or shutdown, or an unlisted host of
	// another zone after the last heartbeat from that zone.
	forgetAfter = 10 * time.Minute
	// minAnswerInterval limits the rate of answers to the probes of one host.
	minAnswerInterval = 100 * time.Millisecond
)

// host is the state that this host keeps about another host.
type host struct {
	id, zone, addr string
	incarnation    uint64
	version        uint64 // version of the host's record
	stateMachine   *statechart.Machine
	listed         bool // the host is in the platform's list
	period         time.Duration
	heardAt        time.Time // time of the last heartbeat from the host
	linkedAt       time.Time // time from which heartbeats from the host are expected; zero when none are expected
	confirmedAt    time.Time // last time that another relay of the zone reported hearing the host
	answeredAt     time.Time
	endedAt        time.Time // when the host was declared dead or left
	revision       uint64
	minRevisions   MinRevisions
	suspects       []string // hosts that the host suspects, from its last heartbeat
	reconnects     int      // reconnects requested since the host was last heard
}

func (h *host) state() State { return State(h.stateMachine.State()) }

func (h *host) fire(event string) { _ = h.stateMachine.Fire(event) }

// silence returns how long expected heartbeats have been missing, zero when none are expected.
func (h *host) silence(now time.Time) time.Duration {
	if h.linkedAt.IsZero() {
		return 0
	}
	last := h.linkedAt
	if h.heardAt.After(last) {
		last = h.heardAt
	}
	return now.Sub(last)
}

// Table is one host's view of the membership. It does no I/O and reads no clock: callers pass the time and
// send the returned heartbeats. It is not safe for concurrent use.
type Table struct {
	config              Config
	incarnation         uint64
	minor               uint64 // number of Alive records published in this incarnation
	leaving             bool
	renewedAt           time.Time
	nextHeartbeatAt     time.Time
	probeRound          int // rotates the hosts that are probed
	hosts               map[string]*host
	zoneHeardAt         map[string]time.Time
	zoneLinkedAt        map[string]time.Time
	reportedUnreachable map[string]time.Time // by zone: the last time that a relay of the own zone reported the zone unreachable
	revision            uint64
	digest              uint64
	toReconnect         []string
	view                view
}

// New returns a Table that contains only this host.
func New(c Config) *Table {
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	return &Table{
		config: c, incarnation: c.Incarnation, hosts: map[string]*host{},
		zoneHeardAt: map[string]time.Time{}, zoneLinkedAt: map[string]time.Time{}, reportedUnreachable: map[string]time.Time{},
	}
}

// SetListedHosts merges the platform's list of hosts. The list lags behind the real state, so it only adds
// hosts to probe and allows a host that it no longer contains to be forgotten. Such a host is forgotten only
// if it was never heard, is dead, has left, or is in a zone that has been unreachable for forgetAfter.
func (t *Table) SetListedHosts(hosts []roster.Host) {
	for _, h := range t.hosts {
		h.listed = false
	}
	for _, r := range hosts {
		if r.ID() == t.config.ID {
			continue
		}
		h := t.hosts[r.ID()]
		if h == nil {
			h = t.addHost(r.ID(), r.Zone(), r.Addr())
		}
		if h.state() == Listed {
			h.zone, h.addr = r.Zone(), r.Addr()
		}
		h.listed = true
	}
	t.view.stale = true
}

// SetRevision sets the applied configuration revision and the digest of the replicated records, both of
// which heartbeats carry.
func (t *Table) SetRevision(revision, digest uint64) { t.revision, t.digest = revision, digest }

// Period returns the time between heartbeats, which increases with the number of hosts.
func (t *Table) Period() time.Duration {
	return t.config.Period * time.Duration(periodFactor(len(t.hosts)+1))
}

// periodFactor returns the factor by which the heartbeat period is multiplied for a number of hosts. It
// limits the bandwidth of heartbeats in a large fleet.
func periodFactor(hosts int) int {
	switch {
	case hosts <= MaxMeshHosts:
		return 1
	case hosts <= 64:
		return 2
	default:
		return 6
	}
}

// Addr returns the address of a host, or "" if the host is unknown.
func (t *Table) Addr(id string) string {
	if h := t.hosts[id]; h != nil {
		return h.addr
	}
	return ""
}

// Receive handles a heartbeat and returns the answers to send. A heartbeat from an unknown host that does
// not name its zone is ignored.
func (t *Table) Receive(now time.Time, hb Heartbeat) []Outgoing {
	if hb.ID == "" || hb.ID == t.config.ID {
		return nil
	}
	h := t.hosts[hb.ID]
	if h == nil {
		if hb.Zone == "" {
			return nil
		}
		h = t.addHost(hb.ID, hb.Zone, hb.Addr)
	}
	if hb.Incarnation < h.incarnation {
		return nil
	}
	t.mergeHeartbeat(now, h, hb)
	if !hb.Probe || now.Sub(h.answeredAt) < minAnswerInterval {
		return nil
	}
	h.answeredAt = now
	s := t.heartbeatFor(now, h)
	s.Heartbeat.Probe, s.Heartbeat.Zone, s.Heartbeat.Addr = false, t.config.Zone, t.config.Addr
	return []Outgoing{s}
}

// mergeHeartbeat updates the table with a heartbeat from h.
func (t *Table) mergeHeartbeat(now time.Time, h *host, hb Heartbeat) {
	if hb.Addr != "" {
		h.addr = hb.Addr
	}
	previous := h.state()
	if hb.Incarnation > h.incarnation {
		h.incarnation = hb.Incarnation
		h.fire(eventRecord)
	}
	h.fire(eventHeard)
	if hb.Leaving {
		h.fire(eventLeave)
	}
	h.heardAt, h.period = now, time.Duration(hb.Period)*time.Millisecond
	h.revision = hb.Revision
	h.suspects, h.reconnects = hb.Suspects, 0
	if hb.MinRevisions != nil {
		h.minRevisions = *hb.MinRevisions
	}
	t.zoneHeardAt[h.zone] = now
	if h.zone == t.config.Zone {
		for _, id := range hb.Heard {
			t.confirmHeard(now, id)
		}
		for _, z := range hb.UnreachableZones {
			t.reportedUnreachable[z] = now
		}
	}
	if h.state() != previous {
		t.view.stale = true
	}
}

// confirmHeard notes that another host of the own zone hears the host id.
func (t *Table) confirmHeard(now time.Time, id string) {
	if h := t.hosts[id]; h != nil {
		h.confirmedAt = now
	}
}

func (t *Table) addHost(id, zone, addr string) *host {
	h := &host{id: id, zone: zone, addr: addr, stateMachine: hostChart.Start(), period: t.Period()}
	t.hosts[id] = h
	t.view.stale = true
	return h
}

// sortedHosts returns the known hosts sorted by ID, without this host.
func (t *Table) sortedHosts() []*host {
	all := make([]*host, 0, len(t.hosts))
	for _, id := range slices.Sorted(maps.Keys(t.hosts)) {
		all = append(all, t.hosts[id])
	}
	return all
}

// Len returns the number of known hosts, including this host.
func (t *Table) Len() int { return len(t.hosts) + 1 }
