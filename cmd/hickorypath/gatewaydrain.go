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
// connections until then, since the load balancer may use a host that is not ready if too few others are. The channel served is closed once no
// connection of the listener is accepted any more.
func (g *gateway) drain(callers net.Listener, served <-chan struct{}) {
	begin := g.clock.Boot()
	g.log.Info("stop", zap.Int("requests", g.server.BusyConns()))
	g.drainStart.Store(int64(begin))
	close(g.draining)
	g.server.Drain()
	g.relays.Drain()
	for g.drainTime() < balancerNoticeTime {
		time.Sleep(drainPollInterval)
	}
	grace := g.settings.Bounds.GracePeriod
	g.awaitIdle(grace - stopReserve)
	_ = callers.Close() // callers reach other hosts with new connections
	<-served
	g.awaitIdle(grace - stopReserve) // those that were accepted in the meantime
	inHand := g.requestsInHand()
	g.exchange.Stop()
	g.awaitIdle(grace - exitReserve)
	for c, n := range g.store.CallCounts() {
		g.log.Info("store calls", zap.String("use", string(c.Use())), zap.String("op", c.Op()), zap.Uint64("count", n))
	}
	g.log.Info("stopped", zap.Int("ended", inHand), zap.Int("cut", g.requestsInHand()), zap.Float64("ms", float64((g.clock.Boot()-begin).Milliseconds())))
}

// awaitIdle closes idle connections until there are no others, or until the shutdown has taken a time.
func (g *gateway) awaitIdle(end time.Duration) {
	for (g.server.Conns() > 0 || g.relays.BusyConns() > 0) && g.drainTime() < end {
		g.server.Sweep(g.clock.Now(), true)
		g.relays.Sweep(g.clock.Now(), true)
		time.Sleep(drainPollInterval)
	}
}

// requestsInHand returns the number of connections that carry a request.
func (g *gateway) requestsInHand() int { return g.server.BusyConns() + g.relays.BusyConns() }
