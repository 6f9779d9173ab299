package main

import (
	"net"
	"time"

	"go.uber.org/zap"
)

// drainTime returns how long the host has been shutting down, or 0 when no shutdown is in progress.
func (g *gateway) drainTime() time.Duration {
	if at := g.drainStart.Load(); at != 0 {
		return g.clock.Boot() - time.Duration(at)
	}
	return 0
}

const (
	// balancerNoticeTime is how long the load balancer may still open connections after the host reports not ready.
	balancerNoticeTime = 3500 * time.Millisecond
	drainPollInterval  = 20 * time.Millisecond
)

// drain waits until the running requests finish or the grace period ends. The host accepts connections until the load
// balancer has noticed that the host is not ready.
func (g *gateway) drain(callers net.Listener) {
	begin := g.clock.Boot()
	g.log.Info("stop", zap.Int("requests", g.server.BusyConns()))
	g.drainStart.Store(int64(begin))
	close(g.draining)
	g.server.Drain()
	g.relays.Drain()
	for g.clock.Boot()-begin < balancerNoticeTime {
		time.Sleep(drainPollInterval)
	}
	for g.server.BusyConns() > 0 || g.server.Conns() > 0 || g.relays.BusyConns() > 0 {
		g.server.Sweep(g.clock.Now(), true)
		time.Sleep(drainPollInterval)
		if g.clock.Boot()-begin > g.settings.Bounds.GracePeriod {
			break
		}
	}
	_ = callers.Close() // the running requests have finished or the grace period has ended
	for c, n := range g.store.CallCounts() {
		g.log.Info("store calls", zap.String("use", string(c.Use())), zap.String("op", c.Op()), zap.Uint64("count", n))
	}
	g.log.Info("stopped", zap.Int("cut", g.server.BusyConns()), zap.Float64("ms", float64((g.clock.Boot()-begin).Milliseconds())))
}
