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
	// stopReserve is the time before the end of the grace period at which the requests that are still in hand are ended, so that their
	// callers get a response. exitReserve is the time before it at which the process ends by itself.
	stopReserve = 300 * time.Millisecond
	exitReserve = 100 * time.Millisecond
)

// drain waits until the running requests finish, and ends those that are left shortly before the grace period does. The host accepts
// connections until then, since the load balancer may use a host that is not ready if too few others are.
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
	inHand := 0
	for end := g.settings.Bounds.GracePeriod; g.server.BusyConns() > 0 || g.server.Conns() > 0 || g.relays.BusyConns() > 0; {
		g.server.Sweep(g.clock.Now(), true)
		time.Sleep(drainPollInterval)
		elapsed := g.clock.Boot() - begin
		if elapsed >= end-stopReserve && inHand == 0 {
			inHand = g.server.BusyConns() + g.relays.BusyConns()
			_ = callers.Close() // callers reach other hosts with new connections
			g.exchange.Stop()
		}
		if elapsed >= end-exitReserve {
			break
		}
	}
	_ = callers.Close()
	for c, n := range g.store.CallCounts() {
		g.log.Info("store calls", zap.String("use", string(c.Use())), zap.String("op", c.Op()), zap.Uint64("count", n))
	}
	g.log.Info("stopped", zap.Int("ended", inHand), zap.Int("cut", g.server.BusyConns()), zap.Float64("ms", float64((g.clock.Boot()-begin).Milliseconds())))
}
