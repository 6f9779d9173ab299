package node

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/state/roster"
)

// coreOptions are the dependencies of a core.
type coreOptions struct {
	id              string
	now             func() time.Time
	send            func(to, addr string, p Packet)
	resetConnection func(id string) // drops the connection to a host, so that the next packet opens a new one
	revision        func() uint64
	onSynced        func() // called when the records equal those of a host that has applied a document
}

// core combines the membership table and the replicated records. It does no I/O itself, so that tests can run many
// cores in virtual time.
type core struct {
	coreOptions
	replicator *replication.Replicator

	mu        sync.Mutex
	table     *membership.Table
	pending   []replication.Record // records of this host to publish after mu is released
	nextShare time.Time            // accessed only by tick
}

func newCore(opts coreOptions, config membership.Config, records replication.Config) *core {
	c := &core{coreOptions: opts}
	config.Publish = func(id string, version uint64, value []byte, expires time.Time) {
		c.pending = append(c.pending, replication.NewRecord(replication.TopicMember, id, version, value, expires))
	}
	c.table = membership.New(config)
	c.replicator = replication.New(replication.NewTable(records), c.now, c.sendReplication)
	c.replicator.Watch(replication.TopicMember, c.mergeMember)
	return c
}

func (c *core) mergeMember(r replication.Record) {
	c.mu.Lock()
	c.table.Merge(c.now(), r.Key(), r.Version(), r.Value())
	c.mu.Unlock()
}

func (c *core) receive(p Packet) {
	if p.Heartbeat != nil {
		c.mu.Lock()
		c.table.SetRevision(c.revision(), c.replicator.Digest())
		answers := c.table.Receive(c.now(), *p.Heartbeat)
		c.mu.Unlock()
		c.sendHeartbeats(answers)
	}
	if p.Replication != nil {
		c.replicator.Receive(p.From, *p.Replication)
	}
	if p.Heartbeat != nil && p.Heartbeat.Digest != 0 {
		c.replicator.CompareDigest(p.From, p.Heartbeat.Digest)
		if p.Heartbeat.Revision != 0 && p.Heartbeat.Digest == c.replicator.Digest() {
			c.onSynced()
		}
	}
	c.publishPending()
}

func (c *core) tick() {
	now := c.now()
	c.mu.Lock()
	c.table.SetRevision(c.revision(), c.replicator.Digest())
	beats := c.table.Tick(now)
	links := c.table.Links(now)
	silent := c.table.HostsToReconnect()
	hosts := c.table.Len()
	c.mu.Unlock()
	for _, id := range silent {
		c.resetConnection(id)
	}
	c.replicator.Tick(links)
	c.sendAll(beats, c.dueSoftRecords(now, hosts, len(beats) > 0))
	c.publishPending()
}

// dueSoftRecords returns the soft records to send now. The interval between exchanges grows with the fleet. In a
// large fleet soft records wait for the next heartbeat and share its packet.
func (c *core) dueSoftRecords(now time.Time, hosts int, sendingHeartbeats bool) []replication.Outgoing {
	every := shareInterval(hosts)
	if hosts > mediumFleet && !sendingHeartbeats || now.Before(c.nextShare) {
		return nil
	}
	c.nextShare = now.Add(every - every/8) // slack of an eighth, as heartbeats are not due at exact times
	return c.replicator.ExchangeSoft(hosts > smallFleet, every)
}

// sendAll sends heartbeats and soft records. A heartbeat and a soft message for the same host share one packet.
func (c *core) sendAll(beats []membership.Outgoing, soft []replication.Outgoing) {
	for _, b := range beats {
		p := Packet{From: c.id, Heartbeat: &b.Heartbeat}
		if i := slices.IndexFunc(soft, func(s replication.Outgoing) bool { return s.To == b.To }); i >= 0 {
			message := soft[i].Message
			p.Replication = &message
			soft = slices.Delete(soft, i, i+1)
		}
		c.send(b.To, b.Addr, p)
	}
	c.sendReplication(soft)
}

func (c *core) setRoster(hosts []roster.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetListedHosts(hosts)
}

func (c *core) members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Members(c.now())
}

// leaseCandidates returns the IDs of the live hosts. In a large fleet relays are left out, unless every live host
// is a relay.
func (c *core) leaseCandidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := lo.Filter(c.table.Members(c.now()), func(m membership.Member, _ int) bool { return m.Alive() })
	all := lo.Map(live, func(m membership.Member, _ int) string { return m.ID() })
	if len(all) <= membership.MaxMeshHosts {
		return all
	}
	zones := lo.UniqMap(live, func(m membership.Member, _ int) string { return m.Zone() })
	rest, _ := lo.Difference(all, lo.FlatMap(zones, func(zone string, _ int) []string { return c.table.Relays(zone) }))
	if len(rest) == 0 {
		return all
	}
	return rest
}

func (c *core) leave() {
	c.mu.Lock()
	beats := c.table.Leave(c.now())
	c.mu.Unlock()
	c.sendHeartbeats(beats)
	c.publishPending()
}

func (c *core) publishPending() {
	c.mu.Lock()
	todo := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, r := range todo {
		c.replicator.Put(r.Topic(), r.Key(), r.Version(), r.Value(), r.Expires())
	}
}

func (c *core) sendHeartbeats(beats []membership.Outgoing) {
	for _, s := range beats {
		c.send(s.To, s.Addr, Packet{From: c.id, Heartbeat: &s.Heartbeat})
	}
}

func (c *core) sendReplication(out []replication.Outgoing) {
	for _, s := range out {
		c.mu.Lock()
		addr := c.table.Addr(s.To)
		c.mu.Unlock()
		c.send(s.To, addr, Packet{From: c.id, Replication: &s.Message})
	}
}
