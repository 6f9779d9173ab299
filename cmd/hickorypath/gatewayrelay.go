package main

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
)

const (
	// relayPortOffset is the offset of the port for relayed requests from the first internal port.
	relayPortOffset = 2
	// relayMemoryParts is the reciprocal of the share of the host's memory that relayed requests may use, at relayBytes each.
	relayMemoryParts = 16
	relayBytes       = 64 << 10
	fewestRelayed    = 16
	mostRelayed      = 512
	// relayConnsPerRequest bounds the connections of other hosts for each relayed request. The rest is idle.
	relayConnsPerRequest = 4
)

// relayAddress returns the address at which this host takes requests of hosts that are cut off.
func (g *gateway) relayAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.relayPort()))
}

func (g *gateway) relayPort() int { return g.settings.InternalPorts[0] + relayPortOffset }

// maxRelayed returns the number of requests that this host relays at a time, so that its own callers keep their service.
func (g *gateway) maxRelayed() int {
	return int(min(max(g.settings.Resources.MemoryBytes/relayMemoryParts/relayBytes, fewestRelayed), mostRelayed))
}

// newRelayServer returns the server for requests of hosts that are cut off.
func (g *gateway) newRelayServer() *frontend.Server {
	return frontend.New(g.exchange.HandleRelayed, g.limits, relayConnsPerRequest*g.maxRelayed(), g.memory, g.clock.Now, g.log)
}

// newHelpers returns the hosts through which this host sends requests while it is cut off.
func (g *gateway) newHelpers() *relay.Helpers {
	return relay.NewHelpers(relay.Options{Zone: g.settings.Zone, Hosts: g.relayHosts, Dial: upstream.NewDialerFunc(g.machine.dialHost)})
}

// relayHosts returns the other hosts that are alive and take requests of hosts that are cut off.
func (g *gateway) relayHosts(now time.Time) []relay.Host {
	var hosts []relay.Host
	for _, m := range g.peers.LiveMessages(now) {
		if ip, _, err := net.SplitHostPort(m.Address); err == nil && m.RelayPort > 0 {
			x := newRelayHost(m, ip)
			x.Heard = g.peers.HeardAt(m.Host)
			hosts = append(hosts, x)
		}
	}
	return hosts
}

func newRelayHost(m peer.Message, ip string) relay.Host {
	return relay.Host{
		Name: m.Host, Zone: m.Zone, Address: net.JoinHostPort(ip, strconv.Itoa(int(m.RelayPort))), Free: lo.MapValues(m.Brittle, func(b upstream.BrittleService, _ string) int { return b.Free }),
		Link: m.Link, Config: m.Version, CutFrom: m.CutFrom, Relaying: m.Relaying,
	}
}

// serveRelays serves the requests of hosts that are cut off until ctx ends.
func (g *gateway) serveRelays(ctx context.Context, l net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	if err := g.relays.Serve(ctx, hostListener{l, g.peers.KnowsHost}); err != nil {
		g.log.Error("server for relayed requests stopped", zap.Error(err))
	}
}

// hostListener accepts only connections of known hosts.
type hostListener struct {
	net.Listener
	knows func(ip string) bool
}

// Accept implements net.Listener.
func (l hostListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ip, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil && l.knows(ip) {
			return c, nil
		}
		_ = c.Close() // nothing was read from it
	}
}
