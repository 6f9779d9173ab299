package main

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/policy/evacuate"
	"hickorypath/internal/state/store"
	"hickorypath/platform"
)

// recordEvacuation applies the write or the deletion of an operator's request to evacuate an availability zone.
func (g *gateway) recordEvacuation(e store.Event) {
	zone := strings.TrimPrefix(e.Key(), platform.EvacuationPrefix)
	if !evacuate.IsValid(zone) {
		g.log.Warn("evacuation ignored; the key does not name an availability zone", zap.String("key", e.Key()))
		return
	}
	if g.table.Evacuated().Record(zone, evacuate.Statement{Revision: e.Revision(), Evacuated: !e.Deleted()}) {
		g.handleEvacuations("store", zone)
	}
}

// syncEvacuations withdraws the evacuations that the store does not contain any more.
func (g *gateway) syncEvacuations(revision uint64, exists func(key string) bool) {
	inStore := func(zone string) bool { return exists(platform.EvacuationPrefix + zone) }
	g.handleEvacuations("store", g.table.Evacuated().RecordSync(g.clock.Now(), revision, inStore, store.EraOf)...)
}

// mergeEvacuations applies what another host knows of evacuations.
func (g *gateway) mergeEvacuations(m peer.Message) {
	g.handleEvacuations(m.Host, g.table.Evacuated().Merge(m.Zones)...)
}

func (g *gateway) expireEvacuations(now time.Time) {
	g.handleEvacuations("restored store", g.table.Evacuated().Expire(now)...)
}

// handleEvacuations makes changes of evacuations known. Requests that wait are placed anew within the interval of the dispatch.
func (g *gateway) handleEvacuations(source string, zones ...string) {
	for _, z := range zones {
		g.log.Info("zone evacuated or in use again", zap.String("zone", z), zap.Bool("evacuated", g.table.Evacuated().Contains(z)), zap.String("source", source))
	}
	if len(zones) > 0 {
		g.transport.SendSoon(true)
	}
}

// registerEvacuations registers the metric of evacuated zones.
func (g *gateway) registerEvacuations() {
	metrics.GetOrCreateGauge("hickorypath_zones_evacuated", func() float64 { return float64(len(g.table.Evacuated().List())) })
}
