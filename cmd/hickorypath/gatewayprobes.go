package main

import (
	"net"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"hickorypath/internal/operator/client"
)

// serveProbes answers readiness checks.
func (g *gateway) serveProbes(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := newInternalServer(mux, internalReadTimeout).Serve(g.limitInternal(l)); err != nil {
		g.log.Error("server for readiness checks stopped", zap.Error(err))
	}
}

// serveMetrics registers the gauges of the gateway and serves the metrics of the process, and explanations to operators.
func (g *gateway) serveMetrics() {
	l, err := net.Listen("tcp4", net.JoinHostPort(g.settings.IP, strconv.Itoa(metricsPort)))
	if err != nil {
		g.log.Error("metrics are not served", zap.Error(err))
		return
	}
	metrics.GetOrCreateGauge("hickorypath_config_version", func() float64 {
		if c := g.live.Load(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
	metrics.GetOrCreateGauge("hickorypath_config_newest_version", func() float64 { return float64(g.newestConfig()) })
	metrics.GetOrCreateGauge("hickorypath_config_confirmed_seconds", func() float64 { return (g.clock.Boot() - g.store.LastWatchTime()).Seconds() })
	metrics.GetOrCreateGauge("hickorypath_connections", func() float64 { return float64(g.server.Conns()) })
	metrics.GetOrCreateGauge("hickorypath_requests_active", func() float64 { return float64(g.server.BusyConns()) })
	metrics.GetOrCreateGauge("hickorypath_upstreams", func() float64 { return float64(len(g.table.All())) })
	metrics.GetOrCreateGauge("hickorypath_hosts", func() float64 { return float64(len(g.peers.LiveMessages(g.clock.Now())) + 1) })
	g.registerEvacuations()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET "+client.ExplainPath, g.serveExplanation)
	if err := newInternalServer(mux, internalReadTimeout).Serve(g.limitInternal(l)); err != nil {
		g.log.Error("metrics are not served", zap.Error(err))
	}
}

// metricsPort is the port of the metrics. The deployment file deploy/system.toml contains the same port.
const metricsPort = 9600

// isReady reports whether the host has a configuration, knows that no other host has a newer one and is not shutting down.
func (g *gateway) isReady() bool {
	select {
	case <-g.draining:
		return false
	default:
		return g.live.Load() != nil && g.isSynced()
	}
}
