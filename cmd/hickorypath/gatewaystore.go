package main

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/gateway/peer"
)

// handleStoreError records a failed store call and logs the first failure of an outage.
func (g *gateway) handleStoreError(err error) {
	g.table.RecordStoreFailure(g.clock.Now())
	g.lastStoreFailure.Store(int64(g.clock.Boot()))
	if !g.storeDown.Swap(true) {
		g.log.Warn("store lost", zap.Duration("answered", g.clock.Boot()-g.store.LastResponseTime()), zap.Error(err))
	}
}

// storeRecoveryDelay is how long the store must answer without a failure before an outage counts as over.
const storeRecoveryDelay = time.Second

// checkStoreRecovery logs the end of a store outage.
func (g *gateway) checkStoreRecovery() {
	failed := time.Duration(g.lastStoreFailure.Load())
	if g.storeDown.Load() && g.store.LastResponseTime() > failed && g.clock.Boot()-failed > storeRecoveryDelay {
		g.storeDown.Store(false)
		g.log.Info("store regained", zap.Duration("after", g.store.LastResponseTime()-failed))
	}
}

// handleStoreRestore prepares for entries that are missing or come back, after the store was restored from an older copy.
func (g *gateway) handleStoreRestore(era uint64) {
	g.table.RecordRestore(g.clock.Now())
	g.log.Warn("store restored from an older copy", zap.Uint64("era", era), zap.Int64("version", g.configVersion()))
	g.registerSoon()
}

// startupPeerWait bounds how long a host that starts waits for the other hosts before it is ready. The store may have been
// restored from a copy with an older configuration than theirs.
const startupPeerWait = 1500 * time.Millisecond

// isSynced reports whether this host has the newest configuration that the other hosts know of, or has waited long enough
// for them since it started.
func (g *gateway) isSynced() bool {
	if g.synced.Load() {
		return true
	}
	now := g.clock.Now()
	// A host that has just started may have an old configuration too.
	heard := slices.ContainsFunc(g.peers.LiveMessages(now), func(m peer.Message) bool { return m.Synced })
	waited := g.clock.Boot()-g.startBoot >= startupPeerWait
	if (heard || waited) && !g.peers.HasNewerConfig(now, g.configVersion()) {
		g.synced.Store(true)
	}
	return g.synced.Load()
}
