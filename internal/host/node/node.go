// Package node runs the part of a host that talks to the other hosts of the cluster. It combines the peer
// connections, the membership table and the records that all hosts replicate. Soft records, such as load summaries,
// expire soon, are exchanged periodically and are neither acknowledged nor repaired.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/peer"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/state/roster"
)

const (
	tickInterval        = 50 * time.Millisecond
	rosterInterval      = 5 * time.Second
	rosterTimeout       = 2 * time.Second
	linkInterval        = 10 * time.Second
	leaveDelay          = 500 * time.Millisecond
	smallFleetInterval  = 200 * time.Millisecond
	smallFleet          = membership.MaxMeshHosts // largest number of hosts that share soft records every smallFleetInterval
	mediumFleetInterval = 1 * time.Second
	mediumFleet         = 64 // largest number of hosts that share soft records every mediumFleetInterval
	// In a larger fleet the interval between exchanges of soft records is intervalPerHost for each host, so that the
	// bytes per second of a host stay bounded: 12 s in a fleet of 350 hosts.
	intervalPerHost = 12 * time.Second / 350
)

// Options are the dependencies of a Node.
type Options struct {
	ID, Zone    string
	Addr        string // IP and port to listen on, at which other hosts reach this host
	TLS         *tls.Config
	FetchRoster func(ctx context.Context) ([]roster.Host, error) // returns the platform's list of hosts
	Clock       clock.Clock
	Log         *zap.Logger
	// Revision, when set, returns the revision of the document that this host has applied. Heartbeats carry the revision.
	Revision func() uint64
	// OnSynced, when set, is called each time this host is found to hold the same records as another host that has
	// applied a document.
	OnSynced func()
	// Merge, when set, combines the values that several hosts published under one name of a soft topic, so that a
	// large fleet exchanges one value for each availability zone.
	Merge func(topic, name string, values [][]byte) []byte
	// WrapConn, when set, wraps the packet sockets, for example to count traffic or inject faults.
	WrapConn func(net.PacketConn) net.PacketConn
}

// Node exchanges messages with the other hosts on behalf of this host.
type Node struct {
	opts Options
	peer *peer.Endpoint
	core *core
}

// New opens the listener. The caller must then call Run.
func New(opts Options) (*Node, error) {
	if opts.Revision == nil {
		opts.Revision = func() uint64 { return 0 }
	}
	if opts.OnSynced == nil {
		opts.OnSynced = func() {}
	}
	n := &Node{opts: opts}
	p, err := peer.New(peer.Options{Addr: opts.Addr, TLS: opts.TLS, Log: opts.Log, Receive: n.receive, Wrap: opts.WrapConn})
	if err != nil {
		return nil, err
	}
	n.peer = p
	now := opts.Clock.Now
	n.core = newCore(
		coreOptions{id: opts.ID, now: now, send: n.send, resetConnection: p.Reset, revision: opts.Revision, onSynced: opts.OnSynced},
		membership.Config{ID: opts.ID, Zone: opts.Zone, Addr: p.Addr(), Incarnation: uint64(now().UnixMilli())},
		replication.Config{Self: opts.ID, Zone: opts.Zone, Merge: opts.Merge},
	)
	return n, nil
}

// Addr returns the address at which other hosts reach this host.
func (n *Node) Addr() string { return n.peer.Addr() }

// Replicator returns the records that are replicated to all hosts.
func (n *Node) Replicator() *replication.Replicator { return n.core.replicator }

// Members returns this host and all other hosts that it knows.
func (n *Node) Members() []membership.Member { return n.core.members() }

// OpenStream opens a stream to another host, on which both ends send and receive.
func (n *Node) OpenStream(ctx context.Context, host string) (net.Conn, error) {
	for _, m := range n.Members() {
		if m.ID() == host {
			return n.peer.OpenStream(ctx, host, m.Addr())
		}
	}
	return nil, kind.New(kind.Peer, "host %s is not known", host)
}

// Streams returns the listener of the streams that other hosts open.
func (n *Node) Streams() net.Listener { return n.peer.Streams() }

// LeaseCandidates returns the IDs of the hosts that should try to acquire leases. These are the live hosts, in a
// large fleet without the relays, which already do more work than other hosts.
func (n *Node) LeaseCandidates() []string { return n.core.leaseCandidates() }

// Run exchanges messages with the other hosts until ctx ends, and then closes the listener.
func (n *Node) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer n.peer.Close()
	wg.Go(func() { n.peer.Run(ctx) })
	wg.Go(func() { n.pollRoster(ctx) })
	wg.Go(func() { clock.Every(ctx, linkInterval, n.retainLinks) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		n.core.tick()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// retainLinks ends the links to hosts that are no longer known.
func (n *Node) retainLinks() {
	known := lo.SliceToMap(n.Members(), func(m membership.Member) (string, bool) { return m.ID(), true })
	n.peer.Retain(func(id string) bool { return known[id] })
}

// Leave tells the other hosts that this host is leaving and waits for leaveDelay, so that the message can arrive.
// Run continues until its context ends.
func (n *Node) Leave(ctx context.Context) {
	n.core.leave()
	select {
	case <-ctx.Done():
	case <-time.After(leaveDelay):
	}
}

// pollRoster fetches the platform's list of hosts every rosterInterval.
func (n *Node) pollRoster(ctx context.Context) {
	for {
		n.refreshRoster(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(rosterInterval):
		}
	}
}

func (n *Node) refreshRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	hosts, err := n.opts.FetchRoster(ctx)
	if err != nil {
		n.opts.Log.Warn("cannot fetch the list of hosts", zap.Error(err))
		return
	}
	n.core.setRoster(hosts)
}

func (n *Node) send(to, addr string, p Packet) {
	if addr != "" {
		n.peer.Send(to, addr, encode(p), p.isReliable())
	}
}

// receive handles a packet and returns the ID of its sender. It refuses packets that cannot be decoded and packets
// whose sender is not the host that the peer's certificate names; it then returns an empty ID. An empty identity
// means that the certificate names no host, and the sender is not checked.
func (n *Node) receive(identity string, data []byte) string {
	p, err := decode(data)
	if err != nil || identity != "" && identity != p.From {
		n.opts.Log.Warn("packet refused", zap.String("identity", identity), zap.Error(err))
		return ""
	}
	n.core.receive(p)
	return p.From
}

// shareInterval returns the time between exchanges of soft records in a fleet of this size.
func shareInterval(hosts int) time.Duration {
	switch {
	case hosts <= smallFleet:
		return smallFleetInterval
	case hosts <= mediumFleet:
		return mediumFleetInterval
	default:
		return time.Duration(hosts) * intervalPerHost
	}
}
