package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/netutil"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/sockopt"
	"hickorypath/internal/policy/memory"
)

// Limits on what callers and other clients outside the operator's control can take of a host.
const (
	// accountParts is the reciprocal of the share of the host's memory for requests and responses. The heap limit is soft: what the account
	// has given back is garbage for a while.
	accountParts = 6
	// connMemory is the memory of a connection that holds no request: buffers of the process and of the kernel.
	connMemory = 128 << 10
	// reservedDescriptors is the number of file descriptors that are not for sockets. Callers' connections may use connShare of connParts of the
	// others, so that there are some left for upstreams, the store and other hosts.
	reservedDescriptors = 200
	connShare           = 3
	connParts           = 4
	// socketBuffer is the size of the kernel's buffers of a connection, which otherwise grow to megabytes for a peer that sends fast or reads
	// slowly.
	socketBuffer = 64 << 10
	// internalConnParts is the reciprocal of the share of the descriptors for sockets that each of the servers for readiness checks, metrics and
	// other hosts may use; maxInternalConns bounds it.
	internalConnParts   = 16
	maxInternalConns    = 256
	internalIdleTimeout = 5 * time.Second
	internalReadTimeout = 5 * time.Second
	internalHeadTimeout = time.Second
	internalHeadBytes   = 16 << 10
)

// maxCallerConns returns how many connections of callers this host serves at a time.
func (g *gateway) maxCallerConns() int {
	return max(min(g.socketDescriptors()*connShare/connParts, int(g.settings.Resources.MemoryBytes/connMemory)), 1)
}

// socketDescriptors returns how many descriptors there are for sockets.
func (g *gateway) socketDescriptors() int {
	return max(g.settings.Resources.FileDescriptors-reservedDescriptors, 0)
}

// registerAccount registers the metrics of an account.
func registerAccount(s *metrics.Set, a *memory.Account) {
	for _, k := range memory.Kinds {
		s.GetOrCreateGauge(`hickorypath_memory_held_bytes{kind="`+k.String()+`"}`, func() float64 { return float64(a.Used(k)) })
		s.GetOrCreateGauge(`hickorypath_memory_refused_total{kind="`+k.String()+`"}`, func() float64 { return float64(a.Refused(k)) })
	}
	s.GetOrCreateGauge(`hickorypath_memory_evicted_total{kind="`+memory.Unfinished.String()+`"}`, func() float64 { return float64(a.Evicted()) })
}

// listenCallers opens the listener for callers.
func (g *gateway) listenCallers() (net.Listener, error) {
	conf := net.ListenConfig{Control: sockopt.ControlBuffers(socketBuffer)} // accepted connections inherit the option
	l, err := conf.Listen(context.Background(), "tcp4", g.settings.CallerAddress)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot listen on the callers' address")
	}
	return l, nil
}

// newInternalServer returns a server for the platform, operators or other hosts that bounds what each connection takes. A response may take as
// long as readTimeout.
func newInternalServer(h http.Handler, readTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: internalHeadTimeout, ReadTimeout: readTimeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalHeadBytes,
	}
}

// limitInternal bounds the connections of a listener for the platform, operators or other hosts.
func (g *gateway) limitInternal(l net.Listener) net.Listener {
	return netutil.LimitListener(l, min(max(g.socketDescriptors()/internalConnParts, 1), maxInternalConns))
}
