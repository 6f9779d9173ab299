package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/state/store"
)

const (
	// hostKeyTTL is how long the address of a host that has gone stays registered. The store accepts at most ten minutes.
	hostKeyTTL = 10 * time.Minute
	// hostKeyRenewal is how long a registration is relied on. A host that finds its own at its start does not know when it was made,
	// but that it was renewed at most this long before the host's last end.
	hostKeyRenewal = hostKeyTTL / 2
	// listWait bounds the wait for what the store holds before a host registers without knowing it.
	listWait = 2 * time.Second
)

// hostKey returns the store's key under which this host registers its address.
func (g *gateway) hostKey() string { return hostKeyPrefix + g.settings.Zone + "/" + g.settings.Host }

// registerAddress writes this host's peer address to the store and renews it until ctx is canceled. It makes no call while the store
// holds the address of an earlier start, since all hosts of a large fleet may start together.
func (g *gateway) registerAddress(ctx context.Context) {
	g.awaitList(ctx)
	if g.isRegistered.Load() {
		g.log.Info("address is registered in the store", zap.String("address", g.peerAddress()))
		g.awaitRegistration(ctx, hostKeyRenewal/2)
	}
	for ctx.Err() == nil {
		grant, err := g.store.Grant(ctx, hostKeyTTL)
		if err == nil {
			_, err = g.store.PutLeased(ctx, g.hostKey(), []byte(g.peerAddress()), store.Any(), grant)
		}
		if err == nil {
			g.awaitRegistration(ctx, hostKeyRenewal)
			continue
		}
		g.log.Warn("cannot register this host's address in the store; retrying", zap.Error(err))
		clock.Pause(ctx, time.Second)
	}
}

// awaitList waits until this host has read what the store holds.
func (g *gateway) awaitList(ctx context.Context) {
	timer := time.NewTimer(listWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.listed:
	}
}

// registerSoon makes registerAddress write the address again, which the store may not hold any more.
func (g *gateway) registerSoon() {
	select {
	case g.unregistered <- struct{}{}:
	default: // the address is about to be registered again
	}
}

// awaitRegistration waits until this host's address has to be written to the store again.
func (g *gateway) awaitRegistration(ctx context.Context, renewal time.Duration) {
	timer := time.NewTimer(renewal)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.unregistered:
	}
}
